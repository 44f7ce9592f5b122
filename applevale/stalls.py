"""Detection of stalls of the process, by a timer that fires late. The module reads no clock."""

from __future__ import annotations

from math import exp, inf


class StallDetector:
    """Detects stalls of the process: periods in which a timer that was due did not fire.

    Attributes:
        due_at: Time (s) at which the timer is due; infinite if it is not set.
        longest: Length (s) of the longest recent stall.
        longest_at: Time (s) at which that stall ended.
    """

    def __init__(self, interval: float, tolerance: float, time_constant: float):
        """Create a detector whose timer is not set.

        Args:
            interval: Seconds from setting the timer until it is due.
            tolerance: Lateness of the timer, in seconds, that does not count as a stall.
            time_constant: Seconds in which the weight of a past stall decays to 1/e.
        """
        self.interval = interval
        self.tolerance = tolerance
        self.time_constant = time_constant
        self.due_at = inf
        self.longest = 0.0
        self.longest_at = 0.0

    def check(self, now: float) -> float:
        """Return the length (s) of a stall that ends at `now`; 0 if there is none."""
        stall = now - self.due_at
        if stall <= self.tolerance:
            return 0.0
        self.longest = max(stall, self.recent(now))
        self.longest_at = now
        return stall

    def recent(self, now: float) -> float:
        """Return the length (s) of the longest recent stall, decayed by the time since then."""
        return self.longest * exp((self.longest_at - now) / self.time_constant)

    def set_timer(self, now: float) -> bool:
        """Record that the timer is being set; return False if it is already set."""
        if self.due_at != inf:
            return False
        self.due_at = now + self.interval
        return True

    def on_timer(self) -> None:
        """Record that the timer has fired."""
        self.due_at = inf
