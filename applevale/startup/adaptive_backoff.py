"""Backoff towards a service that many instances call: full jitter over a window that adapts to its load.

An instance does not know how many others there are; it only sees slow and throttled responses. Invariants:

- Towards a fast service there is no delay: the window is zero until a response was slow or throttled.
- Each delay is drawn anew over the whole window, so that instances that were in step do not stay so.
- The delay that a throttling response asks for (`Retry-After`) is a minimum with the jitter on top: all
  instances were given the same value.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

SLOW_RESPONSE_SECONDS = 0.1  # a response to a short read that takes longer is slow
SLOW_RESPONSES_TO_WIDEN = 2  # in a row; a single one may be a fault of the network
WINDOW_PER_LATENCY = 4.0  # the window, as a multiple of the duration of a slow response
MIN_WINDOW_SECONDS = 0.25
MAX_WINDOW_SECONDS = 4.0


@dataclass
class AdaptiveBackoff:
    """The backoff state of one instance.

    Attributes:
        window: The present length of the window in seconds; zero for no delay.
        consecutive_slow: The slow responses in a row.
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
        """Widen the window after a request that was rejected for load."""
        self._widen(MIN_WINDOW_SECONDS)

    def next_delay(self, random_value: float, retry_after: float = 0.0) -> float:
        """Return the seconds until the next request.

        Args:
            random_value: A random number from 0 to 1.
            retry_after: The seconds that a throttling response asked for.
        """
        return retry_after + random_value * self.window

    def _widen(self, minimum: float) -> None:
        self.window = min(MAX_WINDOW_SECONDS, max(2 * self.window, minimum))
