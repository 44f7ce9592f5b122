"""Limits of a server, over all its connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerLimits:
    """What a server holds at a time.

    Attributes:
        max_connections: Number of connections.
        max_buffered_bytes: Bytes of messages, statements and responses.
    """

    max_connections: int
    max_buffered_bytes: int
