"""Backoff for a service that many instances call: full jitter over a window that adapts to its load.

An instance does not know how many other instances there are; it sees only slow and throttled responses.
Invariants:

- A fast service is called without delay: the window is zero until responses are slow or throttled.
- Each delay is drawn anew from the whole window, so that instances that are in step spread out.
- The delay that a throttling response asks for (`Retry-After`) is a minimum. The jitter is added to it, since
  all instances may have received the same value.

The module does no I/O and reads no clock. Durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

SLOW_RESPONSE_SECONDS = 0.1  # A short read that takes longer counts as slow.
SLOW_RESPONSES_TO_WIDEN = 2  # A single slow response may be due to the network.
WINDOW_PER_LATENCY = 4.0  # Ratio of the window to the duration of a slow response.
MIN_WINDOW_SECONDS = 0.25
MAX_WINDOW_SECONDS = 4.0


@dataclass
class AdaptiveBackoff:
    """Backoff state of one instance.

    Attributes:
        window: Current length of the window in seconds; zero for no delay.
        consecutive_slow: Number of consecutive slow responses.
    """

    window: float = 0.0
    consecutive_slow: int = 0

    def record_success(self, duration: float) -> None:
        """Adapt the window to a response that took `duration` seconds."""
        is_slow = duration > SLOW_RESPONSE_SECONDS
        self.consecutive_slow = self.consecutive_slow + 1 if is_slow else 0
        if self.consecutive_slow >= SLOW_RESPONSES_TO_WIDEN:
            self._widen(WINDOW_PER_LATENCY * duration)
        elif not is_slow:
            self.window = self.window / 2 if self.window > MIN_WINDOW_SECONDS else 0.0

    def record_throttled(self) -> None:
        """Widen the window after a request that was rejected because of the service's load."""
        self._widen(MIN_WINDOW_SECONDS)

    def next_delay(self, random_value: float, retry_after: float = 0.0) -> float:
        """Return the delay before the next request, in seconds.

        Args:
            random_value: Random number from 0 to 1.
            retry_after: Delay that a throttling response asked for, in seconds.
        """
        return retry_after + random_value * self.window

    def _widen(self, minimum: float) -> None:
        """Double the window, to at least `minimum` and at most `MAX_WINDOW_SECONDS` seconds."""
        self.window = min(MAX_WINDOW_SECONDS, max(2 * self.window, minimum))
