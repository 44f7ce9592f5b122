"""The RPC server: accepts the connections of clients, and stops accepting them."""

from __future__ import annotations

import asyncio
import select
import socket
from math import inf

from .. import api
from ..admin.draining import ACCEPT_SECONDS
from ..admin.metrics import Metrics
from ..dispatch.arrival_order import Source
from ..dispatch.event_loop_driver import EventLoopDriver
from ..observability.counters import Counters
from ..observability.events import log_event
from ..requests.handler import RequestHandler
from .connection_table import ConnectionTable
from .context import ServerContext
from .limits import ServerLimits
from .request_parser import RequestSchema
from .rpc_connection import RpcConnection

ACCEPT_RETRY_SECONDS = 0.01


class RpcServer:
    """A MessagePack-RPC server; each connection is a task of its own, and so is each request.

    Attributes:
        connections: The open connections.
        arrival_source: The listening socket, as a source of requests whose order matters.
    """

    def __init__(
        self,
        handler: RequestHandler,
        driver: EventLoopDriver,
        settings: api.Settings,
        limits: ServerLimits,
        counters: Counters,
        *,
        metrics: Metrics | None = None,
    ):
        """Create a server that does not accept connections yet.

        Args:
            handler: Returns the response to each request.
            driver: Has the clock, and the order of arrivals.
            settings: The classes and tenants that requests may name.
            limits: What is held at a time, over all connections.
            counters: Counts of what comes in and goes out.
            metrics: Counts of responses for operators.
        """
        self.connections = ConnectionTable(limits.max_connections, limits.max_buffered_bytes, counters)
        self.arrival_source = Source()
        self._context = ServerContext(
            handler, driver, RequestSchema.from_settings(settings), self.connections, counters, metrics
        )
        self._driver = driver
        self._counters = counters
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task | None = None
        driver.stall_monitor.source_listings.append(self.readable_sources)

    @property
    def open_requests(self) -> int:
        """Number of requests without a response."""
        return len(self._context.open_request_ids)

    @property
    def is_ready(self) -> bool:
        """Whether probes are answered that new clients are accepted."""
        return self._context.is_ready

    @is_ready.setter
    def is_ready(self, is_ready: bool) -> None:
        self._context.is_ready = is_ready

    def start(self, listener: socket.socket, listening_since: float = -inf) -> None:
        """Accept the connections of a non-blocking listening socket, which the server closes.

        Args:
            listener: The listening socket.
            listening_since: No connection can have arrived before this time, by the driver's clock.
        """
        self.arrival_source.read_up_to = listening_since
        self._accept_task = asyncio.create_task(self._accept_connections(listener))

    async def _accept_connections(self, listener: socket.socket) -> None:
        self._listener = listener
        accept_queue = select.poll()
        accept_queue.register(listener, select.POLLIN)
        while True:
            wait_started_at = self._driver.now()
            await self.connections.wait_for_capacity()  # meanwhile clients wait in the kernel's queue
            try:
                await self._wait_until_readable(listener)
                sock, _ = listener.accept()
            except BlockingIOError:  # the client has gone
                continue
            except OSError as error:  # for example without a free descriptor
                log_event("accept", str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            self.accept_connection(sock, wait_started_at, not accept_queue.poll(0))

    @staticmethod
    async def _wait_until_readable(listener: socket.socket) -> None:
        """Wait until a connection can be accepted.

        The accept itself does not wait: cancelled by a shutdown in the same iteration of the event loop, it
        would lose the connection. This way the connection stays in the kernel's queue.
        """
        loop = asyncio.get_running_loop()
        readable = loop.create_future()
        loop.add_reader(listener, lambda: readable.done() or readable.set_result(None))
        try:
            await readable
        finally:
            loop.remove_reader(listener)

    def accept_connection(self, sock: socket.socket, wait_started_at: float, is_queue_empty: bool) -> None:
        """Serve an accepted connection in a task of its own.

        Args:
            sock: The connection.
            wait_started_at: When the wait for it began, by the driver's clock.
            is_queue_empty: Whether no further connection waited in the kernel's queue.
        """
        self._counters["connections"] += 1
        now = asyncio.get_running_loop().time()
        self.connections.make_room(now)
        polled_at = self._driver.stall_monitor.arrival_order.polled_at
        arrived_since = self.arrival_source.record_read(wait_started_at, polled_at, is_queue_empty)
        connection = RpcConnection(self._context, sock, arrived_since)
        self.connections.add(connection, asyncio.create_task(connection.run()), now)

    def stop_accepting(self) -> None:
        """Close the listening socket, after the connections in its queue are accepted.

        Those would be reset. From then on the kernel gives new connections to another process that listens on
        the same address, if there is one.
        """
        listener = self._listener
        self._listener = None
        if self._accept_task is not None:
            self._accept_task.cancel()
        if listener is None:
            return
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # none is left, or it has gone already
                break
            sock.setblocking(False)
            self.accept_connection(sock, self._driver.now(), False)
        listener.close()

    def readable_sources(self) -> list[tuple[Source, bool]]:
        """Return the sources of requests that have something to read, each with True."""
        sources = {connection.sock.fileno(): connection.source for connection in self.connections}
        if self._listener is not None:
            sources[self._listener.fileno()] = self.arrival_source
        sources.pop(-1, None)  # a socket that is closed
        poll = select.poll()
        for descriptor in sources:
            poll.register(descriptor, select.POLLIN)
        return [(sources[descriptor], True) for descriptor, _ in poll.poll(0)]

    @property
    def is_draining(self) -> bool:
        """Whether clients are sent elsewhere."""
        return self.connections.is_draining

    def drain(self, accept_for: float = ACCEPT_SECONDS) -> None:
        """Send clients elsewhere: finish open calls, and accept requests for `accept_for` more seconds."""
        self.connections.drain(accept_for)

    def undrain(self) -> None:
        """End a drain."""
        self.connections.undrain()
