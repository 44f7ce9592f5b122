"""Limits on connections to engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits and prices of connections to engines, as the settings define them.

    Attributes:
        max_attempts: Maximum number of concurrent attempts on one connection.
        idle_timeout: Seconds after which an engine closes an idle connection.
        connect_timeout: Timeout of connecting, in seconds.
        handshake_cost: Share of a request's value that one new connection per request costs (setting
            `prices.handshake`).
        probe_price: Share of a request's value that one probe per request costs (setting `prices.probe`).
        drain_grace: Seconds after the start of a drain in which commands may still reach the engine.
    """

    max_attempts: int
    idle_timeout: float
    connect_timeout: float
    handshake_cost: float = 0.0
    probe_price: float = 0.0
    drain_grace: float = 0.5
