"""The socket of a connection to an engine: writes commands and reads replies."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

from ..net.write_queue import QueuedMessage, WriteQueue
from . import resp

RECEIVE_BUFFER_BYTES = 8_192
WRITE_STALL_TIMEOUT_SECONDS = 1.0  # a connection whose engine reads nothing for this long is closed
IP_BIND_ADDRESS_NO_PORT = 24  # Linux socket option: connect() chooses the local port, not bind()


class ConnectTimeoutError(OSError):
    """The connection was not established within the timeout."""


class EngineTransport:
    """A stream socket that writes commands in order and parses received bytes into replies."""

    def __init__(self, on_broken: Callable[[str], None]) -> None:
        """Create the socket; until `close`, `on_broken` is called with the reason if a write fails."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.write_queue = WriteQueue(self.sock, WRITE_STALL_TIMEOUT_SECONDS, on_broken)
        self.parser = resp.ReplyParser()
        self._hangup_poll = select.poll()
        self._hangup_poll.register(self.sock, select.POLLRDHUP)

    async def connect(self, address: tuple[str, int], local_address: str, timeout: float) -> None:
        """Connect to an engine.

        Args:
            address: Address of the engine.
            local_address: IP address to bind; empty to let the system choose.
            timeout: Timeout in seconds.

        Raises:
            ConnectTimeoutError: The timeout expired.
            OSError: Connecting failed.
        """
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if local_address:
            self.sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            self.sock.bind((local_address, 0))
        try:
            async with asyncio.timeout(timeout):
                await asyncio.get_running_loop().sock_connect(self.sock, address)
        except TimeoutError:
            raise ConnectTimeoutError from None

    async def receive(self, on_reply: Callable[[resp.Reply], None]) -> None:
        """Pass each reply to `on_reply` until the engine closes the connection.

        Raises:
            CorruptReplyError: The received bytes are not a valid reply.
            hiredis.HiredisError: The received bytes are not valid RESP.
            OSError: The connection broke.
        """
        loop = asyncio.get_running_loop()
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        while size := await loop.sock_recv_into(self.sock, buffer):
            self.parser.feed(memoryview(buffer)[:size])
            while (reply := self.parser.next_reply()) is not None:
                on_reply(reply)

    def is_reusable(self) -> bool:
        """Return whether no incomplete reply is left and the engine has not closed the connection."""
        return not (self.parser.unparsed or self._hangup_poll.poll(0))

    def send_command(self, *parts: bytes, on_written: Callable[[], None] | None = None) -> QueuedMessage:
        """Queue a command; `on_written` is called when the kernel has accepted all of it."""
        return self.write_queue.put(resp.encode_array(*parts), on_written)

    async def close(self) -> None:
        """Cancel a write in progress and close the socket."""
        try:
            await self.write_queue.close()
        finally:
            self.sock.close()
