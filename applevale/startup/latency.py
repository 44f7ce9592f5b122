"""What a short read takes lately: mean and deviation, as RFC 6298 has them. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4


@dataclass
class Latency:
    """Times in s. Begins as of a service that nobody knows yet: high, so that no one is left in a hurry."""

    mean: float = 0.05
    deviation: float = 0.05
    known: bool = False

    def took(self, seconds: float) -> None:
        if not self.known:
            self.known = True
            self.mean, self.deviation = seconds, max(seconds / 2, self.deviation)
            return
        self.deviation += DEVIATION_GAIN * (abs(seconds - self.mean) - self.deviation)
        self.mean += GAIN * (seconds - self.mean)

    def high(self) -> float:
        """What an answer takes at the most, as a rule."""
        return self.mean + 4 * self.deviation
