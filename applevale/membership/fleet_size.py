"""The fleet size by which shared limits are divided while the views of members may differ. No I/O, no clock.

Invariants:

- A member that joins counts at once. A death enlarges the shares of the others only after
  `SHRINK_DELAY_SECONDS` in which the view does not shrink further; by then all members know of it.
- The size does not follow a view of less than half of the configured members: a group behind a network
  partition must not use the share of the rest. The configured size applies then.
- Without a reliable view (while joining, isolated or unanswered) the configured size applies.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

SHRINK_DELAY_SECONDS = 3.0


@dataclass
class EffectiveFleetSize:
    """The number of instances that share a limit.

    Attributes:
        configured: Number of instances in the configuration.
        size: The number to divide by now.
        last_target: The size that the latest view called for.
        next_deadline: When to call `update` next, in seconds; infinite unless a smaller size is pending.
    """

    configured: int
    size: int = 0
    last_target: int = 0
    next_deadline: float = inf

    def __post_init__(self) -> None:
        """Start at the configured size."""
        self.size = self.configured

    def update(self, now: float, alive_count: int, is_view_reliable: bool) -> int:
        """Return the size to divide by from `now` on. It must be called again by `next_deadline`."""
        target = self.configured
        if is_view_reliable and 2 * alive_count >= self.configured:
            target = alive_count
        if target >= self.size:
            self.size = target
            self.next_deadline = inf
        elif self.next_deadline == inf or target < self.last_target:
            self.next_deadline = now + SHRINK_DELAY_SECONDS
        elif now >= self.next_deadline:
            self.size = target
            self.next_deadline = inf
        self.last_target = target
        return self.size
