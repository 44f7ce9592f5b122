"""Notices by a periodic timer that the process stood still. It reads no clock."""

from __future__ import annotations

from math import exp, inf


class StallDetector:
    """Keeps the time at which the timer is due; a timer that is late by far shows a stall."""

    def __init__(self, interval: float, tolerance: float, time_constant: float):
        """Watch a timer of `interval` seconds.

        Args:
            interval: Seconds from setting the timer until it is due.
            tolerance: Seconds of lateness that are no stall.
            time_constant: Seconds in which a past stall comes to count 1/e of its length.
        """
        self.interval = interval
        self.tolerance = tolerance
        self.time_constant = time_constant
        self.due_at = inf  # inf: the timer is not set
        self.longest = 0.0
        self.longest_at = 0.0

    def check(self, now: float) -> float:
        """Return the length (s) of a stall that ends now; 0 if there is none."""
        stall = now - self.due_at
        if stall <= self.tolerance:
            return 0.0
        self.longest = max(stall, self.recent(now))
        self.longest_at = now
        return stall

    def recent(self, now: float) -> float:
        """Return the longest stall (s), less by the time since."""
        return self.longest * exp((self.longest_at - now) / self.time_constant)

    def set_timer(self, now: float) -> bool:
        """Take note that the timer is to be set; return False if it is set already."""
        if self.due_at != inf:
            return False
        self.due_at = now + self.interval
        return True

    def on_timer(self) -> None:
        """Take note that the timer has run out."""
        self.due_at = inf
