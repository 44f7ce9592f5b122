"""Client of the control feed, which sends numbered updates of the engine list over TCP."""

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

# A connection without a whole frame for this time is closed. The feed sends at least one frame per second.
SILENCE_TIMEOUT_SECONDS = 1.8
MIN_RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 0.4
RECEIVE_BUFFER_BYTES = 16384
RESUME_REQUEST = struct.Struct(">Q")  # Its only field is the number of the last published update.


class ControlFeed:
    """An `EndpointSource` that follows the control feed, and reconnects until it is stopped.

    It publishes each update once and in order. After a reconnect the feed sends the updates that were missed.

    Attributes:
        last_number: Number of the last update that was published.
        names: Names of zones and machine kinds, to which records refer by index.
        counters: Counts frames, updates and broken connections.
        publish: Called with each update, once and in order.
        address: Address of the feed; None if no feed is followed.
        task: Task that follows the feed; None if no feed is followed.
        last_frame_at: Time of the last frame on the event loop's clock, in s; -inf before the first one.
    """

    def __init__(
        self,
        last_number: int,
        names: AttributeNames,
        counters: Counters,
        publish: Callable[[EndpointUpdate], None],
        address: tuple[str, int] | None = None,
    ):
        """Create a client; `start` opens its connection.

        Args:
            last_number: Number of the last update that is already known.
            names: Names of zones and machine kinds, to which records refer by index.
            counters: Counts frames, updates and broken connections.
            publish: Called with each update, once and in order.
            address: Address of the feed; None for a fixed engine list.
        """
        self.last_number = last_number
        self.names = names
        self.counters = counters
        self.publish = publish
        self.address = address
        self.task: asyncio.Task | None = None
        self.last_frame_at = -inf

    def start(self) -> None:
        """Start to follow the feed if it has an address."""
        self.reconfigure(self.address)

    def reconfigure(self, target: tuple[str, int] | None) -> None:
        """Follow the feed at `target`, starting after the last published update; None stops following."""
        if self.task is not None and (target is None or target != self.address):
            self.task.cancel()
            self.task = None
        self.address = target
        if target is not None and self.task is None:
            self.task = asyncio.create_task(self._follow())

    def is_fresh(self) -> bool:
        """Return whether a frame was received recently; without an address the list is always fresh."""
        if self.address is None:
            return True
        return asyncio.get_running_loop().time() - self.last_frame_at <= SILENCE_TIMEOUT_SECONDS

    async def stop(self) -> None:
        """Stop following the feed."""
        self.reconfigure(None)

    def apply(self, update: EndpointUpdate) -> None:
        """Publish an update unless it has already been published.

        Raises:
            FeedError: Updates between the last published one and this one are missing.
        """
        self.counters["feed_frames"] += 1
        if update.number <= self.last_number:
            return
        if not update.endpoints and not update.is_full:  # A heartbeat whose update was missed.
            text = f"heartbeat of event {update.number} came after event {self.last_number}"
            raise FeedError(text, update.number)
        if not update.is_full and update.number != self.last_number + 1:
            raise FeedError(f"event {update.number} came after {self.last_number}", update.number)
        self.last_number = update.number
        self.counters["feed_events"] += 1
        self.publish(update)

    async def _follow(self) -> None:
        """Keep a connection to the feed; after consecutive failures it reconnects with growing delays."""
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
        """Open a connection and apply the updates that it delivers until it fails."""
        loop = asyncio.get_running_loop()
        decoder = FrameDecoder(self.names)
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                await loop.sock_connect(sock, self.address)
                await loop.sock_sendall(sock, RESUME_REQUEST.pack(self.last_number))
            while True:
                # The feed may keep the connection open but send nothing, or never complete a frame.
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    updates = await _receive_updates(loop, sock, buffer, decoder)
                self.last_frame_at = loop.time()
                for update in updates:
                    self.apply(update)


async def _receive_updates(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: bytearray, decoder: FrameDecoder
) -> list[EndpointUpdate]:
    """Wait for the next updates and return them; there is at least one.

    Raises:
        FeedError: The feed has closed the connection, or a frame is malformed.
    """
    updates: list[EndpointUpdate] = []
    while not updates:
        size = await loop.sock_recv_into(sock, buffer)
        if size == 0:
            raise FeedError("the feed closed the connection")
        updates = decoder.feed(memoryview(buffer)[:size])
    return updates
