"""Limits of a server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerLimits:
    """Limits that apply to all connections of a server together.

    Attributes:
        max_connections: Maximum number of open connections.
        max_buffered_bytes: Maximum number of bytes of buffered messages, statements and responses.
    """

    max_connections: int
    max_buffered_bytes: int
