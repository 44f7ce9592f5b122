"""TCP proxies before servers, that apply link conditions.

The caller is known by the local address that it bound: one for each instance.
"""

from __future__ import annotations

import asyncio
from collections import deque

from ..net.addresses import Address
from .link_conditions import LinkConditions
from .tcp_relay import RelayConnection, RelayProxy, RelayStream

MAX_BUFFERED_BYTES = 1 << 18  # in one direction of a connection; beyond, its sender is not read from
CUT_POLL_SECONDS = 0.02  # between two checks whether a cut has ended
MIN_DELAY_SECONDS = 0.0005  # what is due within this time leaves now
ADDRESSES_PER_BLOCK = 250
OTHER_CALLER = "other"  # the name of callers that are no instances


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


def _caller_name(caller: Address) -> str:
    number = source_number(caller[0])
    return f"n{number}" if number is not None else OTHER_CALLER


class _ConditionedStream(RelayStream):
    """Bytes leave in the order they came, when the conditions let them."""

    def __init__(self, conditions: LinkConditions, source: str, target: str):
        super().__init__()
        self.conditions = conditions
        self.source = source
        self.target = target
        self.loop = asyncio.get_running_loop()
        self.buffer: deque[tuple[float, bytes]] = deque()  # when due, data
        self.buffered_bytes = 0
        self.last_due = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.is_ending = False

    def put(self, data: bytes) -> None:
        condition = self.conditions.between(self.source, self.target)
        is_delayed = condition.cut or condition.delay or condition.jitter or condition.bandwidth
        if not (self.buffer or is_delayed or self.writer is None):
            self.writer.write(data)
            return
        now = self.loop.time()
        delay = self.conditions.stream_delay(now, self.source, self.target, len(data))
        self.last_due = max(self.last_due, now + delay)
        self.buffer.append((self.last_due, data))
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.reader.pause_reading()
        self.flush()

    def flush(self) -> None:
        """Write what is due, and come back when more is."""
        self.cancel_timer()
        if not self.can_write:
            return
        if self.conditions.between(self.source, self.target).cut:
            if self.buffer or self.is_ending:
                self.timer = self.loop.call_later(CUT_POLL_SECONDS, self.flush)
            return
        now = self.loop.time()
        while self.buffer and self.buffer[0][0] <= now + MIN_DELAY_SECONDS:
            _, data = self.buffer.popleft()
            self.buffered_bytes -= len(data)
            self.writer.write(data)
        can_read = self.reader is not None and not self.reader.is_closing()
        if can_read and self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.reader.resume_reading()
        if self.buffer:
            self.timer = self.loop.call_later(self.buffer[0][0] - now, self.flush)
        elif self.is_ending:
            self.writer.close()

    def end(self) -> None:
        """Note that the sender has closed: the receiver sees it behind all that was sent."""
        self.is_ending = True
        self.flush()

    def on_sender_lost(self) -> None:
        if self.buffer:
            self.end()
        else:
            self.writer.close()

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class TcpProxy(RelayProxy):
    """Listens on loopback before one server, and passes on what the conditions of each pair let pass.

    The server sees the caller's own local address.
    """

    def __init__(self, name: str, target: Address, conditions: LinkConditions):
        """Proxy the server `name` at `target`."""
        super().__init__(target)
        self.name = name
        self.conditions = conditions

    def on_conditions_changed(self) -> None:
        """End the connections that are refused from now on."""
        for connection in list(self._relay.connections):
            if not self.accepts(connection.caller_address):
                connection.abort()

    def accepts(self, caller: Address) -> bool:
        """Return whether the conditions let this caller connect."""
        return not self.conditions.between(_caller_name(caller), self.name).refuse

    async def wait_until_connectable(self, caller: Address) -> None:
        """Return once no cut keeps the caller from the server."""
        name = _caller_name(caller)
        while self.conditions.between(name, self.name).cut:
            await asyncio.sleep(CUT_POLL_SECONDS)

    def create_request_stream(self, connection: RelayConnection) -> RelayStream:
        """Return the stream that the conditions from the caller to the server apply to."""
        return _ConditionedStream(self.conditions, _caller_name(connection.caller_address), self.name)

    def create_answer_stream(self, connection: RelayConnection) -> RelayStream:
        """Return the stream that the conditions from the server to the caller apply to."""
        return _ConditionedStream(self.conditions, self.name, _caller_name(connection.caller_address))
