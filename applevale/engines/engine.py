"""An engine of the list, and the selection of one of its connections."""

from __future__ import annotations

from collections.abc import Set
from typing import TYPE_CHECKING

from ..api import EngineState
from ..discovery.endpoints import Endpoint
from .connection import EngineConnection

if TYPE_CHECKING:
    from .pool import EnginePool


class Engine:
    """An engine, identified by its id; its address may be reused by another engine later.

    Attributes:
        pool: The pool that holds the engine.
        engine_id: Id of the engine in the list.
        address: Its current address.
        state: State of the engine in the list.
        started_at: Start time of the engine's process, as Unix time.
        connections: Connections that have not ended, in the order in which they were opened.
    """

    def __init__(self, pool: EnginePool, endpoint: Endpoint) -> None:
        """Create an engine of the list without connections."""
        self.pool = pool
        self.engine_id = endpoint.entry.engine_id
        self.address = endpoint.address
        self.state = endpoint.entry.state
        self.started_at = endpoint.entry.started_at
        self.connections: list[EngineConnection] = []

    def update(self, endpoint: Endpoint) -> None:
        """Apply a new entry of the list for this engine."""
        entry = endpoint.entry
        is_replaced = (entry.started_at, endpoint.address) != (self.started_at, self.address)
        if is_replaced or entry.state is EngineState.GONE:
            self._drain_connections()  # they belong to an earlier process of the engine
        self.state = entry.state
        self.started_at = entry.started_at
        self.address = endpoint.address
        if self.state is not EngineState.READY:
            self.withdraw_unsent()

    def mark_gone(self) -> None:
        """Treat the engine as gone, whatever its state in the list."""
        self.state = EngineState.GONE
        self.withdraw_unsent()
        self._drain_connections()

    def withdraw_unsent(self) -> None:
        """Fail the attempts whose commands are not being written yet."""
        for connection in list(self.connections):
            connection.withdraw_unsent()

    def pick_connection(
        self, request_id: bytes, excluded: Set[EngineConnection], exclusive: bool = False
    ) -> EngineConnection | None:
        """Return a connection for one more attempt or probe, or None if none is available.

        The first choice is the most recently used idle connection, so that the others can reach their idle
        timeout. The second is a new connection, unless busy ones are to be shared. The third, if none may be
        opened, is the busy one with the fewest streams, since a corrupt reply ends all streams of its
        connection.

        Args:
            request_id: Id of the request of the attempt; empty for a probe.
            excluded: Connections that must not be used.
            exclusive: Whether the attempt must not share a connection, if one can be opened.
        """
        usable = [
            connection
            for connection in self.connections
            if connection.accepts(request_id) and connection not in excluded
        ]
        idle = [
            connection
            for connection in usable
            if connection.is_connected and not connection.stream_count and connection.is_reusable()
        ]
        if idle:
            return max(idle, key=lambda connection: connection.liveness.last_active_at)
        busy = [connection for connection in usable if connection.stream_count or not connection.is_connected]
        if busy and not exclusive and self.pool.shares_connections():
            return min(busy, key=lambda connection: connection.stream_count)
        if self._may_open_connection(has_other=bool(busy)):
            return self._open_connection()
        return min(busy, key=lambda connection: connection.stream_count) if busy else None

    def _may_open_connection(self, has_other: bool) -> bool:
        """Return whether a connection may be opened.

        Each engine has a fair share of the connections; it may exceed the share if it has no usable one.
        """
        pool = self.pool
        fair_share = pool.max_connections // max(1, len(pool.engines))
        return (
            (len(self.connections) < fair_share or not has_other)
            and pool.connection_count() < pool.max_connections
            and pool.connect_policy.may_connect(self.engine_id)
        )

    def _open_connection(self) -> EngineConnection:
        self.pool.connect_policy.record_connect(self.engine_id)
        connection = EngineConnection(self)
        self.connections.append(connection)
        return connection

    def _drain_connections(self) -> None:
        for connection in self.connections:
            connection.drain()
