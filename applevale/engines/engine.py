"""One engine of the list, and the choice among its connections."""

from __future__ import annotations

from collections.abc import Set
from typing import TYPE_CHECKING

from ..api import State
from ..discovery.endpoints import Endpoint
from .connection import EngineConnection

if TYPE_CHECKING:
    from .pool import EnginePool


class Engine:
    """One engine by its id: its address may go to another engine later.

    Attributes:
        connections: All that are not ended, in the order in which they were opened.
    """

    def __init__(self, pool: EnginePool, endpoint: Endpoint) -> None:
        """Hold an engine that the list names, without a connection."""
        self.pool = pool
        self.engine_id = endpoint.entry.engine
        self.address = endpoint.address
        self.state = endpoint.entry.state
        self.started = endpoint.entry.started
        self.connections: list[EngineConnection] = []

    def update(self, endpoint: Endpoint) -> None:
        """Apply what the list says of this engine."""
        entry = endpoint.entry
        is_replaced = (entry.started, endpoint.address) != (self.started, self.address)
        if is_replaced or entry.state is State.GONE:
            self._drain_connections()  # they lead to the process before this one
        self.state = entry.state
        self.started = entry.started
        self.address = endpoint.address
        if self.state is not State.READY:
            self.withdraw_unsent()

    def mark_gone(self) -> None:
        """Treat the engine as gone, whatever the list said of it."""
        self.state = State.GONE
        self.withdraw_unsent()
        self._drain_connections()

    def withdraw_unsent(self) -> None:
        """Fail the attempts whose commands are not being written yet: nothing new may reach the engine."""
        for connection in list(self.connections):
            connection.withdraw_unsent()

    def pick_connection(
        self, request_id: bytes, excluded: Set[EngineConnection], exclusive: bool = False
    ) -> EngineConnection | None:
        """Return a connection for one more attempt or probe; None if there is none and none may be opened.

        An idle one comes first, the last one used, so that the others may close; then a new one; and with
        too many of them the one that carries least, for a corrupt reply ends all else on its connection.
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
        pool = self.pool
        share = pool.max_connections // max(1, len(pool.engines))
        return (
            (len(self.connections) < share or not has_other)
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
