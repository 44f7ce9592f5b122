"""The socket of datagrams between workload managers: who sent one, and which part takes it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..observability.counters import Counters
from ..observability.events import log_event
from .addresses import Address, PeerAddresses

AT_ONCE = 64  # datagrams read in one turn of the loop, so that a flood leaves time for the rest
MOST_BYTES = 256

Take = Callable[[int, bytes], None]


class Datagrams:
    """Owns the socket. Only the others of the tier are heard, by the address that a datagram comes from; its
    first byte tells which part takes it. What is foreign or nobody's costs a counter."""

    def __init__(self, addresses: PeerAddresses, me: int, counters: Counters, shared: bool = False):
        """`shared`: a second process of the same name may bind the address too; it then hears all."""
        self.addresses, self.counters = addresses, counters
        # The own words may come back from the address of all.
        self.own = addresses.each[me] if me < len(addresses.each) else addresses.listen
        self.numbers = {one: at for at, one in enumerate(addresses.each) if one != self.own}
        self.takers: dict[int, Take] = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(addresses.listen)

    def start(self) -> None:
        asyncio.get_running_loop().add_reader(self.sock, self._readable)

    def stop(self) -> None:
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()

    def send(self, data: bytes, target: Address) -> bool:
        """False: there was no room in the socket, or no one there. It is not sent again."""
        try:
            self.sock.sendto(data, target)
        except OSError as error:
            log_event("peers", f"not told: {error}")
            return False
        return True

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            try:
                data, sender = self.sock.recvfrom(MOST_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # word that an earlier datagram reached no one
                log_event("peers", f"{type(error).__name__}: {error}")
                return
            self._take(data, sender)

    def _take(self, data: bytes, sender: Address) -> None:
        if sender == self.own:
            return
        number = self.numbers.get(sender)
        if number is None:
            self.unreadable(sender, "not one of the peers")
            return
        take = self.takers.get(data[0]) if data else None
        if take is None:
            self.unreadable(sender, f"{len(data)} bytes for nobody")
            return
        take(number, data)

    def unreadable(self, sender: Address, why: str) -> None:
        self.counters["news_unreadable"] += 1
        log_event("peers", f"{sender[0]}:{sender[1]}: {why}")
