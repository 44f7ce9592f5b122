"""An estimator of response times, with the smoothing of RFC 6298. It does no I/O and reads no clock."""

from __future__ import annotations

from dataclasses import dataclass

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
UPPER_BOUND_DEVIATIONS = 4
INITIAL_LATENCY_SECONDS = 0.05  # High, so that early responses of an unmeasured service do not count as late.


@dataclass
class LatencyEstimator:
    """Smoothed mean and deviation of response times, in seconds."""

    mean: float = INITIAL_LATENCY_SECONDS
    deviation: float = INITIAL_LATENCY_SECONDS
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
        """Return the duration that nearly all responses stay below, in seconds."""
        return self.mean + UPPER_BOUND_DEVIATIONS * self.deviation
