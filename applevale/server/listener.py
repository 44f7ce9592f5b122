"""The RPC server: the listening socket, and the connections accepted from it."""

from __future__ import annotations

import asyncio
import select
import socket
from math import inf

from .. import api
from ..admin.draining import ACCEPT_SECONDS
from ..admin.metrics import Metrics
from ..dispatch.arrival_order import ArrivalSource
from ..dispatch.event_loop_driver import EventLoopDriver
from ..net.socket_status import wait_until_readable
from ..observability.counters import Counters
from ..observability.events import log_event
from ..requests.handler import RequestHandler
from .connection_table import ConnectionTable
from .context import ServerContext
from .limits import ServerLimits
from .request_parser import RequestSchema
from .rpc_connection import RpcConnection
from .turn_scheduler import TurnScheduler

ACCEPT_RETRY_SECONDS = 0.01  # pause after a failed accept
MAX_ACCEPTS_PER_ITERATION = 64  # of the event loop


class RpcServer:
    """A MessagePack-RPC server, with one task for each connection and one for each request.

    Attributes:
        connections: The open connections.
        arrival_source: The listening socket, to determine the order of arrivals.
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
        """Create a server; `start` begins to accept connections.

        Args:
            handler: Processes requests.
            driver: Provides the clock and the order of arrivals.
            settings: Settings with the classes and tenants that requests may name.
            limits: Limits on connections and buffered bytes.
            counters: Counters of connections, messages and responses.
            metrics: Response metrics for operators; None to keep none.
        """
        self.connections = ConnectionTable(limits.max_connections, limits.max_buffered_bytes, counters)
        self.arrival_source = ArrivalSource()
        self._context = ServerContext(
            handler,
            driver,
            RequestSchema.from_settings(settings),
            self.connections,
            TurnScheduler(counters),
            counters,
            metrics,
        )
        self._driver = driver
        self._counters = counters
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task | None = None
        self._accept_queue = select.poll()
        # Since then, by the driver's clock, the accept queue has not been empty.
        self._queued_since = inf
        driver.stall_monitor.readable_source_providers.append(self.readable_sources)

    @property
    def open_requests(self) -> int:
        """Number of requests that have no response yet."""
        return len(self._context.open_request_ids)

    @property
    def is_ready(self) -> bool:
        """Whether new clients are accepted, as reported in the response to a probe."""
        return self._context.is_ready

    @is_ready.setter
    def is_ready(self, is_ready: bool) -> None:
        self._context.is_ready = is_ready

    def start(self, listener: socket.socket, listening_since: float = -inf) -> None:
        """Begin to accept connections from a listening socket.

        Args:
            listener: A non-blocking listening socket, which the server closes.
            listening_since: Earliest time, by the driver's clock, at which a connection can have arrived.
        """
        self.arrival_source.read_up_to = listening_since
        self._accept_task = asyncio.create_task(self._accept_connections(listener))

    async def _accept_connections(self, listener: socket.socket) -> None:
        self._listener = listener
        self._accept_queue.register(listener, select.POLLIN)
        while True:
            wait_started_at = self._driver.now()
            await self.connections.wait_for_capacity()  # clients wait in the accept queue
            await wait_until_readable(listener)
            try:
                self._accept_waiting(listener, wait_started_at)
            except BlockingIOError:  # the client has disconnected
                continue
            except OSError as error:  # for example, no file descriptor is free
                log_event("accept", str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)

    def _accept_waiting(self, listener: socket.socket, wait_started_at: float) -> None:
        """Accept the connections that wait, as many as one loop iteration may accept.

        A client waits for those before it to be accepted, never for what they have sent to be handled.

        Raises:
            OSError: A connection could not be accepted.
        """
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            sock, _ = listener.accept()
            is_queue_empty = not self._accept_queue.poll(0)
            self._record_accept_wait(is_queue_empty)
            self.accept_connection(sock, wait_started_at, is_queue_empty)
            if is_queue_empty or not self.connections.has_capacity():
                break

    def _record_accept_wait(self, is_queue_empty: bool) -> None:
        now = self._driver.now()
        self._counters.record_duration("accept_queue_ms", now - min(now, self._queued_since))
        self._queued_since = inf if is_queue_empty else min(now, self._queued_since)

    def accept_connection(self, sock: socket.socket, wait_started_at: float, is_queue_empty: bool) -> None:
        """Start a task that serves an accepted connection.

        Args:
            sock: The connected socket.
            wait_started_at: Time, by the driver's clock, at which the wait for the connection began.
            is_queue_empty: Whether the accept queue was empty afterwards.
        """
        self._counters["connections"] += 1
        self.connections.evict_if_full()
        polled_at = self._driver.stall_monitor.arrival_order.polled_at
        earliest_arrival = self.arrival_source.record_read(wait_started_at, polled_at, is_queue_empty)
        connection = RpcConnection(self._context, sock, earliest_arrival)
        self.connections.add(connection, asyncio.create_task(connection.run()))

    def stop_accepting(self) -> None:
        """Accept the connections in the accept queue, then close the listening socket.

        Closing the socket would reset the connections in the queue. Afterwards the kernel passes new
        connections to another process that listens on the same address, if there is one.
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
            except OSError:  # the queue is empty, or the client has disconnected
                break
            sock.setblocking(False)
            self.accept_connection(sock, self._driver.now(), False)
        listener.close()

    def readable_sources(self) -> list[ArrivalSource]:
        """Return the sources of the sockets that have data or connections to read."""
        sources = {connection.sock.fileno(): connection.arrival_source for connection in self.connections}
        if self._listener is not None:
            sources[self._listener.fileno()] = self.arrival_source
        sources.pop(-1, None)  # closed sockets
        poll = select.poll()
        for descriptor in sources:
            poll.register(descriptor, select.POLLIN)
        return [sources[descriptor] for descriptor, _ in poll.poll(0)]

    @property
    def is_draining(self) -> bool:
        """Whether a drain is in progress."""
        return self.connections.is_draining

    def drain(self, accept_for: float = ACCEPT_SECONDS) -> None:
        """Begin to close unused connections; reject new requests after `accept_for` seconds."""
        self.connections.drain(accept_for)

    def undrain(self) -> None:
        """End the drain, if there is one."""
        self.connections.undrain()
