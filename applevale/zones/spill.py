"""How much work may go to a zone: an exact account over a sliding window. No I/O and no clock.

Invariant: in no window of `span` s is more work let through than the limit given with each piece at its time.
What alone is more than a whole window's limit never goes.
"""

from __future__ import annotations

from collections import deque


class Window:
    def __init__(self, span: float):
        self.span = span
        self.pieces: deque[tuple[float, float]] = deque()  # when, how much
        self.total = 0.0

    def used(self, now: float) -> float:
        while self.pieces and self.pieces[0][0] <= now - self.span:
            self.total -= self.pieces.popleft()[1]
        if not self.pieces:
            self.total = 0.0
        return self.total

    def fits(self, now: float, work: float, limit: float) -> bool:
        """`limit`: work that a window may hold, core seconds."""
        return self.used(now) + work <= limit

    def add(self, now: float, work: float) -> None:
        self.used(now)
        self.pieces.append((now, work))
        self.total += work
