"""The parameters of a run of the fleet harness."""

from __future__ import annotations

from dataclasses import dataclass

from ..fault_injection.schedule import Step


@dataclass(frozen=True)
class FleetPlan:
    """The size, configuration and load of a fleet.

    Attributes:
        instance_count: Number of instances of the application.
        seed: Seed of all random draws of the run.
        engine_count: Number of fake engines.
        registry_reads_per_second: Reads per second that the fake registry can serve.
        requests_per_second: Client requests per second to each instance; 0 starts no clients.
        resend_rejected: Whether clients resend a rejected request at once.
        cold_engine_count: Number of engines that start cold, just before the instances.
        engine_connects_per_second: Limit on the connections per second to one engine, over the whole
            fleet; 0 sets no limit.
        store_snapshots: Whether instances store snapshots of the engine list.
        fault_steps: Fault steps for the scenario `scheduled_faults`; empty: they are drawn from the seed.
        with_membership: Whether instances run the membership protocol; a UDP proxy forwards its datagrams.
        with_proxies: Whether instances reach engines and registry through TCP proxies, which apply faults.
        checkout: Folder of another checkout whose application is run, for a baseline.
        entry_point: Module to run in place of the application, and its arguments, for planted faults.
        entry_point_instance: Name of the only instance that runs `entry_point`; empty: all run it.
    """

    instance_count: int
    seed: int = 1
    engine_count: int = 80
    registry_reads_per_second: float = 600.0
    requests_per_second: float = 2.0
    resend_rejected: bool = False
    cold_engine_count: int = 0
    engine_connects_per_second: float = 20.0
    store_snapshots: bool = False
    fault_steps: tuple[Step, ...] = ()
    with_membership: bool = False
    with_proxies: bool = False
    checkout: str | None = None
    entry_point: tuple[str, ...] = ()
    entry_point_instance: str = ""
