"""Wires the parts of one workload manager together and routes changes among them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import api
from ..admin.limits import MAX_CONCURRENT_REQUESTS
from ..admin.metrics import Gauges, Metrics
from ..config.model import Config
from ..discovery.control_feed import ControlFeed
from ..discovery.endpoints import EndpointSource, EndpointUpdate
from ..discovery.gated_endpoints import GatedEndpoints
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.pool import EnginePool
from ..net.addresses import Address
from ..observability.counters import Counters
from ..observability.events import emit_event
from ..policy import AdmissionController
from ..requests.handler import RequestHandler
from ..server.listener import RpcServer
from . import optional_parts
from .ejection_control import EjectionControl
from .reload import ConfigReloader
from .shutdown import GracefulShutdown

if TYPE_CHECKING:
    from ..discovery.registry.source import RegistrySource
    from ..gossip.exchange import GossipExchange
    from ..membership.runner import MembershipRunner
    from ..net.datagrams import DatagramSocket

COUNTERS_INTERVAL_SECONDS = 5.0  # between two lines of counters: a killed process prints none at its end
RESERVED_DESCRIPTORS = 32  # for the files, listeners, list and datagrams
CLIENT_MEMORY_SHARE = 0.125  # of the memory, for messages and answers of clients


@dataclass(frozen=True)
class DescriptorBudget:
    """How the file descriptors of the process are shared out."""

    clients: int  # half; one client may hold a third of them
    admin: int  # connections of operators
    engines: int  # what is left beside the reserve

    @classmethod
    def of(cls, config: Config) -> DescriptorBudget:
        """Return the shares for a configuration."""
        clients = config.sockets // 2
        admin = 0 if config.control is None else min(config.sockets // 8, MAX_CONCURRENT_REQUESTS)
        engines = max(1, config.sockets - clients - RESERVED_DESCRIPTORS - admin)
        return cls(clients, admin, engines)


class Application:
    """The parts of one workload manager, and what happens between them.

    It is also the target of the operators' calls (`admin.routes.AdminTarget`).
    """

    def __init__(self, config: Config, listen_address: Address):
        """Build all parts; `listen_address` is the real one, where the configuration leaves the port open."""
        self.config = config
        self.counters = Counters()
        self.shutdown_requested = asyncio.Event()
        self.descriptors = DescriptorBudget.of(config)
        self.pool = EnginePool(
            config.links,
            config.settings.report_columns,
            self.descriptors.engines,
            self.counters,
            local_address=config.local,
        )
        router = optional_parts.create_router(config, self.counters)
        controller = AdmissionController(config.settings, config.seed, router)
        self.driver = EventLoopDriver(controller, self.pool, self.counters)
        self.handler = RequestHandler(self.driver, self.pool, config.settings, self.counters)
        self.metrics = self._create_metrics()
        self.server = self._create_server()
        self.endpoints = GatedEndpoints()
        self.ejection_control = EjectionControl(
            listen_address, self.endpoints, self.pool, self.driver, self.counters
        )
        self.connect_pacer = optional_parts.create_connect_pacer(
            config, self.pool, self.driver, self.endpoints, self.update_readiness
        )
        self.datagrams: DatagramSocket | None = None
        self.gossip = self._create_gossip(controller)
        self.membership = self._create_membership()
        self.registry = self._create_registry_source()
        first_change = config.known[0].number - 1 if config.known else 0
        self.control_feed = ControlFeed(
            first_change, config.names, self.counters, self.apply_update, config.feed
        )
        self.source: EndpointSource = self.registry or self.control_feed
        self.reloader = ConfigReloader(config, self.source, self.control_feed, self.metrics, self.counters)
        self.shutdown = GracefulShutdown(self.server, self.handler, self.driver, config.settings)

    def _create_server(self) -> RpcServer:
        memory = int(self.config.memory * CLIENT_MEMORY_SHARE)
        return RpcServer(
            self.handler,
            self.driver,
            self.config.settings,
            self.descriptors.clients,
            memory,
            self.counters,
            self.metrics,
        )

    def _create_metrics(self) -> Metrics:
        pool = self.pool
        gauges = Gauges(
            open_requests=lambda: self.server.open_requests,
            engines=lambda: len(pool.engines) - len(pool.departed),
            disabled_engines=self._count_disabled_engines,
        )
        metrics = Metrics(tuple(spec.name for spec in self.config.settings.classes), gauges)
        pool.on_attempt_written = metrics.record_dispatch
        return metrics

    def _count_disabled_engines(self) -> int:
        """Count listed engines that are ejected, by hand or by the decision module."""
        pool = self.pool
        ejected = self.ejection_control.ejections.ejected | self.driver.outlier_engines()
        return sum(engine in pool.engines and engine not in pool.departed for engine in ejected)

    def _create_gossip(self, controller: AdmissionController) -> GossipExchange | None:
        if not optional_parts.needs_gossip(self.config, controller):
            return None
        datagrams = self._open_datagrams()
        return optional_parts.create_gossip(self.config, datagrams, self.pool, self.driver, self.counters)

    def _create_membership(self) -> MembershipRunner | None:
        if self.config.membership is None:
            return None
        datagrams = self._open_datagrams()
        return optional_parts.create_membership(self.config, datagrams, self.counters, self.on_fleet_resize)

    def _open_datagrams(self) -> DatagramSocket:
        if self.datagrams is None:
            self.datagrams = optional_parts.create_datagrams(self.config, self.counters)
        return self.datagrams

    def _create_registry_source(self) -> RegistrySource | None:
        source = optional_parts.create_registry_source(
            self.config, self.counters, self.apply_update, self.on_staleness_change
        )
        if source is not None:
            self.pool.is_list_confirmed = source.may_start_work
            self.on_staleness_change(False)
        return source

    # The target of the operators' calls.

    def is_ready(self) -> bool:
        """Return whether new clients are accepted."""
        return self.server.is_ready

    def metrics_snapshot(self) -> dict:
        """Return the metrics as one snapshot."""
        return self.metrics.snapshot()

    def disable_engine(self, host: str) -> bool:
        """Eject an engine; return False for an id that was never listed."""
        return self.ejection_control.set_ejected(host, True)

    def enable_engine(self, host: str) -> bool:
        """Let an engine back in; return False for an id that was never listed."""
        return self.ejection_control.set_ejected(host, False)

    def drain(self) -> None:
        """Begin a drain."""
        self.server.drain()
        self.update_readiness()

    def undrain(self) -> None:
        """End a drain."""
        self.server.undrain()
        self.update_readiness()

    # Changes that one part hands on to others.

    def is_serving(self) -> bool:
        """Return whether new clients should be accepted."""
        has_engines = self.config.registry is None or self.endpoints.has_usable_engine()
        is_leaving = self.shutdown_requested.is_set()
        return has_engines and not (is_leaving or self.endpoints.is_stale or self.server.is_draining)

    def update_readiness(self) -> None:
        """Report readiness to probes, operators and programs that follow the events, as it changes."""
        ready = self.is_serving()
        if ready != self.server.is_ready:
            emit_event("ready", ready=ready)
        self.server.is_ready = ready

    def apply_update(self, update: EndpointUpdate) -> None:
        """Hand a change of the list to all that know engines; the decision module hears of it last."""
        self.ejection_control.ejections.add_endpoints(update.endpoints)
        self.pool.update(update)
        if self.gossip is not None:
            self.gossip.reports.set_engines(self.pool.engines)
        if self.connect_pacer is not None:
            self.connect_pacer.on_list_change()
        self.driver.submit(self.endpoints.apply_update(update))
        self.update_readiness()

    def on_staleness_change(self, confirmed: bool) -> None:
        """React to the registry's list being confirmed from now on, or no longer."""
        if self.config.registry.on_stale == "serve":
            return
        self.driver.submit(self.endpoints.set_confirmed(confirmed))
        if not confirmed:
            for engine in self.pool.engines:
                self.pool.withdraw_unsent(engine)
        self.handler.reject_after(None if confirmed else self.config.registry.hold)
        self.update_readiness()

    def on_fleet_resize(self, size: int) -> None:
        """Share the fleet's budgets by `size` instances from now on."""
        self.counters["share_of"] = size
        self.driver.submit(api.FleetSize(size))
        if self.connect_pacer is not None:
            self.connect_pacer.schedule.instance_count = size

    def dump_counters(self) -> None:
        """Log all counters."""
        if self.registry is not None:
            self.registry.update_list_counters()
        if self.membership is not None:
            self.membership.dump_state()
        self.counters.dump()

    def dump_counters_regularly(self) -> None:
        """Log all counters now and every few seconds."""
        self.dump_counters()
        asyncio.get_running_loop().call_later(COUNTERS_INTERVAL_SECONDS, self.dump_counters_regularly)

    def start(self) -> None:
        """Follow the list of engines and the other instances."""
        self.reloader.apply_known_endpoints(self.config.known)
        self.source.start()
        self.driver.start()
        if self.datagrams is not None:
            self.datagrams.start()
        if self.membership is not None:
            self.membership.start()

    def leave(self) -> None:
        """Refuse new clients, and tell the other instances."""
        self.update_readiness()
        if self.membership is not None:
            self.membership.leave()

    async def stop(self) -> None:
        """Stop all parts; nothing is owed to a client any more."""
        self.driver.stop()
        for part in (self.gossip, self.membership, self.datagrams):
            if part is not None:
                part.stop()
        await self.source.stop()
        self.counters.dump()
