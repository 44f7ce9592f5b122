"""How the file descriptors of the process are shared out."""

from __future__ import annotations

from dataclasses import dataclass

from ..admin.limits import MAX_CONCURRENT_REQUESTS
from ..config.model import Config

RESERVED_DESCRIPTORS = 32  # for the files, listeners, list and datagrams


@dataclass(frozen=True)
class DescriptorBudget:
    """The most descriptors that each kind of connection may use.

    Attributes:
        clients: Half of all; one client may hold a third of them.
        admin: Connections of operators.
        engines: What is left beside the reserve.
    """

    clients: int
    admin: int
    engines: int

    @classmethod
    def of(cls, config: Config) -> DescriptorBudget:
        """Return the shares for a configuration."""
        clients = config.sockets // 2
        admin = 0 if config.admin_address is None else min(config.sockets // 8, MAX_CONCURRENT_REQUESTS)
        engines = max(1, config.sockets - clients - RESERVED_DESCRIPTORS - admin)
        return cls(clients, admin, engines)
