"""By how many members what all may use together is shared out, while views may differ. No I/O, no clock.

Invariants:

- A member that came back counts at once; one that has died makes the others' shares larger only after
  `SETTLED` s in which the view did not shrink further, when all know of it.
- Never under half of the configured number: a part that is cut off does not take what the rest uses.
- Without a view to go by (not joined, alone, unheard) the configured number holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

SETTLED = 3.0  # s


@dataclass
class Shares:
    configured: int
    size: int = 0
    lower: int = 0  # what the view shows, while it is not gone by yet
    due: float = inf

    def __post_init__(self) -> None:
        self.size = self.configured

    def look(self, now: float, living: int, well: bool) -> int:
        """The number to share by now; look again at `due` at the latest."""
        wanted = living if well and 2 * living >= self.configured else self.configured
        if wanted >= self.size:
            self.size, self.due = wanted, inf
        elif self.due == inf or wanted < self.lower:
            self.lower, self.due = wanted, now + SETTLED
        elif now >= self.due:
            self.size, self.due = wanted, inf
        self.lower = wanted
        return self.size
