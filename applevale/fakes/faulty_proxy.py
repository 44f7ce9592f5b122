"""A TCP proxy in front of a fake server that can behave as broken networks do."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from random import Random

from ..fault_injection.tcp_relay import RelayConnection, RelayProxy, RelayStream
from ..net.addresses import Address

MAX_CHUNK_BYTES = 65536  # the most that one fault spoils of an answer
MAX_BUFFERED_BYTES = 2 * MAX_CHUNK_BYTES  # in one direction of a connection; beyond, its sender is not read


class ProxyMode(Enum):
    """What the proxy does with connections and bytes."""

    PASS = "pass"
    REFUSE = "refuse"  # accept no connection
    STALL = "stall"  # keep all connections open, and pass nothing
    HALF = "half"  # cut the next answer off in its middle; then pass again
    GARBAGE = "garbage"  # replace the next answer by random bytes; then pass again


class _FaultyStream(RelayStream):
    """Passes bytes on unless the proxy stalls; its end, and that of its sender, abort the connection."""

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
        """Write all that is buffered, unless the proxy stalls or the receiver is slow."""
        while self.buffer and self._may_write():
            data = self.buffer.popleft()
            self.buffered_bytes -= len(data)
            self.pass_on(data)
        can_read = self.reader is not None and not self.reader.is_closing()
        if can_read and self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.reader.resume_reading()
        if self.is_ending and self.writer is not None and not self.buffer:
            self.connection.abort()

    def _may_write(self) -> bool:
        return self.can_write and not self.is_writing_paused and self.proxy.mode is not ProxyMode.STALL

    def pass_on(self, data: bytes) -> None:
        """Write one chunk."""
        self.writer.write(data)

    def end(self) -> None:
        self.is_ending = True
        self.flush()

    def on_sender_lost(self) -> None:
        self.end()

    def cancel_timer(self) -> None:
        """Do nothing: a flush is never scheduled."""

    def resume_writing(self) -> None:
        super().resume_writing()
        self.flush()


class _AnswerStream(_FaultyStream):
    """Spoils the next chunk in the modes HALF and GARBAGE."""

    def pass_on(self, data: bytes) -> None:
        mode = self.proxy.mode
        if mode in (ProxyMode.HALF, ProxyMode.GARBAGE):
            self.proxy.mode = ProxyMode.PASS
        if mode is ProxyMode.GARBAGE:
            data = self.proxy.random.randbytes(len(data))
        if mode is ProxyMode.HALF:
            data = data[: len(data) // 2]
            self.buffer.clear()
            self.buffered_bytes = 0
            self.is_ending = True
        super().pass_on(data)


class FaultyProxy(RelayProxy):
    """A proxy on loopback. A change of the mode holds for open connections, too.

    Attributes:
        mode: The mode now; `set_mode` changes it.
    """

    def __init__(self, target: Address, random: Random):
        """Prepare a proxy to the target; `random` draws the bytes of GARBAGE."""
        super().__init__(target)
        self.random = random
        self.mode = ProxyMode.PASS

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode."""
        self.mode = mode
        if mode is not ProxyMode.STALL:
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Write what a stall has held back."""
        for connection in list(self._relay.connections):
            connection.requests.flush()
            connection.answers.flush()

    def abort_connections(self) -> None:
        """Abort all connections, on both sides."""
        for connection in list(self._relay.connections):
            if connection.is_established:
                connection.abort()

    def accepts(self, caller: Address) -> bool:
        """Return whether connections are accepted now."""
        return self.mode is not ProxyMode.REFUSE

    async def wait_until_connectable(self, caller: Address) -> None:
        """Return at once: the server is always connected to."""

    def create_request_stream(self, connection: RelayConnection) -> RelayStream:
        """Return a stream that only stalls."""
        return _FaultyStream(self, connection)

    def create_answer_stream(self, connection: RelayConnection) -> RelayStream:
        """Return a stream that stalls and spoils answers."""
        return _AnswerStream(self, connection)
