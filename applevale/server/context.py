"""The objects that all connections of one server share."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..admin.metrics import Metrics
from ..dispatch.event_loop_driver import EventLoopDriver
from ..observability.counters import Counters
from ..requests.handler import RequestHandler
from .connection_table import ConnectionTable
from .request_parser import RequestSchema
from .turn_scheduler import TurnScheduler


@dataclass(eq=False)
class ServerContext:
    """Shared objects of a server, as each of its connections uses them.

    Attributes:
        handler: Processes requests.
        driver: Provides the clock and the order of arrivals.
        schema: The classes and tenants that requests may name.
        connections: All connections, with their shared limits.
        turns: Shares the event loop among the connections.
        counters: Counters of connections, messages and responses.
        metrics: Response metrics for operators; None without an operators' endpoint.
        is_ready: Whether new clients are accepted, as reported in the response to a probe.
        open_request_ids: Ids of the requests that have no response yet.
    """

    handler: RequestHandler
    driver: EventLoopDriver
    schema: RequestSchema
    connections: ConnectionTable
    turns: TurnScheduler
    counters: Counters
    metrics: Metrics | None = None
    is_ready: bool = False
    open_request_ids: set[bytes] = field(default_factory=set)
