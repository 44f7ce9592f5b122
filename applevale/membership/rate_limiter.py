"""Limits on what one sender makes this member do in a second."""

from __future__ import annotations

from math import inf

from .config import MAX_ANSWERS_PER_SECOND, MAX_MESSAGES_PER_SECOND
from .stats import MembershipStats

WINDOW_SECONDS = 1.0


class SenderRateLimiter:
    """Counts messages by sender, in windows of a second."""

    def __init__(self, stats: MembershipStats):
        """Create a limiter that counts what it rejects in `stats`."""
        self._stats = stats
        self._window_start = -inf
        self._message_counts: dict[int, int] = {}

    def accept_message(self, now: float, sender: int) -> bool:
        """Count a message; return whether its sender has not sent too many."""
        if now - self._window_start >= WINDOW_SECONDS:
            self._window_start = now
            self._message_counts.clear()
        count = self._message_counts.get(sender, 0) + 1
        self._message_counts[sender] = count
        if count > MAX_MESSAGES_PER_SECOND:
            self._stats.floods += 1
            return False
        return True

    def may_answer(self, sender: int) -> bool:
        """Return whether a ping of this sender is answered."""
        if self._message_counts.get(sender, 0) > MAX_ANSWERS_PER_SECOND:
            self._stats.floods += 1
            return False
        return True
