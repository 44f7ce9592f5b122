"""An estimator of response times, with the smoothing of RFC 6298. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
UPPER_BOUND_DEVIATIONS = 4
INITIAL_SECONDS = 0.05  # high for a service not yet measured, so that no response is judged late too soon


@dataclass
class LatencyEstimator:
    """Smoothed mean and deviation of response times, in seconds."""

    mean: float = INITIAL_SECONDS
    deviation: float = INITIAL_SECONDS
    has_samples: bool = False

    def record(self, duration: float) -> None:
        """Add a response time in seconds; the first one replaces the initial mean."""
        if not self.has_samples:
            self.has_samples = True
            self.mean = duration
            self.deviation = max(duration / 2, self.deviation)
            return
        self.deviation += DEVIATION_GAIN * (abs(duration - self.mean) - self.deviation)
        self.mean += MEAN_GAIN * (duration - self.mean)

    def upper_bound(self) -> float:
        """Return the seconds within which nearly all responses come."""
        return self.mean + UPPER_BOUND_DEVIATIONS * self.deviation
