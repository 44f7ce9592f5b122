"""The open connections of a server: idle ones, shared limits, eviction and drain."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..admin.draining import FIRST_REQUEST_GRACE_SECONDS, DrainState
from ..observability.counters import Counters

if TYPE_CHECKING:
    from .connection import ClientConnection


# Share of the limit on buffered bytes up to which the statements of new requests are accepted.
MAX_STATEMENT_SHARE = 0.75


class ConnectionTable:
    """All connections of a server, with limits on their number and on the bytes buffered for them.

    Attributes:
        silent: Accept times of the connections on which no message is complete yet, oldest first.
        idle: Times at which connections without an open call became idle, longest idle first.
        buffered_bytes: Bytes of messages, statements and responses buffered for all connections.
        drain_state: Whether a drain is in progress, and from when it rejects requests.
    """

    def __init__(self, max_connections: int, max_buffered_bytes: int, counters: Counters):
        """Create an empty table.

        Args:
            max_connections: Number of connections at which an idle one is evicted for each new one.
            max_buffered_bytes: Limit above which a connection is closed.
            counters: Counters of evicted connections, slow connections and drains.
        """
        self.silent: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.buffered_bytes = 0
        self._max_connections = max_connections
        self._max_buffered_bytes = max_buffered_bytes
        self._counters = counters
        self._tasks: dict[ClientConnection, asyncio.Task] = {}
        self._capacity_changed = asyncio.Event()
        self.drain_state = DrainState()

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over the connections in the order in which they were accepted."""
        return iter(self._tasks)

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._tasks)

    def __contains__(self, connection: object) -> bool:
        """Return whether a connection is in the table."""
        return connection in self._tasks

    def add(self, connection: ClientConnection, task: asyncio.Task) -> None:
        """Add a connection that was just accepted, and the task that serves it."""
        accepted_at = asyncio.get_running_loop().time()
        self.silent[connection] = accepted_at
        self._tasks[connection] = task
        if self.drain_state.is_active:
            self._schedule_close_of_silent(connection, accepted_at)

    def detach(self, connection: ClientConnection) -> asyncio.Task | None:
        """Remove a connection that is being closed; return its task, or None if it was removed before."""
        task = self._tasks.pop(connection, None)
        self.update_idle(connection)
        return task

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection whose task has ended, and let the listener accept another one."""
        self.detach(connection)
        self._capacity_changed.set()

    def update_idle(self, connection: ClientConnection) -> None:
        """Update whether a connection is idle; an idle one moves to the end of the eviction order."""
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        if connection in self._tasks and not connection.is_busy:
            loop = asyncio.get_running_loop()
            self.idle[connection] = loop.time()
            self._capacity_changed.set()
            if self.drain_state.is_active:
                # The response to a call is queued right after the call is released, so the check whether to
                # close the connection is put off until then.
                loop.call_soon(self._close_if_unused, connection)

    def has_capacity(self) -> bool:
        """Return whether a connection can be added, if necessary by evicting another one."""
        return len(self._tasks) < self._max_connections or self._find_evictable() is not None

    async def wait_for_capacity(self) -> None:
        """Wait until a connection can be added."""
        while not self.has_capacity():
            self._capacity_changed.clear()
            await self._capacity_changed.wait()

    def evict_if_full(self) -> None:
        """Close a connection that is owed nothing if the maximum number of connections is reached."""
        if len(self._tasks) < self._max_connections:
            return
        evicted = self._find_evictable()
        if evicted is not None:
            self._counters["connections_evicted"] += 1
            evicted.stop("")

    def _find_evictable(self) -> ClientConnection | None:
        """Return the oldest silent connection, or else the one that has been idle for longest.

        Without eviction, idle clients could keep the server from accepting clients that send requests. A
        connection whose next message has begun to arrive is not evicted, since its request would be lost: new
        clients wait until it was handled. Only if its client is known for misuse is it the last choice.
        """
        now = asyncio.get_running_loop().time()
        silent = [
            connection
            for connection, accepted_at in self.silent.items()
            if now - accepted_at >= FIRST_REQUEST_GRACE_SECONDS
        ]
        candidates = [*silent, *self.idle, *self.silent]
        unused = (connection for connection in candidates if connection.is_unused())
        misused = (connection for connection in candidates if connection.is_misused)
        return next(unused, None) or next(misused, None)

    def has_room_for_statement(self, size: int) -> bool:
        """Return whether a new request's statement may be held; room for messages and responses is left.

        Args:
            size: Bytes of the statement.
        """
        return self.buffered_bytes + size <= MAX_STATEMENT_SHARE * self._max_buffered_bytes

    def add_bytes(self, size: int) -> None:
        """Count buffered bytes; above the limit, close the connection that is to give way."""
        self.buffered_bytes += size
        if self.buffered_bytes > self._max_buffered_bytes and self._tasks:
            closed = max(self._tasks, key=self._closing_order)
            self._counters["slow_clients_closed"] += 1
            closed.stop(
                f"buffered bytes exceed {self._max_buffered_bytes}; "
                f"this connection holds {closed.buffered_bytes} of them"
            )

    @staticmethod
    def _closing_order(connection: ClientConnection) -> tuple[bool, int]:
        """Return a key for choosing the connection to close: the highest gives way.

        Clients that are owed no response come first. Then it is the one that holds the most.
        """
        buffered_bytes = connection.buffered_bytes
        return not connection.is_busy and buffered_bytes > 0, buffered_bytes

    def release_bytes(self, size: int) -> None:
        """Subtract bytes that are no longer buffered."""
        self.buffered_bytes -= size

    @property
    def is_draining(self) -> bool:
        """Whether a drain is in progress."""
        return self.drain_state.is_active

    def rejects_requests(self, now: float) -> bool:
        """Return whether a drain rejects the requests that arrive now."""
        return self.drain_state.rejects_requests(now)

    def drain(self, accept_for: float) -> None:
        """Begin to close unused connections; reject new requests after `accept_for` seconds."""
        self._counters["drains"] += 1
        self.drain_state.begin(asyncio.get_running_loop().time() + accept_for)
        for connection in list(self.idle):
            self._close_if_unused(connection)
        for connection, accepted_at in self.silent.items():
            self._schedule_close_of_silent(connection, accepted_at)

    def undrain(self) -> None:
        """End the drain, if there is one."""
        self.drain_state.end()

    def _close_if_unused(self, connection: ClientConnection) -> None:
        """Close a connection for a drain, unless it is busy or a message has begun to arrive."""
        if connection not in self._tasks:
            return
        is_busy = connection.is_busy
        if self.drain_state.should_close(is_busy, is_busy or connection.has_pending_input()):
            connection.stop("")

    def _schedule_close_of_silent(self, connection: ClientConnection, accepted_at: float) -> None:
        """Close a connection after the grace period for the first request of its client."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.drain_state.first_request_time_left(accepted_at, loop.time()),
            self._close_if_unused,
            connection,
        )
