"""A TCP proxy in front of a fake server that can imitate network faults."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from random import Random

from ..fault_injection.tcp_relay import RelayConnection, RelayProxy, RelayStream
from ..net.addresses import Address

MAX_CHUNK_BYTES = 65536  # maximum part of an answer that one fault corrupts
MAX_BUFFERED_BYTES = 2 * MAX_CHUNK_BYTES  # per direction of a connection; above it, reading is paused


class ProxyMode(Enum):
    """How the proxy treats connections and data."""

    PASS = "pass"
    REFUSE = "refuse"  # abort new connections
    STALL = "stall"  # keep all connections open, but forward no data
    TRUNCATE = "half"  # forward half of the next chunk of an answer, abort its connection, return to PASS
    CORRUPT = "garbage"  # replace the next chunk of an answer by random bytes, return to PASS


class _FaultyStream(RelayStream):
    """Forwards data unless the proxy stalls; aborts the connection once the sender has closed its side."""

    def __init__(self, proxy: FaultyProxy, connection: RelayConnection):
        super().__init__()
        self.proxy = proxy
        self.connection = connection
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.is_ending = False

    def put(self, data: bytes) -> None:
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            self.buffer.append(data[start : start + MAX_CHUNK_BYTES])
        self.buffered_bytes += len(data)
        self.flush()
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.reader.pause_reading()

    def flush(self) -> None:
        """Write all buffered data, unless the proxy stalls or the receiver's buffer is full."""
        while self.buffer and self._may_write():
            data = self.buffer.popleft()
            self.buffered_bytes -= len(data)
            self.write_chunk(data)
        can_read = self.reader is not None and not self.reader.is_closing()
        if can_read and self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.reader.resume_reading()
        if self.is_ending and self.writer is not None and not self.buffer:
            self.connection.abort()

    def _may_write(self) -> bool:
        return self.can_write and not self.is_writing_paused and self.proxy.mode is not ProxyMode.STALL

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk to the receiver."""
        self.writer.write(data)

    def end(self) -> None:
        self.is_ending = True
        self.flush()

    def on_sender_lost(self) -> None:
        self.end()

    def cancel_timer(self) -> None:
        """Do nothing, because this stream never schedules a flush."""

    def resume_writing(self) -> None:
        super().resume_writing()
        self.flush()


class _AnswerStream(_FaultyStream):
    """Truncates or corrupts the next chunk of an answer, in the modes TRUNCATE and CORRUPT."""

    def write_chunk(self, data: bytes) -> None:
        mode = self.proxy.mode
        if mode in (ProxyMode.TRUNCATE, ProxyMode.CORRUPT):
            self.proxy.mode = ProxyMode.PASS
        if mode is ProxyMode.CORRUPT:
            data = self.proxy.random.randbytes(len(data))
        if mode is ProxyMode.TRUNCATE:
            data = data[: len(data) // 2]
            self.buffer.clear()
            self.buffered_bytes = 0
            self.is_ending = True
        super().write_chunk(data)


class FaultyProxy(RelayProxy):
    """A proxy on loopback whose mode can change while connections are open.

    Attributes:
        mode: The current mode; `set_mode` changes it.
    """

    def __init__(self, target: Address, random: Random):
        """Create a proxy to `target`; `random` is the source of the bytes of CORRUPT."""
        super().__init__(target)
        self.random = random
        self.mode = ProxyMode.PASS

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode; data that a stall held back is forwarded soon after the stall ends."""
        self.mode = mode
        if mode is not ProxyMode.STALL:
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Write the data that a stall held back."""
        for connection in list(self._relay.connections):
            connection.requests.flush()
            connection.answers.flush()

    def abort_connections(self) -> None:
        """Abort all established connections, on both sides."""
        for connection in list(self._relay.connections):
            if connection.is_established:
                connection.abort()

    def accepts(self, caller: Address) -> bool:
        """Return whether new connections are accepted in the current mode."""
        return self.mode is not ProxyMode.REFUSE

    async def wait_until_connectable(self, caller: Address) -> None:
        """Return at once, because no mode delays the connection to the server."""

    def create_request_stream(self, connection: RelayConnection) -> RelayStream:
        """Return a stream that can stall, but does not corrupt data."""
        return _FaultyStream(self, connection)

    def create_answer_stream(self, connection: RelayConnection) -> RelayStream:
        """Return a stream that can stall and can corrupt answers."""
        return _AnswerStream(self, connection)
