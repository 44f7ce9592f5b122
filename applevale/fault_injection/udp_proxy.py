"""Datagrams between instances: each has a relay socket, which is its address in everyone's `peers`.

The relay socket that a datagram reaches tells its receiver, its source tells its sender; it leaves from the
sender's relay socket, so the receiver sees the address that it knows. One process carries them all.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from .link_conditions import Fates

AT_ONCE = 256  # read from one socket in one turn
MOST_BYTES = 2048
MOST_WAITING = 20_000  # datagrams that wait at a time: beyond, they are lost, and counted


class Relay:
    """`names` are the instances; `real` are where each listens; `address` is what its peers are told."""

    def __init__(self, names: list[str], real: dict[str, tuple[str, int]], fates: Fates):
        self.names, self.real, self.fates = names, real, fates
        self.loop = asyncio.get_running_loop()
        self.senders = {address: name for name, address in real.items()}
        self.socks: dict[str, socket.socket] = {}
        self.address: dict[str, tuple[str, int]] = {}
        self.waiting: set[asyncio.TimerHandle] = set()
        self.figures: Counter = Counter()
        self.seen: Callable[[str, str, int], None] = lambda source, target, size: None  # each that was sent
        self.everyone = self._bind()  # what is sent there reaches all others
        self.loop.add_reader(self.everyone, self._readable, None, self.everyone)
        for name in names:
            sock = self.socks[name] = self._bind()
            self.address[name] = sock.getsockname()
            self.loop.add_reader(sock, self._readable, name, sock)

    @staticmethod
    def _bind() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        return sock

    def stop(self) -> None:
        for sock in (self.everyone, *self.socks.values()):
            self.loop.remove_reader(sock)
            sock.close()
        for timer in self.waiting:
            timer.cancel()

    def _readable(self, target: str | None, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                data, sender = sock.recvfrom(MOST_BYTES)
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            source = self.senders.get(sender)
            if source is None:
                self.figures["strangers"] += 1
                continue
            for one in [target] if target else [name for name in self.names if name != source]:
                self._take(source, one, data)

    def _take(self, source: str, target: str, data: bytes) -> None:
        self.figures["sent"] += 1
        self.seen(source, target, len(data))
        waits = self.fates.datagram(self.loop.time(), source, target, len(data))
        if not waits:
            self.figures["lost"] += 1
        for wait in waits:
            if wait <= 0.0005:
                self._leave(source, target, data)
            elif len(self.waiting) >= MOST_WAITING:
                self.figures["over_limit"] += 1
            else:
                self._later(wait, source, target, data)

    def _later(self, wait: float, source: str, target: str, data: bytes) -> None:
        def due() -> None:
            self.waiting.discard(handle)
            self._leave(source, target, data)

        handle = self.loop.call_later(wait, due)
        self.waiting.add(handle)

    def _leave(self, source: str, target: str, data: bytes) -> None:
        try:
            self.socks[source].sendto(data, self.real[target])
            self.figures["passed"] += 1
        except OSError:
            self.figures["unsendable"] += 1
