"""The fleet size by which shared limits are divided while views may differ. No I/O, no clock.

Invariants:

- A member that returns counts at once. One that died enlarges the shares of the others only after
  `SHRINK_DELAY_SECONDS` in which the view did not shrink further, when all members know of it.
- The size never falls below half of the configured one: a group that is cut off does not take what the rest
  uses.
- Without a reliable view (joining, isolated, unanswered) the configured size holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

SHRINK_DELAY_SECONDS = 3.0


@dataclass
class EffectiveFleetSize:
    """The number of instances that share a limit.

    Attributes:
        configured: Instances in the configuration.
        size: Instances to divide by now.
        candidate: The size that the view shows.
        next_deadline: Time of the next `update` that may shrink the size, in seconds; infinite without one.
    """

    configured: int
    size: int = 0
    candidate: int = 0
    next_deadline: float = inf

    def __post_init__(self) -> None:
        """Start at the configured size."""
        self.size = self.configured

    def update(self, now: float, alive_count: int, is_view_reliable: bool) -> int:
        """Return the size to divide by from `now` on; call again at `next_deadline` at the latest."""
        wanted = self.configured
        if is_view_reliable and 2 * alive_count >= self.configured:
            wanted = alive_count
        if wanted >= self.size:
            self.size = wanted
            self.next_deadline = inf
        elif self.next_deadline == inf or wanted < self.candidate:
            self.next_deadline = now + SHRINK_DELAY_SECONDS
        elif now >= self.next_deadline:
            self.size = wanted
            self.next_deadline = inf
        self.candidate = wanted
        return self.size
