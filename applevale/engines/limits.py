"""Limits on connections to engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits and costs of connections to engines, as the settings define them.

    Attributes:
        max_attempts: Maximum number of concurrent attempts on one connection.
        idle_timeout: Seconds after which an engine closes an idle connection.
        connect_timeout: Timeout of connecting, in seconds.
        handshake_price: Cost of one new connection per request, in points of the performance score.
        probe_price: Cost of one probe per request, in points of the performance score.
        drain_grace: Seconds after the start of a drain in which commands may still reach the engine.
    """

    max_attempts: int
    idle_timeout: float
    connect_timeout: float
    handshake_price: float = 0.0
    probe_price: float = 0.0
    drain_grace: float = 0.5
