"""A fake engine that starts cold and fails under overload, by the operators' rule on cold engines."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from random import Random

from .engine import CMD_EXECUTE, FakeEngine

CORES = 8.0
WORK_PER_ATTEMPT_SECONDS = 0.4  # on one core
COLD_CAPACITY_SHARE = 0.33  # at the start of the process
WARM_UP_SECONDS = 15.0  # until it has its whole capacity
OVERLOAD_WINDOW_SECONDS = 1.5
OVERLOAD_FACTOR = 4.0  # it fails when it is sent more than this many times its capacity over the window
ALWAYS_WARM = -1e9  # a start long ago


class ColdEngine(FakeEngine):
    """An engine whose capacity grows after its start, and which fails for good when it is overloaded.

    Attributes:
        started_at: When its process started, by the monotonic clock in seconds.
        recent_attempts: When each attempt within the window arrived.
        failed_at: When it failed, or None.
        peak_overload: The greatest work sent in a window, as a share of what makes it fail.
    """

    def __init__(self, random: Random, started_at: float = ALWAYS_WARM):
        """Prepare an engine that started at the given time; by default it is warm."""
        super().__init__(
            random,
            duration_range=(WORK_PER_ATTEMPT_SECONDS / 2, WORK_PER_ATTEMPT_SECONDS),
            clock=time.monotonic,
            reported_work_ms=int(WORK_PER_ATTEMPT_SECONDS * 1000),
        )
        self.started_at = started_at
        self.recent_attempts: deque[float] = deque()
        self.failed_at: float | None = None
        self.peak_overload = 0.0

    def capacity_share(self, now: float) -> float:
        """Return the share of its whole capacity that it has now, from the cold share to 1."""
        uptime = max(0.0, now - self.started_at)
        return min(1.0, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * uptime / WARM_UP_SECONDS)

    def _handle_command(
        self,
        command: list[bytes],
        writer: asyncio.StreamWriter,
        executions: dict[bytes, asyncio.Task],
        caller: str,
    ) -> None:
        if command[0] == CMD_EXECUTE:
            now = self.clock()
            self._record_attempt(now)
            if self.peak_overload > 1 and self.failed_at is None:
                self._fail(now)
                return
        super()._handle_command(command, writer, executions, caller)

    def _record_attempt(self, now: float) -> None:
        self.recent_attempts.append(now)
        while self.recent_attempts[0] < now - OVERLOAD_WINDOW_SECONDS:
            self.recent_attempts.popleft()
        work = len(self.recent_attempts) * WORK_PER_ATTEMPT_SECONDS
        limit = OVERLOAD_FACTOR * OVERLOAD_WINDOW_SECONDS * CORES * self.capacity_share(now)
        self.peak_overload = max(self.peak_overload, work / limit)

    def _fail(self, now: float) -> None:
        self.failed_at = now
        self.server.close()
        self._abort_connections()
