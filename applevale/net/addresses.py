"""Addresses of sockets, and those at which instances exchange datagrams."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]  # host, port


def format_address(address: Address) -> str:
    """Return an address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


@dataclass(frozen=True)
class PeerAddresses:
    """The addresses for datagrams between instances."""

    listen: Address
    each: tuple[Address, ...]  # of all instances, in the order of their numbers
    everyone: Address | None  # a datagram sent there reaches all; None: there is no such address
