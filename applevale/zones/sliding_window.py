"""The work that was sent to a zone, summed exactly over a sliding window. No I/O and no clock.

Invariant: if `fits` is checked with the same limit before each `add`, no window of the given length contains
more work than the limit. Work that alone exceeds the limit never fits.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class WorkRecord(NamedTuple):
    """A piece of work that was sent to a zone.

    Attributes:
        sent_at: When it was sent, in seconds.
        work: Its amount, in core seconds.
    """

    sent_at: float
    work: float


class SlidingWindow:
    """Sum of the work that was sent within the last `length` seconds."""

    def __init__(self, length: float):
        """Create an empty window of `length` seconds."""
        self.length = length
        self.records: deque[WorkRecord] = deque()
        self.total = 0.0

    def used(self, now: float) -> float:
        """Return the work in the window that ends now, in core seconds; drop older records."""
        oldest = now - self.length
        while self.records and self.records[0].sent_at <= oldest:
            self.total -= self.records.popleft().work
        if not self.records:
            self.total = 0.0
        return self.total

    def fits(self, now: float, work: float, limit: float) -> bool:
        """Return whether the window would stay within `limit` core seconds with this work added."""
        return self.used(now) + work <= limit

    def add(self, now: float, work: float) -> None:
        """Record work in core seconds that was sent now."""
        self.used(now)
        self.records.append(WorkRecord(now, work))
        self.total += work
