"""A fake engine that starts cold and fails under overload, as the operators describe cold engines."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from random import Random

from .engine import CMD_EXECUTE, FakeEngine

CORE_COUNT = 8.0
WORK_PER_ATTEMPT_SECONDS = 0.4  # CPU time on one core
COLD_CAPACITY_SHARE = 0.33  # share of the full capacity when the process starts
WARM_UP_SECONDS = 15.0  # time from the start to the full capacity
OVERLOAD_WINDOW_SECONDS = 1.5
OVERLOAD_FACTOR = 4.0  # the engine fails when the work sent in a window exceeds this multiple of its capacity
ALWAYS_WARM = -1e9  # start time that is long past


class ColdEngine(FakeEngine):
    """An engine whose capacity grows after its start and that fails permanently when it is overloaded.

    Attributes:
        started_at: When its process started, in seconds of the monotonic clock.
        recent_attempts: Arrival times of the attempts within the window.
        failed_at: When the engine failed, or None.
        peak_overload: Largest ratio of the work sent in a window to the work at which the engine fails.
    """

    def __init__(self, random: Random, started_at: float = ALWAYS_WARM):
        """Create an engine that started at the given time; by default it is warm."""
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
        """Return the current share of the full capacity, from `COLD_CAPACITY_SHARE` to 1."""
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
        limit = OVERLOAD_FACTOR * OVERLOAD_WINDOW_SECONDS * CORE_COUNT * self.capacity_share(now)
        self.peak_overload = max(self.peak_overload, work / limit)

    def _fail(self, now: float) -> None:
        self.failed_at = now
        self.server.close()
        self._abort_connections()
