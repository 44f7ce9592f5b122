"""Limits of connections to engines, as the settings give them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ConnectionLimits:
    """The settings' limits of connections to engines; durations in seconds."""

    max_attempts: int  # attempts that one connection carries at a time
    idle_timeout: float  # after which an engine closes a connection that carries nothing
    connect_timeout: float
    handshake_price: float = 0.0  # points of the result for one new connection a request
    probe_price: float = 0.0  # points of the result for one probe a request
    drain_grace: float = 0.5  # within which nothing new may reach an engine that drains
