"""Division of the process's file descriptors among the kinds of connections."""

from __future__ import annotations

from dataclasses import dataclass

from ..admin.limits import MAX_CONCURRENT_REQUESTS
from ..config.model import Config

RESERVED_DESCRIPTORS = 32  # descriptors for files, listeners, the engine list source and datagrams


@dataclass(frozen=True)
class DescriptorBudget:
    """The most file descriptors that each kind of connection may use.

    Attributes:
        clients: Connections of clients: half of all descriptors. One client may hold a third of these.
        admin: Connections to the admin API: an eighth of all descriptors, at most `MAX_CONCURRENT_REQUESTS`.
        engines: Connections to engines: the descriptors that remain after the other kinds and the reserve.
    """

    clients: int
    admin: int
    engines: int

    @classmethod
    def from_config(cls, config: Config) -> DescriptorBudget:
        """Return the budget for a configuration."""
        clients = config.max_descriptors // 2
        admin = (
            0 if config.admin_address is None else min(config.max_descriptors // 8, MAX_CONCURRENT_REQUESTS)
        )
        engines = max(1, config.max_descriptors - clients - RESERVED_DESCRIPTORS - admin)
        return cls(clients, admin, engines)
