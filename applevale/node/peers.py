"""The datagrams between workload managers: who may send them, and where they go."""

from __future__ import annotations

import asyncio
import socket

from ..observe.counters import Counters
from ..observe.events import say
from .config import Address, PeerAddresses
from .driver import Driver
from .news import HOLD, MOST_BYTES, News, NewsError

AT_ONCE = 64  # datagrams read in one turn of the loop, so that a flood leaves time for the rest


class Peers:
    """Owns the socket to the other workload managers. What fails here costs news and nothing else."""

    def __init__(self, addresses: PeerAddresses, me: int, news: News, driver: Driver, counters: Counters):
        self.everyone, self.news, self.driver, self.counters = addresses.everyone, news, driver, counters
        # Only the others may tell something; the own words may come back from the address of all.
        self.own = addresses.each[me] if me < len(addresses.each) else addresses.listen
        self.others = frozenset(addresses.each) - {self.own}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(addresses.listen)
        self.timer: asyncio.TimerHandle | None = None  # of the next datagram

    def start(self) -> None:
        asyncio.get_running_loop().add_reader(self.sock, self._readable)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()

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
        if data is None:
            return
        try:
            self.sock.sendto(data, self.everyone)
            self.counters["news_told"] += 1
            self.counters["news_bytes"] += len(data)
        except OSError as error:  # no room in the socket, or no one there: it is not told again
            say("peers", f"not told: {error}")

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            try:
                data, sender = self.sock.recvfrom(MOST_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # word that an earlier datagram reached no one
                say("peers", f"{type(error).__name__}: {error}")
                return
            self._take(data, sender)

    def _take(self, data: bytes, sender: Address) -> None:
        if sender == self.own:
            return
        if sender not in self.others:
            self.counters["news_unreadable"] += 1
            say("peers", f"{sender[0]}:{sender[1]}: not one of the peers")
            return
        try:
            events = self.news.heard(self.driver.now(), data)
        except NewsError as error:
            self.counters["news_unreadable"] += 1
            say("peers", f"{sender[0]}:{sender[1]}: {error}")
            return
        self.counters["news_heard"] += 1
        for event in events:
            self.driver.heard(event)
