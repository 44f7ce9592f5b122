"""A measure of how late something ran, which is forgotten gradually."""

from __future__ import annotations

from math import exp

LATENESS_DECAY_SECONDS = 3.0  # time constant with which a measured lateness loses weight


class DecayingLateness:
    """The last large lateness that was measured, which loses weight exponentially with its age."""

    __slots__ = ("measured_at", "seconds")

    def __init__(self) -> None:
        """Start with none."""
        self.seconds = 0.0
        self.measured_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Take a new measurement for the old one."""
        self.seconds = seconds
        self.measured_at = now

    def weighted(self, now: float) -> float:
        """Return what is left of it, in seconds."""
        return self.seconds * exp((self.measured_at - now) / LATENESS_DECAY_SECONDS)
