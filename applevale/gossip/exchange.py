"""News of engines between workload managers: when they leave, and what is made of those that come."""

from __future__ import annotations

import asyncio

from ..dispatch.event_loop_driver import EventLoopDriver
from ..net.datagrams import Datagrams
from ..observability.counters import Counters
from .load_reports import HOLD, VERSION, News, NewsError


class Peers:
    """What fails here costs news and nothing else."""

    def __init__(self, datagrams: Datagrams, news: News, driver: EventLoopDriver, counters: Counters):
        self.datagrams, self.news, self.driver, self.counters = datagrams, news, driver, counters
        datagrams.takers[VERSION] = self._take
        self.timer: asyncio.TimerHandle | None = None  # of the next datagram

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def reported(self, engine: int, report: tuple[float, ...]) -> None:
        """An engine told its load in an answer or to a probe."""
        self.news.answered(self.driver.now(), engine, report)
        if self.timer is None and self.news.waiting():
            self.timer = asyncio.get_running_loop().call_later(HOLD, self._tell)

    def sent(self, engine: int, threads: int) -> None:
        """An attempt has left for an engine."""
        if self.news.sent(engine, threads):
            self._tell()

    def _tell(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        data = self.news.datagram()
        if data is not None and self.datagrams.send(data, self.datagrams.addresses.everyone):
            self.counters["news_told"] += 1
            self.counters["news_bytes"] += len(data)

    def _take(self, number: int, data: bytes) -> None:
        try:
            events = self.news.heard(self.driver.now(), data)
        except NewsError as error:
            self.datagrams.unreadable(self.datagrams.addresses.each[number], str(error))
            return
        self.counters["news_heard"] += 1
        for event in events:
            self.driver.submit_gossip(event)
