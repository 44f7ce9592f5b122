"""The network of a fleet: the links between its parts, with proxies that apply faults."""

from __future__ import annotations

from ..fault_injection.link_conditions import LinkConditions
from ..fault_injection.tcp_proxy import TcpProxy
from ..fault_injection.udp_proxy import UdpProxy
from ..net.addresses import Address
from .fleet_config import FleetNetwork, instance_host
from .fleet_plan import FleetPlan
from .history_recorder import HistoryRecorder
from .ports import free_port


class FleetLinks:
    """The links between the instances, engines and registry members of a fleet.

    Attributes:
        conditions: The active faults on the links.
        proxies: The TCP proxies of engines and registry members.
        relay: The proxy that forwards datagrams between instances; None without membership.
    """

    def __init__(self, plan: FleetPlan, recorder: HistoryRecorder):
        """Create links without faults; `recorder` records each datagram."""
        self.plan = plan
        self.recorder = recorder
        self.conditions = LinkConditions(plan.seed)
        self.proxies: list[TcpProxy] = []
        self.relay: UdpProxy | None = None

    async def expose(self, name: str, address: Address) -> Address:
        """Return the address at which instances reach a server: its own, or that of a new proxy."""
        if not self.plan.with_proxies:
            return address
        proxy = TcpProxy(name, address, self.conditions)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    def create_network(self, registry_addresses: list[Address]) -> FleetNetwork:
        """Return the addresses of the fleet; with membership, also start the datagram proxy.

        Args:
            registry_addresses: The addresses at which instances reach the members of the registry.
        """
        port = free_port()
        if not self.plan.with_membership:
            return FleetNetwork(port, registry_addresses)
        datagrams = {
            f"n{number}": (instance_host(number), port) for number in range(self.plan.instance_count)
        }
        self.relay = UdpProxy(list(datagrams), datagrams, self.conditions, self.recorder.record_datagram)
        return FleetNetwork(port, registry_addresses, datagrams, self.relay)

    async def stop(self) -> None:
        """Stop all proxies."""
        if self.relay is not None:
            self.relay.stop()
        for proxy in self.proxies:
            await proxy.stop()
