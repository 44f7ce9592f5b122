"""Creation of listening sockets."""

from __future__ import annotations

import socket

from ..net.addresses import Address, BindError

BACKLOG = 512


def listen(address: Address, shared: bool, key: str) -> socket.socket:
    """Return a listening, non-blocking TCP socket.

    Args:
        address: The address to listen on.
        shared: Whether other processes may listen on the same address. An upgrade starts a second process
            there, and the kernel distributes new connections between the two until the old one closes its
            listener.
        key: Key of the address in the configuration, for the error.

    Raises:
        BindError: The socket cannot be bound to the address.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise BindError(key, address, error) from None
    listener.setblocking(False)
    return listener
