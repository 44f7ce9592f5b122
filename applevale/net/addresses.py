"""Socket addresses, and the addresses at which instances exchange datagrams."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]  # host, port


def format_address(address: Address) -> str:
    """Return an address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


@dataclass(frozen=True)
class PeerAddresses:
    """The addresses at which instances exchange datagrams.

    Attributes:
        listen: Address that this instance binds.
        instances: Addresses of all instances, in the order of their numbers.
        broadcast: Address at which one datagram reaches all instances; None if there is none.
    """

    listen: Address
    instances: tuple[Address, ...]
    broadcast: Address | None
