"""Free ports for processes that need one before they start."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


def free_port() -> int:
    """Return a TCP port of the loopback interface that is free now; another process may take it."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def free_address() -> str:
    """Return a loopback address, as HOST:PORT, whose port is free now."""
    return f"{LOOPBACK}:{free_port()}"
