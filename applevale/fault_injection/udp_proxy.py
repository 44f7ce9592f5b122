"""A proxy for datagrams between instances.

Each instance has a proxy socket, whose address stands for it in the `peers` of all instances. The proxy
socket that a datagram reaches identifies its receiver; the source address identifies its sender. The datagram
is forwarded from the sender's proxy socket, so the receiver sees the address that it knows from `peers`. One
process holds all proxy sockets.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from ..net.addresses import Address
from .link_conditions import LinkConditions

MAX_READS_PER_WAKEUP = 256  # datagrams read from a socket each time it becomes readable
MAX_DATAGRAM_BYTES = 2048
MAX_DELAYED_DATAGRAMS = 20_000  # at a time; further delayed datagrams are dropped and counted
MIN_DELAY_SECONDS = 0.0005  # datagrams with at most this delay are forwarded at once
RECEIVE_BUFFER_BYTES = 1 << 20


def _ignore_datagram(source: str, target: str, size: int) -> None:
    pass


class UdpProxy:
    """Forwards datagrams between instances under the conditions of each pair.

    Attributes:
        addresses: The address of each instance that its peers are given.
        broadcast_socket: Datagrams to this socket are forwarded to all instances but the sender.
        stats: Number of datagrams by outcome.
    """

    def __init__(
        self,
        names: list[str],
        listen_addresses: dict[str, Address],
        conditions: LinkConditions,
        on_datagram: Callable[[str, str, int], None] = _ignore_datagram,
    ):
        """Open a proxy socket for each instance.

        Args:
            names: Names of the instances.
            listen_addresses: The address at which each instance receives datagrams, which it also sends from.
            conditions: The conditions of each pair of instances.
            on_datagram: Called with sender, receiver and size in bytes of each datagram, including lost ones.
        """
        self.names = names
        self.listen_addresses = listen_addresses
        self.conditions = conditions
        self.on_datagram = on_datagram
        self.loop = asyncio.get_running_loop()
        self.senders = {address: name for name, address in listen_addresses.items()}
        self.sockets: dict[str, socket.socket] = {}
        self.addresses: dict[str, Address] = {}
        self.timers: set[asyncio.TimerHandle] = set()
        self.stats: Counter = Counter()
        self.broadcast_socket = self._open_socket()
        self.loop.add_reader(self.broadcast_socket, self._on_readable, None, self.broadcast_socket)
        for name in names:
            sock = self._open_socket()
            self.sockets[name] = sock
            self.addresses[name] = sock.getsockname()
            self.loop.add_reader(sock, self._on_readable, name, sock)

    @staticmethod
    def _open_socket() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        return sock

    def stop(self) -> None:
        """Close all sockets; delayed datagrams are lost."""
        for sock in (self.broadcast_socket, *self.sockets.values()):
            self.loop.remove_reader(sock)
            sock.close()
        for timer in self.timers:
            timer.cancel()

    def _on_readable(self, target: str | None, sock: socket.socket) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            source = self.senders.get(address)
            if source is None:
                self.stats["strangers"] += 1
                continue
            targets = [target] if target else [name for name in self.names if name != source]
            for name in targets:
                self._forward(source, name, data)

    def _forward(self, source: str, target: str, data: bytes) -> None:
        self.stats["sent"] += 1
        self.on_datagram(source, target, len(data))
        delays = self.conditions.datagram_delays(self.loop.time(), source, target, len(data))
        if not delays:
            self.stats["lost"] += 1
        for delay in delays:
            if delay <= MIN_DELAY_SECONDS:
                self._deliver(source, target, data)
            elif len(self.timers) >= MAX_DELAYED_DATAGRAMS:
                self.stats["over_limit"] += 1
            else:
                self._deliver_later(delay, source, target, data)

    def _deliver_later(self, delay: float, source: str, target: str, data: bytes) -> None:
        def deliver() -> None:
            self.timers.discard(timer)
            self._deliver(source, target, data)

        timer = self.loop.call_later(delay, deliver)
        self.timers.add(timer)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        try:
            self.sockets[source].sendto(data, self.listen_addresses[target])
            self.stats["passed"] += 1
        except OSError:
            self.stats["unsendable"] += 1
