"""Limited capacity of a service: calls are served one at a time, at a fixed rate over all callers."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass
class ServiceCapacity:
    """A queue in front of a service that serves `rate` calls per second.

    A call keeps its place in the queue even if its caller cancels it. The class does no I/O and reads no
    clock.

    Attributes:
        rate: Calls per second; infinite by default.
        max_wait: Maximum time in the queue in seconds; a call that would wait longer is rejected.
        next_free_at: When the service can start the next call, in seconds.
        rejected: Number of calls rejected so far.
    """

    rate: float = inf
    max_wait: float = inf
    next_free_at: float = 0.0
    rejected: int = 0

    def reserve(self, now: float) -> float | None:
        """Return the seconds until a call made at `now` is completed, or None if it is rejected."""
        if self.rate == inf:
            return 0.0
        begin = max(now, self.next_free_at)
        if begin - now > self.max_wait:
            self.rejected += 1
            return None
        self.next_free_at = begin + 1 / self.rate
        return self.next_free_at - now
