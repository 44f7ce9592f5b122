"""Limit on how often a registry watcher opens standby sessions.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from .watcher_config import WatcherConfig

MAX_INTERVAL_DOUBLINGS = 10


@dataclass
class StandbyLimiter:
    """Limits how often standby sessions are opened.

    The interval grows as long as standby sessions are no faster than the active one.

    Attributes:
        config: Timing parameters.
        started_at: Times at which the latest standby sessions were opened.
        not_faster_count: Consecutive standby sessions that were no faster than the active one.
        failure_count: Consecutive standby sessions that failed before they could be compared with the
            active one.
        not_before: End of the backoff after a failed standby session.
    """

    config: WatcherConfig
    started_at: list[float] = field(default_factory=list)
    not_faster_count: int = 0
    failure_count: int = 0
    not_before: float = -inf

    def earliest_start(self, member_count: int) -> float:
        """Return the time from which the next standby session may be opened."""
        config = self.config
        limit = max(1, member_count - 1)
        if len(self.started_at) < limit:
            return self.not_before
        doublings = min(self.not_faster_count, MAX_INTERVAL_DOUBLINGS)
        interval = min(config.max_standby_interval, config.initial_standby_interval * 2**doublings)
        return max(self.started_at[-limit] + interval, self.not_before)

    def record_start(self, now: float, member_count: int) -> None:
        """Record that a standby session is being opened."""
        self.started_at = [*self.started_at[-member_count:], now]

    def record_not_faster(self) -> None:
        """Record a standby session that was no faster, which shows that the whole service is slow."""
        self.not_faster_count += 1

    def record_failure(self, now: float, backoff: float) -> None:
        """Record a standby session that failed. It allowed no comparison and does not count as opened.

        Args:
            now: Time of the failure.
            backoff: Time during which no standby session may be opened, in s.
        """
        if self.started_at:
            self.started_at.pop()
        self.not_before = now + backoff
        self.failure_count += 1

    def record_takeover(self) -> None:
        """Record a standby session that was faster and has become the active one."""
        self.not_faster_count = 0
        self.failure_count = 0

    def reset(self) -> None:
        """Forget earlier standby sessions, once the cause of their failure or slowness is over."""
        self.record_takeover()
        self.started_at.clear()
