"""Configuration of the instances of a fleet."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fault_injection.tcp_proxy import source_address
from ..fault_injection.udp_proxy import UdpProxy
from ..net.addresses import Address, format_address
from .default_settings import SETTINGS
from .fleet_engines import ENGINE_KEY_PREFIX
from .fleet_plan import FleetPlan


def instance_host(number: int) -> str:
    """Return the loopback address on which an instance listens."""
    return source_address(number).replace("127.1.", "127.2.", 1)


@dataclass(frozen=True)
class FleetNetwork:
    """The addresses of a fleet.

    Attributes:
        port: The port on which all instances listen, each at the address of `instance_host`.
        registry: The addresses at which instances reach the members of the registry.
        datagrams: The datagram address of each instance, by its name; empty without membership.
        relay: The proxy that forwards datagrams between instances; None without membership.
    """

    port: int
    registry: Sequence[Address]
    datagrams: dict[str, Address] = field(default_factory=dict)
    relay: UdpProxy | None = None


def instance_config(plan: FleetPlan, network: FleetNetwork, number: int, seed: int) -> dict:
    """Return the configuration of one instance, without the defaults of `managed_process`.

    Args:
        plan: The plan of the fleet.
        network: The addresses of the fleet.
        number: The number of the instance.
        seed: Seed of all random draws of the instance.
    """
    config: dict = {
        "listen": f"{instance_host(number)}:{network.port}",
        "local_address": source_address(number),
        "log": "json",
        "seed": f"{seed:x}",
        "settings": SETTINGS | {"me": number, "fleet_size": plan.instance_count},
        "registry": {
            "kind": "etcd",
            "prefix": ENGINE_KEY_PREFIX,
            "addresses": [format_address(address) for address in network.registry],
        },
    }
    if network.relay is not None:
        config |= {
            "peer_listen": format_address(network.datagrams[f"n{number}"]),
            "membership": {},
            "peers": [format_address(network.relay.addresses[name]) for name in network.datagrams],
        }
    if plan.engine_connects_per_second:
        config["startup"] = {"engine_connects": plan.engine_connects_per_second}
    return config
