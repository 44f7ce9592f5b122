"""What a service bears: calls wait in turn for a fixed number a second, over all that call it."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass
class Capacity:
    """`most`: s of waiting beyond which a call is refused; without it all wait. A call that its caller gave
    up has taken its turn all the same. No I/O and no clock."""

    rate: float = inf  # calls a second
    most: float = inf
    free: float = 0.0  # when the next turn begins
    refused: int = 0

    def turn(self, now: float) -> float | None:
        """How long this call waits until it is done, in s; None: it is refused."""
        if self.rate == inf:
            return 0.0
        begin = max(now, self.free)
        if begin - now > self.most:
            self.refused += 1
            return None
        self.free = begin + 1 / self.rate
        return self.free - now
