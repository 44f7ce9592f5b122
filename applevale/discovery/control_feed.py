"""The control feed: follows the numbered updates of the list of engines over TCP."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from math import inf

from ..observability.counters import Counters
from ..observability.events import log_event
from .endpoints import AttributeNames, EndpointUpdate
from .feed_codec import FeedError, FrameDecoder

# Without a whole frame, of which one comes each second, until the connection is given up.
SILENCE_TIMEOUT_SECONDS = 1.8
MIN_RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 0.4
RECEIVE_BUFFER_BYTES = 16384
RESUME_REQUEST = struct.Struct(">Q")  # the number of the last update that was published


class ControlFeed:
    """A client of the control feed that reconnects for as long as it runs.

    It publishes each update once and in order: after a break the feed sends what was missed.

    Attributes:
        last_number: The number of the last update that was published.
        address: Where the feed is; None if it is not followed.
        last_frame_at: When the last frame came, by the event loop's clock.
    """

    def __init__(
        self,
        last_number: int,
        names: AttributeNames,
        counters: Counters,
        publish: Callable[[EndpointUpdate], None],
        address: tuple[str, int] | None = None,
    ):
        """Build a client that `start` connects.

        Args:
            last_number: The number of the last update that is known already.
            names: The names of zones and kinds, which records refer to by position.
            counters: Counts frames, updates and breaks.
            publish: Called with each update, once and in order.
            address: Where the feed is; None for a list that doesn't change.
        """
        self.last_number = last_number
        self.names = names
        self.counters = counters
        self.publish = publish
        self.address = address
        self.task: asyncio.Task | None = None
        self.last_frame_at = -inf

    def start(self) -> None:
        """Start to follow the feed, if there is an address."""
        self.reconfigure(self.address)

    def reconfigure(self, target: tuple[str, int] | None) -> None:
        """Follow the feed at `target` from the last published update on; None stops following it."""
        if self.task is not None and (target is None or target != self.address):
            self.task.cancel()
            self.task = None
        self.address = target
        if target is not None and self.task is None:
            self.task = asyncio.create_task(self._follow())

    def is_fresh(self) -> bool:
        """Return whether a frame came lately; without an address the known list counts as current."""
        if self.address is None:
            return True
        return asyncio.get_running_loop().time() - self.last_frame_at <= SILENCE_TIMEOUT_SECONDS

    async def stop(self) -> None:
        """Stop following the feed."""
        self.reconfigure(None)

    def apply(self, update: EndpointUpdate) -> None:
        """Publish an update unless it was published before.

        Raises:
            FeedError: Updates are missing between the last one and this.
        """
        self.counters["feed_frames"] += 1
        if update.number <= self.last_number:
            return
        if not update.endpoints and not update.is_full:  # a heartbeat behind an update that never came
            text = f"at {update.number}, though {self.last_number} was the last one told"
            raise FeedError(text, update.number)
        if not update.is_full and update.number != self.last_number + 1:
            raise FeedError(f"event {update.number} came after {self.last_number}", update.number)
        self.last_number = update.number
        self.counters["feed_events"] += 1
        self.publish(update)

    async def _follow(self) -> None:
        """Keep a connection to the feed; failures in a row are retried with growing delays."""
        delay = MIN_RECONNECT_SECONDS
        while True:
            frames_before = self.counters["feed_frames"]
            try:
                await self._run_connection()
            except (OSError, FeedError) as error:
                log_event("feed", f"{type(error).__name__}: {error}")
            self.counters["feed_breaks"] += 1
            if self.counters["feed_frames"] > frames_before:
                delay = MIN_RECONNECT_SECONDS
            else:
                delay = min(delay * 2, MAX_RECONNECT_SECONDS)
            await asyncio.sleep(delay)

    async def _run_connection(self) -> None:
        """Apply what one connection sends until it fails."""
        loop = asyncio.get_running_loop()
        decoder = FrameDecoder(self.names)
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                await loop.sock_connect(sock, self.address)
                await loop.sock_sendall(sock, RESUME_REQUEST.pack(self.last_number))
            while True:
                # Guards against a feed that keeps the connection but sends nothing, or half a frame for ever.
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    updates = await _receive_updates(loop, sock, buffer, decoder)
                self.last_frame_at = loop.time()
                for update in updates:
                    self.apply(update)


async def _receive_updates(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: bytearray, decoder: FrameDecoder
) -> list[EndpointUpdate]:
    """Return the next updates, at least one. Raises FeedError once the feed has closed the connection."""
    updates: list[EndpointUpdate] = []
    while not updates:
        size = await loop.sock_recv_into(sock, buffer)
        if size == 0:
            raise FeedError("closed by the other side")
        updates = decoder.feed(memoryview(buffer)[:size])
    return updates
