"""A token bucket that limits the bytes that one member sends. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

RATE_BYTES_PER_SECOND = 1400.0
BURST_BYTES = 550.0  # At most 1950 bytes, rate plus burst, are sent within any second.
INITIAL_BYTES = 100.0  # Less than a burst, since the process before a restart may just have sent one.


@dataclass
class TokenBucket:
    """A token bucket whose tokens are bytes.

    Attributes:
        rate: Bytes added per second.
        capacity: Maximum number of bytes that accumulate.
        available: Bytes that may be sent as of `updated_at`.
        updated_at: Time of the last refill, in seconds; 0 before the first one.
    """

    rate: float = RATE_BYTES_PER_SECOND
    capacity: float = BURST_BYTES
    available: float = INITIAL_BYTES
    updated_at: float = 0.0

    def refill(self, now: float) -> float:
        """Add the bytes that accumulated since the last refill; return the bytes that may be sent now."""
        elapsed = max(0.0, now - (self.updated_at or now))
        self.available = min(self.capacity, self.available + elapsed * self.rate)
        self.updated_at = max(self.updated_at, now)
        return self.available

    def consume(self, now: float, size: int, reserve: float = 0.0) -> bool:
        """Take `size` bytes if at least `reserve` bytes remain after that; return whether they were taken."""
        if self.refill(now) < size + reserve:
            return False
        self.available -= size
        return True
