"""TCP gates before servers. Who calls is told by the local address that it bound: one for each instance."""

from __future__ import annotations

import asyncio
from collections import deque

from .link_conditions import Fates

HIGH = 1 << 18  # bytes that wait in one direction of a connection until its sender is not read from any more
LOOK = 0.02  # s between two looks whether a cut has ended


def source_address(number: int) -> str:
    """The local address of an instance, up to 60,000 of them."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


def source_number(address: str) -> int | None:
    """The instance whose address this is; None for others."""
    head, _, tail = address.partition("127.1.")
    if head or not tail:
        return None
    high, _, low = tail.partition(".")
    return int(high) * 250 + int(low) - 1


class _Way:
    """One direction of a connection: bytes leave in the order they came, when their fate lets them."""

    def __init__(self, gate: Gate, source: str, target: str):
        self.gate, self.source, self.target = gate, source, target
        self.waiting: deque[tuple[float, bytes]] = deque()
        self.size, self.last = 0, 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.reads: asyncio.Transport | None = None
        self.writes: asyncio.Transport | None = None
        self.ending = False

    def put(self, data: bytes) -> None:
        loop = self.gate.loop
        now = loop.time()
        fate = self.gate.fates.of(self.source, self.target)
        if not (
            self.waiting or fate.cut or fate.delay or fate.jitter or fate.bandwidth or self.writes is None
        ):
            self.writes.write(data)
            return
        self.last = max(self.last, now + self.gate.fates.wait(now, self.source, self.target, len(data)))
        self.waiting.append((self.last, data))
        self.size += len(data)
        if self.size > HIGH:
            self.reads.pause_reading()
        self.look()

    def look(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.writes is None or self.writes.is_closing():
            return
        now = self.gate.loop.time()
        if self.gate.fates.of(self.source, self.target).cut:
            if self.waiting or self.ending:
                self.timer = self.gate.loop.call_later(LOOK, self.look)
            return
        while self.waiting and self.waiting[0][0] <= now + 0.0005:
            _, data = self.waiting.popleft()
            self.size -= len(data)
            self.writes.write(data)
        if self.size <= HIGH and self.reads is not None and not self.reads.is_closing():
            self.reads.resume_reading()
        if self.waiting:
            self.timer = self.gate.loop.call_later(self.waiting[0][0] - now, self.look)
        elif self.ending:
            self.writes.close()

    def end(self) -> None:
        """The sender has closed: the other side hears of it behind all that was sent."""
        self.ending = True
        self.look()

    def drop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class _Side(asyncio.Protocol):
    def __init__(self, pair: _Pair, way: _Way):
        self.pair, self.way = pair, way

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.way.reads = transport
        self.pair.made(self)

    def data_received(self, data: bytes) -> None:
        self.way.put(data)

    def eof_received(self) -> bool:
        self.way.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.pair.lost(self)


class _Pair:
    """A caller's connection and the one to the server behind it."""

    def __init__(self, gate: Gate):
        self.gate = gate
        self.caller = ""
        self.near: _Side = _Side(self, _Way(gate, "", gate.name))
        self.far: _Side | None = None
        self.task: asyncio.Task | None = None

    def made(self, side: _Side) -> None:
        if side is not self.near:
            return
        host = side.way.reads.get_extra_info("peername")[0]
        number = source_number(host)
        self.caller = f"n{number}" if number is not None else "other"
        self.near.way.source = self.caller
        if self.gate.fates.of(self.caller, self.gate.name).refuse:
            side.way.reads.abort()
            return
        self.gate.pairs.add(self)
        self.far = _Side(self, _Way(self.gate, self.gate.name, self.caller))
        self.far.way.writes = side.way.reads
        self.task = self.gate.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            while self.gate.fates.of(self.caller, self.gate.name).cut:
                await asyncio.sleep(LOOK)
            await self.gate.loop.create_connection(
                lambda: self.far, *self.gate.target, local_addr=self.gate.local(self.near.way.reads)
            )
        except OSError:
            self.end()
            return
        self.near.way.writes = self.far.way.reads
        self.near.way.look()

    def lost(self, side: _Side) -> None:
        other = self.far if side is self.near else self.near
        side.way.drop()
        if other is not None and other.way.reads is not None and not other.way.reads.is_closing():
            if side.way.waiting and not side.way.writes.is_closing():
                side.way.end()
            else:
                other.way.reads.close()
        else:
            self.gate.pairs.discard(self)
        if side is self.near and self.far is not None and self.far.way.reads is None:
            self.end()

    def end(self) -> None:
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
        for side in (self.near, self.far):
            if side is not None and side.way.reads is not None:
                side.way.drop()
                side.way.reads.abort()
        self.gate.pairs.discard(self)


class Gate:
    """Listens on loopback before one server, and passes on what the fates of each pair let pass. The server
    sees the caller's own local address."""

    def __init__(self, name: str, target: tuple[str, int], fates: Fates):
        self.name, self.target, self.fates = name, target, fates
        self.loop = asyncio.get_running_loop()
        self.pairs: set[_Pair] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        self.server = await self.loop.create_server(self._accept, *self.address, backlog=1024)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _accept(self) -> _Side:
        return _Pair(self).near

    @staticmethod
    def local(transport: asyncio.Transport) -> tuple[str, int] | None:
        host = transport.get_extra_info("peername")[0]
        return (host, 0) if host != "127.0.0.1" else None

    def changed(self) -> None:
        """Fates have changed: what is refused now ends."""
        for pair in list(self.pairs):
            if self.fates.of(pair.caller, self.name).refuse:
                pair.end()

    async def stop(self) -> None:
        self.server.close()
        for pair in list(self.pairs):
            pair.end()
        await asyncio.sleep(0)
