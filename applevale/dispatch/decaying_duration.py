"""A measured duration that decays with time."""

from __future__ import annotations

from math import exp

DECAY_SECONDS = 3.0  # time constant of the exponential decay


class DecayingDuration:
    """A measured duration that decays exponentially with its age.

    Attributes:
        seconds: The measured duration.
        measured_at: Time of the measurement.
    """

    __slots__ = ("measured_at", "seconds")

    def __init__(self) -> None:
        """Start with a duration of zero."""
        self.seconds = 0.0
        self.measured_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Replace the measurement."""
        self.seconds = seconds
        self.measured_at = now

    def decayed(self, now: float) -> float:
        """Return the decayed duration in seconds."""
        return self.seconds * exp((self.measured_at - now) / DECAY_SECONDS)
