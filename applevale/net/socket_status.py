"""The state of a socket according to the kernel, without reading from it."""

from __future__ import annotations

import asyncio
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


async def wait_until_readable(sock: socket.socket) -> None:
    """Wait until there is something to read or accept, without taking it.

    `loop.sock_accept` and `loop.sock_recv` would lose what they took if they were cancelled in the loop
    iteration in which they complete. Without them it stays in the kernel.
    """
    loop = asyncio.get_running_loop()
    readable = loop.create_future()
    loop.add_reader(sock, lambda: readable.done() or readable.set_result(None))
    try:
        await readable
    finally:
        loop.remove_reader(sock)
