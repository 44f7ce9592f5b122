"""A circuit breaker, which blocks the use of a failing resource for some time. It reads no clock."""

from __future__ import annotations

from .rate_limits import ExponentialBackoff


class CircuitBreaker:
    """A circuit breaker whose open time doubles with each opening; a success resets that time.

    While it is open, the resource should not be used.

    Attributes:
        backoff: Gives the length of the next opening.
        open_until: Time (s) at which the last opening ends.
        on_probation: Whether the resource has yet to succeed after a failure. The owner sets this, and a
            success clears it.
        consecutive_failures: Failures since the last success.
    """

    def __init__(self, open_time: float, max_open_time: float):
        """Create a closed circuit breaker.

        Args:
            open_time: Length of the first opening, in seconds.
            max_open_time: Limit of the length of an opening, in seconds.
        """
        self.backoff = ExponentialBackoff(open_time, max_open_time)
        self.open_until = 0.0
        self.on_probation = False
        self.consecutive_failures = 0

    def is_open(self, now: float) -> bool:
        """Return whether it is open at `now` (s)."""
        return self.open_until > now

    def record_failure(self, is_conclusive: bool, max_failures: int) -> bool:
        """Record a failure; return whether the circuit breaker should be opened.

        It should be opened after a conclusive failure, or after `max_failures` consecutive failures.
        """
        self.consecutive_failures += 1
        return is_conclusive or self.consecutive_failures >= max_failures

    def open(self, now: float) -> bool:
        """Open it at `now` (s); return whether that is the first opening since a success."""
        is_first = self.backoff.is_initial
        self.open_until = now + self.backoff.advance()
        return is_first

    def record_success(self) -> None:
        """End the probation and reset the backoff; an open circuit breaker stays open until its time ends."""
        self.on_probation = False
        self.consecutive_failures = 0
        self.backoff.reset()

    def close(self) -> None:
        """Close it, and forget all failures."""
        self.open_until = 0.0
        self.record_success()
