"""What the connections of one server share."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..admin.metrics import Metrics
from ..dispatch.event_loop_driver import EventLoopDriver
from ..observability.counters import Counters
from ..requests.handler import RequestHandler
from .connection_table import ConnectionTable
from .request_parser import RequestSchema


@dataclass(eq=False)
class ServerContext:
    """The parts of a server that each of its connections uses.

    Attributes:
        handler: Returns the response to each request.
        driver: Has the clock, and the order of arrivals.
        schema: The classes and tenants that requests may name.
        connections: All connections, and the limits that they share.
        counters: Counts of what comes in and goes out.
        metrics: Counts of responses for operators, if any.
        is_ready: Whether probes are answered that new clients are accepted.
        open_request_ids: Ids of the requests without a response.
    """

    handler: RequestHandler
    driver: EventLoopDriver
    schema: RequestSchema
    connections: ConnectionTable
    counters: Counters
    metrics: Metrics | None = None
    is_ready: bool = False
    open_request_ids: set[bytes] = field(default_factory=set)
