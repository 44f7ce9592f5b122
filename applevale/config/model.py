"""The program's configuration as one typed value."""

from __future__ import annotations

from dataclasses import dataclass

from .. import api
from ..discovery.endpoints import AttributeNames, EndpointUpdate
from ..engines.limits import ConnectionLimits
from ..errors import AppleValeError
from ..net.addresses import Address, PeerAddresses


class ConfigError(AppleValeError, ValueError):
    """Something is missing or makes no sense; the text is one line that names its key."""


@dataclass(frozen=True)
class Config:
    """All that one process is started with."""

    name: str
    listen: Address
    feed: Address | None  # of the control feed; None: the list stays as in `known`
    seed: int
    sockets: int  # file descriptors that the process may hold
    memory_bytes: int
    settings: api.Settings
    connection_limits: ConnectionLimits  # to engines
    names: AttributeNames  # of zones and machine kinds
    known: tuple[EndpointUpdate, ...]  # of the list of engines so far
    peers: PeerAddresses | None = None  # None: there are none to exchange datagrams with
    registry: object = None  # settings of a key-value registry; None: the list comes from the feed
    zones: object = None  # the zones file; None: zones make no difference
    admin_address: Address | None = None  # of the operators' API; None: there is none
    json_log: bool = False  # events as JSON lines in place of plain ones
    engine_connects: float | None = None  # connects a second to one engine, over the fleet; None: no limit
    membership: float | None = None  # seconds between two probes of members; None: there is no membership
    local_address: str = ""  # the local address that outgoing connections bind; empty: the system's choice
