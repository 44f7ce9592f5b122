"""The UDP socket between instances, shared by several protocols."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..observability.counters import Counters
from ..observability.events import log_event
from .addresses import Address, PeerAddresses

MAX_READS_PER_WAKEUP = 64  # so that a flood of datagrams leaves time for the rest
MAX_DATAGRAM_BYTES = 256

DatagramHandler = Callable[[int, bytes], None]  # number of the sender, data


class DatagramSocket:
    """Sends datagrams, and passes received ones to the handler of their protocol, by their first byte.

    Only datagrams from the addresses of peers are accepted. Those of other senders and of unknown protocols
    are logged and counted as `news_unreadable`.

    Attributes:
        addresses: The addresses of the instances.
        handlers: The handler of each protocol, by the first byte of its datagrams.
    """

    def __init__(self, addresses: PeerAddresses, me: int, counters: Counters, shared: bool = False):
        """Bind the socket of the instance with the number `me`.

        Args:
            addresses: The addresses of all instances; the socket binds `listen`.
            me: Index into `addresses.each`; an index past its end counts as an instance of its own.
            counters: Where rejected datagrams are counted.
            shared: Whether a second process of the same instance may bind the address too and receive all.

        Raises:
            OSError: The address cannot be bound.
        """
        self.addresses = addresses
        self.counters = counters
        self.handlers: dict[int, DatagramHandler] = {}
        # The instance's own datagrams may come back from the address that reaches all.
        self.own_address = addresses.each[me] if me < len(addresses.each) else addresses.listen
        self.peer_numbers = {
            address: number for number, address in enumerate(addresses.each) if address != self.own_address
        }
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(addresses.listen)

    def start(self) -> None:
        """Start to receive, in the running loop."""
        asyncio.get_running_loop().add_reader(self.sock, self._on_readable)

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()

    def send(self, data: bytes, target: Address) -> bool:
        """Send a datagram; return False if the system refused it. It is not sent again."""
        try:
            self.sock.sendto(data, target)
        except OSError as error:
            log_event("peers", f"not sent: {error}")
            return False
        return True

    def reject(self, sender: Address, reason: str) -> None:
        """Count and log a datagram that cannot be used."""
        self.counters["news_unreadable"] += 1
        log_event("peers", f"{sender[0]}:{sender[1]}: {reason}")

    def _on_readable(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # the system reports that an earlier datagram reached no one
                log_event("peers", f"{type(error).__name__}: {error}")
                return
            self._dispatch(data, sender)

    def _dispatch(self, data: bytes, sender: Address) -> None:
        if sender == self.own_address:
            return
        number = self.peer_numbers.get(sender)
        if number is None:
            self.reject(sender, "not one of the peers")
            return
        handler = self.handlers.get(data[0]) if data else None
        if handler is None:
            self.reject(sender, f"{len(data)} bytes of an unknown protocol")
            return
        handler(number, data)
