"""How many bytes a member may send. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

RATE, DEPTH = 1400.0, 550.0  # bytes a second, and at once: no second sees more than both, 1950
FIRST = 100.0  # that a new life may send at once: the one before it may have spent all just now


@dataclass
class Bucket:
    rate: float = RATE
    depth: float = DEPTH
    room: float = FIRST
    at: float = 0.0

    def look(self, now: float) -> float:
        """Bytes that may leave now."""
        self.room = min(self.depth, self.room + max(0.0, now - (self.at or now)) * self.rate)
        self.at = max(self.at, now)
        return self.room

    def take(self, now: float, size: int, keep: float = 0.0) -> bool:
        """Whether so many bytes may leave and still leave room for `keep`; then they are counted."""
        if self.look(now) < size + keep:
            return False
        self.room -= size
        return True
