"""Limits on the messages that are accepted and answered from one sender per second."""

from __future__ import annotations

from math import inf

from .config import MAX_ANSWERS_PER_SECOND, MAX_MESSAGES_PER_SECOND
from .stats import MembershipStats

WINDOW_SECONDS = 1.0


class SenderRateLimiter:
    """Counts messages by sender, in fixed windows of a second."""

    def __init__(self, stats: MembershipStats):
        """Create a limiter that counts rejected messages and answers in `stats`."""
        self._stats = stats
        self._window_start = -inf
        self._message_counts: dict[int, int] = {}

    def accept_message(self, now: float, sender: int) -> bool:
        """Count a message; return whether its sender is within its limit."""
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
        """Return whether a ping from this sender may be answered."""
        if self._message_counts.get(sender, 0) > MAX_ANSWERS_PER_SECOND:
            self._stats.floods += 1
            return False
        return True
