"""The state of a connected socket according to the kernel, without reading from it."""

from __future__ import annotations

import select
import socket

_HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketStatus:
    """Pending events of one connected socket."""

    __slots__ = ("_poll", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        """Create the status of an open socket."""
        self._sock = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN | select.POLLRDHUP)

    def _events(self) -> int:
        if self._sock.fileno() < 0:  # closed: the descriptor may be in use by another socket
            return select.POLLHUP
        return sum(event for _, event in self._poll.poll(0))

    def has_events(self) -> bool:
        """Return whether there is data to read, the peer has hung up, or the socket is closed."""
        return bool(self._events())

    def is_hung_up(self) -> bool:
        """Return whether the peer has hung up, or the socket is closed."""
        return bool(self._events() & _HANG_UP_EVENTS)
