"""Watches the event loop for stalls, after which the order of requests is unknown for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..observability.counters import Counters
from .arrival_order import TICK_SECONDS, ArrivalOrder, Source
from .clock import UnixClock


class StallMonitor:
    """Holds the requests with an ordering key back after a stall, until what accumulated has been read.

    Attributes:
        arrival_order: The order in which requests arrived.
        order_known: Cleared by a stall of the loop, and set once all that accumulated has been read. Requests
            with an ordering key wait for it.
        source_listings: Functions that list sources of requests, each with whether it is readable.
    """

    def __init__(self, clock: UnixClock, counters: Counters) -> None:
        """Create a monitor that does not watch yet; `counters` counts stalls."""
        self.arrival_order = ArrivalOrder()
        self.order_known = asyncio.Event()
        self.order_known.set()
        self.source_listings: list[Callable[[], list[tuple[Source, bool]]]] = []
        self._clock = clock
        self._counters = counters
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch the loop."""
        self._tick()

    def stop(self) -> None:
        """Stop watching the loop."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        order = self.arrival_order
        now = self._clock.now()
        self._timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)
        if order.on_tick(now):
            self._counters["stood_still"] += 1
            self.order_known.clear()
        elif order.is_catching_up and order.finish_catching_up(self._all_caught_up(), now):
            self.order_known.set()

    def _all_caught_up(self) -> bool:
        return all(
            self.arrival_order.is_caught_up(source, readable)
            for list_sources in self.source_listings
            for source, readable in list_sources()
        )
