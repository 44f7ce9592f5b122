"""Parameters of one run of the fleet harness."""

from __future__ import annotations

from dataclasses import dataclass

from ..fault_injection.schedule import Step


@dataclass(frozen=True)
class FleetPlan:
    """What a fleet consists of and how it is loaded.

    Attributes:
        nodes: Number of instances of the application.
        seed: Seed of all random draws of the run.
        engines: Number of fake engines.
        capacity: Reads per second that the registry bears.
        clients: Requests per second to each instance.
        eager: Whether clients repeat at once what is rejected.
        cold: Number of engines that start together with the instances.
        connects: Connections per second to one engine, over the whole fleet; 0 sets no limit.
        snapshot: Whether instances store the list of engines.
        schedule: Steps for the scenario that plays a schedule; if empty, they are drawn from the seed.
        members: Whether membership is on; its datagrams then pass a UDP proxy.
        gates: Whether TCP proxies stand between instances and servers, for faults on the network.
        checkout: Folder whose application is run, for a baseline.
        entry: Another module to run as the application, for planted faults.
        entry_of: Name of the only instance that runs `entry`; empty for all of them.
    """

    nodes: int
    seed: int = 1
    engines: int = 80
    capacity: float = 600.0
    clients: float = 2.0
    eager: bool = False
    cold: int = 0
    connects: float = 20.0
    snapshot: bool = False
    schedule: tuple[Step, ...] = ()
    members: bool = False
    gates: bool = False
    checkout: str | None = None
    entry: tuple[str, ...] = ()
    entry_of: str = ""
