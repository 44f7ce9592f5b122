"""A circuit breaker: what failures in a row lead to. It reads no clock."""

from __future__ import annotations

from .rate_limits import ExponentialBackoff


class CircuitBreaker:
    """Opens for times that double; after one it is on probation until a success.

    `open_until` is the end (s) of the last time for which it was open.
    """

    def __init__(self, open_time: float, max_open_time: float):
        """Let it open for `open_time` seconds first, and for `max_open_time` at most."""
        self.backoff = ExponentialBackoff(open_time, max_open_time)
        self.open_until = 0.0
        self.on_probation = False
        self.consecutive_failures = 0

    def is_open(self, now: float) -> bool:
        """Return whether it is open."""
        return self.open_until > now

    def record_failure(self, is_conclusive: bool, max_failures: int) -> bool:
        """Count a failure; return whether it, or `max_failures` in a row, are a reason to open."""
        self.consecutive_failures += 1
        return is_conclusive or self.consecutive_failures >= max_failures

    def open(self, now: float) -> bool:
        """Open it; return whether that is the first time since a success."""
        is_first = self.backoff.is_initial
        self.open_until = now + self.backoff.advance()
        return is_first

    def record_success(self) -> None:
        """End the probation; a time for which it is open still runs out."""
        self.on_probation = False
        self.consecutive_failures = 0
        self.backoff.reset()

    def close(self) -> None:
        """Begin anew, as if there had been no failure."""
        self.open_until = 0.0
        self.record_success()
