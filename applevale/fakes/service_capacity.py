"""The capacity of a service: calls are served one by one, at a fixed number a second, over all callers."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass
class ServiceCapacity:
    """A queue in front of a service that serves `rate` calls a second.

    A call that its caller gave up keeps its place in the queue. There is no I/O and no clock.

    Attributes:
        rate: Calls a second.
        max_wait: Seconds in the queue beyond which a call is rejected; by default none is.
        next_free_at: When the service can begin the next call.
        rejected: Calls rejected so far.
    """

    rate: float = inf
    max_wait: float = inf
    next_free_at: float = 0.0
    rejected: int = 0

    def reserve(self, now: float) -> float | None:
        """Return the seconds until a call made now is done, or None if it is rejected."""
        if self.rate == inf:
            return 0.0
        begin = max(now, self.next_free_at)
        if begin - now > self.max_wait:
            self.rejected += 1
            return None
        self.next_free_at = begin + 1 / self.rate
        return self.next_free_at - now
