"""An engine that starts cold and falls over when it is pushed, by the operators' rule on cold engines."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from random import Random

from .engine import StandinEngine

CORES, WORK = 8.0, 0.4  # s of work of one want on one core
COLD, WARM_UP = 0.33, 15.0  # share of its capacity at its start, and s until it has all
SPAN, MULTIPLE = 1.5, 4.0  # sent more than this many times what it can do, over the span, it falls over


class ColdEngine(StandinEngine):
    """`started`: when its process came up, by the steady clock; long ago by default."""

    def __init__(self, random: Random, started: float = -1e9):
        super().__init__(random, took=(WORK / 2, WORK), clock=time.monotonic, toil=int(WORK * 1000))
        self.started = started
        self.lately: deque[float] = deque()  # wants within the span
        self.fell: float | None = None
        self.pushed = 0.0  # the most it was sent, over what makes it fall

    def share(self, now: float) -> float:
        return min(1.0, COLD + (1 - COLD) * max(0.0, now - self.started) / WARM_UP)

    def _take(self, command: list[bytes], writer: asyncio.StreamWriter, running: dict, caller: str) -> None:
        if command[0] == b"want":
            now = self.clock()
            self.lately.append(now)
            while self.lately[0] < now - SPAN:
                self.lately.popleft()
            self.pushed = max(
                self.pushed, len(self.lately) * WORK / (MULTIPLE * SPAN * CORES * self.share(now))
            )
            if self.pushed > 1 and self.fell is None:
                self.fell = now
                self.server.close()
                for other in list(self.writers):
                    other.transport.abort()
                return
        super()._take(command, writer, running, caller)
