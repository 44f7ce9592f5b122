"""One connection to the control feed."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from .endpoints import AttributeNames, EndpointUpdate
from .feed_codec import FeedError, FrameDecoder
from .heartbeat_lag import HeartbeatLag

RECEIVE_BUFFER_BYTES = 16384
RESUME_REQUEST = struct.Struct(">Q")  # Its only field is the number of the last published update.


class FeedConnection:
    """Asks the control feed for the updates after a given one, and passes on what arrives.

    The connection has no time limit of its own; its owner closes it.

    Attributes:
        heard_at: Time of the last whole frame, or else of the opening, by the event loop's clock.
        lag: How late its heartbeats arrive.
    """

    def __init__(
        self,
        address: tuple[str, int],
        last_number: int,
        names: AttributeNames,
        on_updates: Callable[[FeedConnection, list[EndpointUpdate]], None],
        on_failure: Callable[[FeedConnection, Exception], None],
    ):
        """Open a connection in a task of its own.

        Args:
            address: Address of the feed.
            last_number: Number of the last update that is already known.
            names: Names of zones and machine kinds, to which records refer by index.
            on_updates: Called with the updates of the frames that have arrived, at least one. A `FeedError`
                that it raises ends the connection.
            on_failure: Called once when the connection has ended by itself; not after `close`.
        """
        self.heard_at = asyncio.get_running_loop().time()
        self.lag = HeartbeatLag(self.heard_at)
        self._address = address
        self._resume_request = RESUME_REQUEST.pack(last_number)
        self._decoder = FrameDecoder(names)
        self._on_updates = on_updates
        self._on_failure = on_failure
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Close the connection; nothing is passed on any more."""
        self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._read_updates()
        except (OSError, FeedError) as error:
            self._on_failure(self, error)

    async def _read_updates(self) -> None:
        """Pass on updates until the connection ends.

        Raises:
            FeedError: The feed has closed the connection, or a frame or an update is invalid.
            OSError: The connection failed.
        """
        loop = asyncio.get_running_loop()
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, self._address)
            await loop.sock_sendall(sock, self._resume_request)
            while size := await loop.sock_recv_into(sock, buffer):
                updates = self._decoder.feed(memoryview(buffer)[:size])
                if updates:
                    self.heard_at = loop.time()
                    self._on_updates(self, updates)
        raise FeedError("the feed closed the connection")
