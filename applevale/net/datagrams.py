"""The UDP socket on which instances exchange the datagrams of several protocols."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..observability.counters import Counters
from ..observability.events import log_event
from .addresses import Address, BindError, PeerAddresses, format_address

MAX_READS_PER_WAKEUP = 64  # leaves time for other sockets while many datagrams arrive
MAX_DATAGRAM_BYTES = 256

DatagramHandler = Callable[[int, bytes], None]  # arguments: number of the sender, data


class DatagramSocket:
    """Sends datagrams, and passes received ones to handlers by their first byte, which names the protocol.

    Only datagrams from the addresses of peers are accepted. Datagrams from other senders or of unknown
    protocols are logged and counted as `news_unreadable`.

    Attributes:
        addresses: The addresses of the instances.
        handlers: Handler of each protocol, by the first byte of its datagrams.
    """

    def __init__(
        self, addresses: PeerAddresses, instance_number: int, counters: Counters, reuse_address: bool = False
    ):
        """Create the socket of an instance and bind it.

        Args:
            addresses: The addresses of all instances; the socket is bound to `listen`.
            instance_number: Number of this instance, an index into `addresses.instances`. If it is past the
                end, the address of this instance is `addresses.listen`.
            counters: Counters of rejected datagrams.
            reuse_address: Whether a second process of this instance may bind the same address, and then
                receives all datagrams.

        Raises:
            BindError: The address cannot be bound.
        """
        self.addresses = addresses
        self.counters = counters
        self.handlers: dict[int, DatagramHandler] = {}
        is_listed = instance_number < len(addresses.instances)
        # Datagrams from this address are ignored, since a broadcast also reaches its sender.
        self.own_address = addresses.instances[instance_number] if is_listed else addresses.listen
        self.peer_numbers = {
            address: number
            for number, address in enumerate(addresses.instances)
            if address != self.own_address
        }
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if reuse_address:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        try:
            self.sock.bind(addresses.listen)
        except OSError as error:
            self.sock.close()
            raise BindError("peer_listen", addresses.listen, error) from None

    def start(self) -> None:
        """Begin to receive datagrams on the running event loop."""
        asyncio.get_running_loop().add_reader(self.sock, self._on_readable)

    def stop(self) -> None:
        """Stop receiving datagrams and close the socket."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()

    def send(self, data: bytes, target: Address) -> bool:
        """Send a datagram once; return False if the system reports an error."""
        try:
            self.sock.sendto(data, target)
        except OSError as error:
            log_event("datagram", f"sending to {format_address(target)} failed: {error}")
            return False
        return True

    def reject(self, sender: Address, reason: str) -> None:
        """Count and log a received datagram that cannot be used."""
        self.counters["news_unreadable"] += 1
        log_event("datagram", f"{format_address(sender)}: {reason}")

    def _on_readable(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # the system reports that an earlier datagram was not delivered
                log_event("datagram", f"receiving failed: {type(error).__name__}: {error}")
                return
            self._dispatch(data, sender)

    def _dispatch(self, data: bytes, sender: Address) -> None:
        if sender == self.own_address:
            return
        number = self.peer_numbers.get(sender)
        if number is None:
            self.reject(sender, "the sender is not among the addresses of the peers")
            return
        handler = self.handlers.get(data[0]) if data else None
        if handler is None:
            self.reject(sender, f"unknown protocol in a datagram of {len(data)} bytes")
            return
        handler(number, data)
