"""TCP proxies in front of servers that apply link conditions.

A proxy identifies its caller by the local address that the caller bound; each instance has one of its own.
"""

from __future__ import annotations

import asyncio
from collections import deque

from ..net.addresses import Address
from .link_conditions import LinkConditions
from .tcp_relay import RelayConnection, RelayProxy, RelayStream

MAX_BUFFERED_BYTES = 1 << 18  # per direction of a connection; above it, reading is paused
CUT_POLL_SECONDS = 0.02  # interval between checks whether a cut has ended
MIN_DELAY_SECONDS = 0.0005  # data due within this time is written at once
ADDRESSES_PER_BLOCK = 250
OTHER_CALLER = "other"  # name of callers that are not instances


def source_address(number: int) -> str:
    """Return the local address of the instance with a number; there are about 60,000 addresses."""
    return f"127.1.{number // ADDRESSES_PER_BLOCK}.{number % ADDRESSES_PER_BLOCK + 1}"


def source_number(address: str) -> int | None:
    """Return the number of the instance with a local address; None for any other address."""
    head, _, tail = address.partition("127.1.")
    if head or not tail:
        return None
    block, _, position = tail.partition(".")
    return int(block) * ADDRESSES_PER_BLOCK + int(position) - 1


def _caller_name(caller: Address) -> str:
    number = source_number(caller[0])
    return f"n{number}" if number is not None else OTHER_CALLER


class _ConditionedStream(RelayStream):
    """Forwards data in order, with the delays and cuts of the conditions from `source` to `target`."""

    def __init__(self, conditions: LinkConditions, source: str, target: str):
        super().__init__()
        self.conditions = conditions
        self.source = source
        self.target = target
        self.loop = asyncio.get_running_loop()
        self.buffer: deque[tuple[float, bytes]] = deque()  # due time and data of each chunk
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
        """Write the data that is due and schedule the next flush."""
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
        """Record that the sender has closed; the receiver's connection is closed once all data is written."""
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
    """Listens on loopback in front of one server and applies the conditions of each caller to its traffic.

    The server sees the caller's own local address.
    """

    def __init__(self, name: str, target: Address, conditions: LinkConditions):
        """Create a proxy for the server called `name` at `target`."""
        super().__init__(target)
        self.name = name
        self.conditions = conditions

    def on_conditions_changed(self) -> None:
        """Abort the open connections of callers that are now refused."""
        for connection in list(self._relay.connections):
            if not self.accepts(connection.caller_address):
                connection.abort()

    def accepts(self, caller: Address) -> bool:
        """Return whether the conditions allow the caller to connect."""
        return not self.conditions.between(_caller_name(caller), self.name).refuse

    async def wait_until_connectable(self, caller: Address) -> None:
        """Return once the conditions do not cut the caller off from the server."""
        name = _caller_name(caller)
        while self.conditions.between(name, self.name).cut:
            await asyncio.sleep(CUT_POLL_SECONDS)

    def create_request_stream(self, connection: RelayConnection) -> RelayStream:
        """Return a stream with the conditions from the caller to the server."""
        return _ConditionedStream(self.conditions, _caller_name(connection.caller_address), self.name)

    def create_answer_stream(self, connection: RelayConnection) -> RelayStream:
        """Return a stream with the conditions from the server to the caller."""
        return _ConditionedStream(self.conditions, self.name, _caller_name(connection.caller_address))
