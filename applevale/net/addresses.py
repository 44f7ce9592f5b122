"""Socket addresses, and the addresses at which instances exchange datagrams."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import AppleValeError

Address = tuple[str, int]  # host, port


def format_address(address: Address) -> str:
    """Return an address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


class BindError(AppleValeError):
    """A socket cannot be bound to a configured address.

    Attributes:
        key: Key of the address in the configuration.
        address: The address.
        cause: The error of the system.
    """

    def __init__(self, key: str, address: Address, cause: OSError):
        """Create the error for one address."""
        super().__init__(key, address, cause)
        self.key = key
        self.address = address
        self.cause = cause

    def __str__(self) -> str:
        """Return key, address and reason in one line."""
        return f"{self.key}: a free local address is needed, not {format_address(self.address)}: {self.cause}"


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
