"""Fair queueing of the connections that have input: each works for a bounded turn, then waits for the next.

There are two queues, as in deficit round robin with sparse flows (RFC 8290). A connection that had read all
its input before is served first, in the order in which its input was found; one that had more input than fits
into its turn is backlogged, and the backlogged ones share what time is left, round robin. All turns of one
iteration of the event loop together take a bounded time, so that timers and engines are served between them,
however many connections have input.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from ..observability.counters import Counters

MAX_ITERATION_SECONDS = 0.006  # after this time the turns that are due wait for the next loop iteration


class TurnResult(Enum):
    """The state of a connection's input after a turn."""

    EMPTIED = auto()
    BACKLOGGED = auto()
    END_OF_STREAM = auto()


Turn = Callable[[], TurnResult]


@dataclass(slots=True)
class WaitingTurn:
    """A turn that is due, the future of its result, and when it was asked for (s, monotonic clock)."""

    turn: Turn
    result: asyncio.Future[TurnResult]
    requested_at: float


class TurnScheduler:
    """Runs turns, one at a time, within the time that an iteration of the event loop has for them."""

    def __init__(self, counters: Counters, clock: Callable[[], float] = time.perf_counter):
        """Create a scheduler without waiting turns.

        Args:
            counters: Counters of the turns that had to wait, and of their longest wait.
            clock: A monotonic clock in seconds.
        """
        self._counters = counters
        self._clock = clock
        self._sparse: deque[WaitingTurn] = deque()
        self._backlogged: deque[WaitingTurn] = deque()
        self._seconds_left = MAX_ITERATION_SECONDS
        self._is_iteration_scheduled = False

    async def take_turn(self, turn: Turn, *, is_backlogged: bool) -> TurnResult:
        """Run a turn, at once if there is time in this iteration, and return its result.

        Args:
            turn: Reads and handles a bounded amount of input. It does not run if the caller is cancelled.
            is_backlogged: Whether the connection's last turn left input behind.
        """
        queue = self._backlogged if is_backlogged else self._sparse
        self._schedule_iteration()
        if self._seconds_left > 0 and not queue:
            return self._run(turn)
        waiting = WaitingTurn(turn, asyncio.get_running_loop().create_future(), self._clock())
        queue.append(waiting)
        self._counters["turns_deferred"] += 1
        return await waiting.result

    def _run(self, turn: Turn) -> TurnResult:
        started_at = self._clock()
        try:
            return turn()
        finally:
            self._seconds_left -= self._clock() - started_at

    def _schedule_iteration(self) -> None:
        if not self._is_iteration_scheduled:
            self._is_iteration_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_iteration)

    def _start_iteration(self) -> None:
        """Run the turns that are due until the time of this iteration is used up.

        One backlogged connection comes first, so that no number of others can stop all of them.
        """
        self._is_iteration_scheduled = False
        self._seconds_left = MAX_ITERATION_SECONDS
        is_backlogged_first = bool(self._backlogged)
        while self._seconds_left > 0 and (self._sparse or self._backlogged):
            queue = self._backlogged if is_backlogged_first or not self._sparse else self._sparse
            is_backlogged_first = False
            self._run_waiting(queue.popleft())
        if self._sparse or self._backlogged:
            self._schedule_iteration()

    def _run_waiting(self, waiting: WaitingTurn) -> None:
        if waiting.result.done():  # its connection was closed while it waited
            return
        self._counters.record_duration("turn_wait_ms", self._clock() - waiting.requested_at)
        try:
            result = self._run(waiting.turn)
        except Exception as error:
            if not waiting.result.done():
                waiting.result.set_exception(error)
        else:
            if not waiting.result.done():
                waiting.result.set_result(result)
