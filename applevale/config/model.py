"""The program's configuration as one typed value."""

from __future__ import annotations

from dataclasses import dataclass

from .. import api
from ..discovery.endpoints import AttributeNames, EndpointUpdate
from ..engines.limits import ConnectionLimits
from ..errors import AppleValeError
from ..net.addresses import Address, PeerAddresses


class ConfigError(AppleValeError, ValueError):
    """The configuration is invalid; the message is one line that names the key at fault."""


@dataclass(frozen=True)
class Config:
    """The configuration of one process.

    Attributes:
        name: The name of this instance in the log.
        listen_address: The address on which clients are served.
        feed_address: The address of the control feed; without one the engine list stays as in
            `known_updates`.
        seed: The seed of all random draws.
        max_descriptors: Maximum number of file descriptors that the process may have open.
        memory_bytes: The memory available to the process, of which buffers for clients take a share.
        settings: The settings of the decision module.
        connection_limits: The limits of connections to engines.
        attribute_names: The names of zones and machine kinds, in the order of their indices.
        known_updates: The updates of the engine list that are known at the start.
        peers: The addresses of the other instances; without them no datagrams are exchanged.
        registry: The settings of the key-value registry; without them the engine list comes from the feed.
        zones: The content of the zones file; without it requests are not routed by zone.
        admin_address: The address of the admin API; without it there is no admin API.
        json_log: Whether the log has JSON lines instead of plain ones.
        engine_connects_per_second: Maximum rate of connects to one engine by the whole fleet, per second;
            None for no limit.
        membership_probe_interval: The seconds between two membership probes; None disables membership.
        local_address: The source address of outgoing connections; empty for the system's choice.
    """

    name: str
    listen_address: Address
    feed_address: Address | None
    seed: int
    max_descriptors: int
    memory_bytes: int
    settings: api.Settings
    connection_limits: ConnectionLimits
    attribute_names: AttributeNames
    known_updates: tuple[EndpointUpdate, ...]
    peers: PeerAddresses | None = None
    registry: object = None
    zones: object = None
    admin_address: Address | None = None
    json_log: bool = False
    engine_connects_per_second: float | None = None
    membership_probe_interval: float | None = None
    local_address: str = ""
