"""Detection of an event loop that runs late.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

LATENESS_DECAY = 0.8  # Factor by which the recent lateness decays at each tick.
MAX_GRACE_TICKS = 3  # Consecutive late ticks beyond this number start no grace period.


@dataclass
class LoopLagMonitor:
    """Detects an event loop that stalls or runs late, so that unread responses do not count as silence.

    Attributes:
        threshold: Delay above which a tick counts as late, in s. It is also the length of a grace period.
        grace_until: End of the grace period, in which the silence of a session has no effect.
        last_event_at: Time of the last tick or other event.
        late_ticks: Number of consecutive late ticks.
        lateness: Recent delay of ticks, which decays over time, in s.
    """

    threshold: float
    grace_until: float = -inf
    last_event_at: float = -inf
    late_ticks: int = 0
    lateness: float = 0.0

    def record_event(self, now: float) -> None:
        """Record that the driver delivered an event."""
        self.last_event_at = now

    def record_tick(self, now: float, deadline: float) -> None:
        """Record a tick that was due at `deadline`, or at the last event if that was later."""
        lateness = now - max(deadline, self.last_event_at)
        self.lateness = max(lateness, LATENESS_DECAY * self.lateness)
        is_late = lateness > self.threshold
        self.late_ticks = self.late_ticks + 1 if is_late else 0
        if is_late and self.late_ticks <= MAX_GRACE_TICKS:
            self.grace_until = now + self.threshold
        self.last_event_at = now

    def is_punctual(self, now: float, period: float) -> bool:
        """Return whether the loop is on time, and the last grace period ended over `period` seconds ago."""
        return now - self.grace_until > period and self.lateness <= self.threshold
