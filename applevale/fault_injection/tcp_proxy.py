"""TCP proxies before servers.

The caller is known by the local address that it bound: one for each instance.
"""

from __future__ import annotations

import asyncio
from collections import deque

from ..net.addresses import Address
from .link_conditions import LinkConditions

MAX_BUFFERED_BYTES = 1 << 18  # in one direction of a connection; beyond, its sender is not read from
CUT_POLL_SECONDS = 0.02  # between two looks whether a cut has ended
MIN_DELAY_SECONDS = 0.0005  # what is due within this time leaves now
BACKLOG = 1024
ADDRESSES_PER_BLOCK = 250


def source_address(number: int) -> str:
    """Return the local address of an instance; there are 60,000 of them."""
    return f"127.1.{number // ADDRESSES_PER_BLOCK}.{number % ADDRESSES_PER_BLOCK + 1}"


def source_number(address: str) -> int | None:
    """Return the number of the instance with this address; None for others."""
    head, _, tail = address.partition("127.1.")
    if head or not tail:
        return None
    block, _, position = tail.partition(".")
    return int(block) * ADDRESSES_PER_BLOCK + int(position) - 1


class _Direction:
    """One direction of a connection: bytes leave in the order they came, when the conditions let them."""

    def __init__(self, proxy: TcpProxy, source: str, target: str):
        self.proxy = proxy
        self.source = source
        self.target = target
        self.buffer: deque[tuple[float, bytes]] = deque()  # when due, data
        self.buffered_bytes = 0
        self.last_due = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.reader: asyncio.Transport | None = None
        self.writer: asyncio.Transport | None = None
        self.is_ending = False

    def put(self, data: bytes) -> None:
        """Take data from the sender."""
        condition = self.proxy.conditions.between(self.source, self.target)
        is_delayed = condition.cut or condition.delay or condition.jitter or condition.bandwidth
        if not (self.buffer or is_delayed or self.writer is None):
            self.writer.write(data)
            return
        now = self.proxy.loop.time()
        delay = self.proxy.conditions.stream_delay(now, self.source, self.target, len(data))
        self.last_due = max(self.last_due, now + delay)
        self.buffer.append((self.last_due, data))
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.reader.pause_reading()
        self.flush()

    def flush(self) -> None:
        """Write what is due, and come back when more is."""
        self.cancel_timer()
        if self.writer is None or self.writer.is_closing():
            return
        loop = self.proxy.loop
        if self.proxy.conditions.between(self.source, self.target).cut:
            if self.buffer or self.is_ending:
                self.timer = loop.call_later(CUT_POLL_SECONDS, self.flush)
            return
        now = loop.time()
        while self.buffer and self.buffer[0][0] <= now + MIN_DELAY_SECONDS:
            _, data = self.buffer.popleft()
            self.buffered_bytes -= len(data)
            self.writer.write(data)
        can_read = self.reader is not None and not self.reader.is_closing()
        if can_read and self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.reader.resume_reading()
        if self.buffer:
            self.timer = loop.call_later(self.buffer[0][0] - now, self.flush)
        elif self.is_ending:
            self.writer.close()

    def end(self) -> None:
        """Note that the sender has closed: the receiver sees it behind all that was sent."""
        self.is_ending = True
        self.flush()

    def cancel_timer(self) -> None:
        """Cancel the timer of the next flush, if there is one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class _Side(asyncio.Protocol):
    """One of the two connections of a pair; its direction begins at this side."""

    def __init__(self, pair: _ConnectionPair, direction: _Direction):
        self.pair = pair
        self.direction = direction

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.direction.reader = transport
        self.pair.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self.direction.put(data)

    def eof_received(self) -> bool:
        self.direction.end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.pair.on_disconnected(self)


class _ConnectionPair:
    """A caller's connection and the one to the server behind it."""

    def __init__(self, proxy: TcpProxy):
        self.proxy = proxy
        self.caller = ""
        self.downstream = _Side(self, _Direction(proxy, "", proxy.name))  # the caller's
        self.upstream: _Side | None = None  # the server's
        self.connect_task: asyncio.Task | None = None

    def on_connected(self, side: _Side) -> None:
        if side is not self.downstream:
            return
        transport = side.direction.reader
        number = source_number(transport.get_extra_info("peername")[0])
        self.caller = f"n{number}" if number is not None else "other"
        side.direction.source = self.caller
        if self.proxy.conditions.between(self.caller, self.proxy.name).refuse:
            transport.abort()
            return
        self.proxy.pairs.add(self)
        self.upstream = _Side(self, _Direction(self.proxy, self.proxy.name, self.caller))
        self.upstream.direction.writer = transport
        self.connect_task = self.proxy.loop.create_task(self._connect())

    async def _connect(self) -> None:
        proxy = self.proxy
        try:
            while proxy.conditions.between(self.caller, proxy.name).cut:
                await asyncio.sleep(CUT_POLL_SECONDS)
            local_address = proxy.local_address(self.downstream.direction.reader)
            await proxy.loop.create_connection(lambda: self.upstream, *proxy.target, local_addr=local_address)
        except OSError:
            self.abort()
            return
        self.downstream.direction.writer = self.upstream.direction.reader
        self.downstream.direction.flush()

    def on_disconnected(self, side: _Side) -> None:
        other = self.upstream if side is self.downstream else self.downstream
        direction = side.direction
        direction.cancel_timer()
        if self._is_open(other):
            if direction.buffer and not direction.writer.is_closing():
                direction.end()
            else:
                other.direction.reader.close()
        else:
            self.proxy.pairs.discard(self)
        is_connecting = self.upstream is not None and self.upstream.direction.reader is None
        if side is self.downstream and is_connecting:
            self.abort()

    @staticmethod
    def _is_open(side: _Side | None) -> bool:
        return (
            side is not None and side.direction.reader is not None and not side.direction.reader.is_closing()
        )

    def abort(self) -> None:
        """End both connections at once."""
        if self.connect_task is not None and self.connect_task is not asyncio.current_task():
            self.connect_task.cancel()
        for side in (self.downstream, self.upstream):
            if side is not None and side.direction.reader is not None:
                side.direction.cancel_timer()
                side.direction.reader.abort()
        self.proxy.pairs.discard(self)


class TcpProxy:
    """Listens on loopback before one server, and passes on what the conditions of each pair let pass.

    The server sees the caller's own local address.
    """

    def __init__(self, name: str, target: Address, conditions: LinkConditions):
        """Proxy the server `name` at `target`."""
        self.name = name
        self.target = target
        self.conditions = conditions
        self.loop = asyncio.get_running_loop()
        self.pairs: set[_ConnectionPair] = set()
        self.server: asyncio.Server | None = None
        self.address: Address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen; `address` is set from now on."""
        self.server = await self.loop.create_server(self._accept, *self.address, backlog=BACKLOG)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _accept(self) -> _Side:
        return _ConnectionPair(self).downstream

    @staticmethod
    def local_address(transport: asyncio.Transport) -> Address | None:
        """Return the address to connect to the server from; None: the system's choice."""
        host = transport.get_extra_info("peername")[0]
        return (host, 0) if host != "127.0.0.1" else None

    def on_conditions_changed(self) -> None:
        """End the connections that are refused from now on."""
        for pair in list(self.pairs):
            if self.conditions.between(pair.caller, self.name).refuse:
                pair.abort()

    async def stop(self) -> None:
        """Close the listener and end all connections."""
        self.server.close()
        for pair in list(self.pairs):
            pair.abort()
        await asyncio.sleep(0)
