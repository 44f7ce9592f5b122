"""The network of a fleet: the links between its parts, and the proxies that apply faults to them."""

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
    """The links between instances, engines and the registry.

    Attributes:
        conditions: The faults on the links.
        proxies: The proxies before engines and members of the registry.
        relay: The proxy that datagrams between instances pass; None without membership.
    """

    def __init__(self, plan: FleetPlan, recorder: HistoryRecorder):
        """Prepare clear links for a plan; `recorder` records each datagram."""
        self.plan = plan
        self.recorder = recorder
        self.conditions = LinkConditions(plan.seed)
        self.proxies: list[TcpProxy] = []
        self.relay: UdpProxy | None = None

    async def expose(self, name: str, address: Address) -> Address:
        """Return where instances reach a server: itself, or a new proxy before it."""
        if not self.plan.gates:
            return address
        proxy = TcpProxy(name, address, self.conditions)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    def create_network(self, registry_addresses: list[Address]) -> FleetNetwork:
        """Return where the parts are reached; with membership, start the proxy of its datagrams.

        Args:
            registry_addresses: The members of the registry, as instances reach them.
        """
        port = free_port()
        if not self.plan.members:
            return FleetNetwork(port, registry_addresses)
        datagrams = {f"n{number}": (instance_host(number), port) for number in range(self.plan.nodes)}
        self.relay = UdpProxy(list(datagrams), datagrams, self.conditions, self.recorder.record_datagram)
        return FleetNetwork(port, registry_addresses, datagrams, self.relay)

    async def stop(self) -> None:
        """Stop all proxies."""
        if self.relay is not None:
            self.relay.stop()
        for proxy in self.proxies:
            await proxy.stop()
