"""The UDP socket on which instances exchange the datagrams of several protocols."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from ..observability.counters import Counters
from ..observability.events import log_event
from .addresses import Address, BindError, PeerAddresses, format_address

MAX_READS_PER_WAKEUP = 64  # leaves time for other sockets while many datagrams arrive
MAX_DATAGRAM_BYTES = 256
BIND_RETRY_SECONDS = 0.5

DatagramHandler = Callable[[int, bytes], None]  # arguments: number of the sender, data


class DatagramSocket:
    """Sends datagrams, and passes received ones to handlers by their first byte, which names the protocol.

    Only datagrams from the addresses of peers are accepted. Datagrams from other senders or of unknown
    protocols are logged and counted as `news_unreadable`.

    In an upgrade two processes of the instance bind the same address, and the later one receives everything.
    If another process has the address for itself, nothing is sent or received until it is free.

    Attributes:
        addresses: The addresses of the instances.
        handlers: Handler of each protocol, by the first byte of its datagrams.
        is_bound: Whether the socket has its address.
    """

    def __init__(self, addresses: PeerAddresses, instance_number: int, counters: Counters):
        """Create the socket of an instance and bind it, unless another process has the address for itself.

        Args:
            addresses: The addresses of all instances; the socket is bound to `listen`.
            instance_number: Number of this instance, an index into `addresses.instances`. If it is past the
                end, the address of this instance is `addresses.listen`.
            counters: Counters of rejected datagrams.

        Raises:
            BindError: The address is not one of this machine's, or may not be used.
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
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.is_bound = False
        self._bind_timer: asyncio.TimerHandle | None = None
        self._bind()

    def _bind(self) -> None:
        """Bind the socket unless the address is in use."""
        try:
            self.sock.bind(self.addresses.listen)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                self.sock.close()
                raise BindError("peer_listen", self.addresses.listen, error) from None
            address = format_address(self.addresses.listen)
            log_event("datagram", f"peer_listen: {address} is in use; no datagrams until it is free")
        else:
            self.is_bound = True

    def start(self) -> None:
        """Begin to receive datagrams on the running event loop, as soon as the address is free."""
        loop = asyncio.get_running_loop()
        if self.is_bound:
            loop.add_reader(self.sock, self._on_readable)
        else:
            self._bind_timer = loop.call_later(BIND_RETRY_SECONDS, self._retry_bind)

    def _retry_bind(self) -> None:
        self._bind()
        self.start()

    def stop(self) -> None:
        """Stop receiving datagrams and close the socket."""
        if self._bind_timer is not None:
            self._bind_timer.cancel()
        if self.is_bound:
            asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()

    def send(self, data: bytes, target: Address) -> bool:
        """Send a datagram once; return False if it was not sent."""
        if not self.is_bound:  # peers know this instance by its address
            return False
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
