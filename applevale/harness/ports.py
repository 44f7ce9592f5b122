"""Free ports for processes that need one before they start."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


def free_port() -> int:
    """Return a currently free TCP port of the loopback interface.

    The port is not reserved: another process may take it before the caller does.
    """
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def free_address() -> str:
    """Return a loopback address, as HOST:PORT, whose port is currently free."""
    return f"{LOOPBACK}:{free_port()}"
