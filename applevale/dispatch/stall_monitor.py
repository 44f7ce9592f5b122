"""Detects stalls of the event loop, after which the order of accumulated requests is unknown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from ..observability.counters import Counters
from .arrival_order import TICK_SECONDS, ArrivalOrder, ArrivalSource
from .clock import UnixClock


class StallMonitor:
    """Holds back requests with an order key after a stall, until all accumulated data has been read.

    Attributes:
        arrival_order: The order of arrivals, as far as it is known.
        order_known: Cleared by a stall, and set once all data that accumulated during it has been read.
            Requests with an order key wait for it.
        readable_source_providers: Functions that return the sources that have something to read.
    """

    def __init__(self, clock: UnixClock, counters: Counters) -> None:
        """Create a monitor that is not started; it counts stalls in `counters`."""
        self.arrival_order = ArrivalOrder()
        self.order_known = asyncio.Event()
        self.order_known.set()
        self.readable_source_providers: list[Callable[[], list[ArrivalSource]]] = []
        self._held_back = 0  # calls of `wait_for_order` that have not returned
        self._clock = clock
        self._counters = counters
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to monitor the running loop."""
        self._tick()

    def stop(self) -> None:
        """Stop monitoring the loop."""
        if self._timer is not None:
            self._timer.cancel()

    async def wait_for_order(self, timeout: float) -> bool:
        """Wait until the order of arrivals is known; return whether it is within `timeout` seconds.

        Callers return in the order in which they called.
        """
        if self.order_known.is_set() and not self._held_back:
            return True
        started_at = self._clock.now()
        self._held_back += 1
        try:
            if self.order_known.is_set():
                await asyncio.sleep(0)  # those before are about to return
            else:
                async with asyncio.timeout(timeout):
                    await self.order_known.wait()
        except TimeoutError:
            return False
        finally:
            self._held_back -= 1
            self._counters.record_duration("order_wait_ms", self._clock.now() - started_at)
        return True

    def _tick(self) -> None:
        order = self.arrival_order
        now = self._clock.now()
        self._timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)
        if order.ticked_at > -inf:
            self._counters.record_duration("loop_late_ms", now - order.ticked_at - TICK_SECONDS)
        if order.on_tick(now):
            self._counters["stood_still"] += 1
            self.order_known.clear()
        elif order.is_catching_up and order.finish_catching_up(self._all_caught_up(), now):
            self.order_known.set()

    def _all_caught_up(self) -> bool:
        return all(
            self.arrival_order.is_caught_up(source, True)
            for readable_sources in self.readable_source_providers
            for source in readable_sources()
        )
