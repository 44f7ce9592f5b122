"""Creates the components of one workload manager and propagates changes between them."""

from __future__ import annotations

import asyncio
import resource
from math import inf
from typing import TYPE_CHECKING

from .. import api
from ..admin.metrics import Gauges, Metrics
from ..config.model import Config
from ..discovery.control_feed import MAX_FEED_DELAY_SECONDS, ControlFeed, FeedConfig
from ..discovery.endpoints import EndpointSource, EndpointUpdate
from ..discovery.gated_endpoints import GatedEndpoints
from ..dispatch.clock import UnixClock
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.pool import EnginePool
from ..net.addresses import Address
from ..observability.counters import MS_PER_SECOND, Counters
from ..observability.events import emit_event
from ..policy import AdmissionController
from ..requests.context import ignore_attempt
from ..requests.handler import RequestHandler
from ..server.limits import ServerLimits
from ..server.listener import RpcServer
from . import optional_components
from .admin_target import InstanceAdminTarget
from .descriptor_budget import DescriptorBudget
from .ejection_control import EjectionControl
from .engine_activity_observer import EngineActivityObserver
from .reload import ConfigReloader
from .shutdown import GracefulShutdown

if TYPE_CHECKING:
    from ..gossip.exchange import LoadReportSender
    from ..membership.runner import MembershipRunner
    from ..net.datagrams import DatagramSocket

# Counters are logged at this interval, because a process that is killed cannot log them at its exit.
COUNTERS_LOG_INTERVAL_SECONDS = 5.0
KB_PER_MB = 1024
FEED_HOLD_SECONDS = 2.0  # how long requests wait for a stale list to be confirmed before they are rejected
CLIENT_BUFFER_MEMORY_SHARE = 0.125  # share of the memory for buffered messages and responses of clients


class Application:
    """The components of one workload manager, and the changes that pass between them.

    Each component is created after those it depends on. To affect a component that is created later, a
    component calls a method of this class.
    """

    def __init__(self, config: Config, listen_address: Address):
        """Create all components.

        Args:
            config: The configuration.
            listen_address: The bound address; its port may have been chosen by the system.
        """
        self.config = config
        self.counters = Counters()
        self.clock = UnixClock()
        self.shutdown_requested = asyncio.Event()
        self.descriptor_budget = DescriptorBudget.from_config(config)
        self.endpoints = GatedEndpoints()
        router = optional_components.create_router(config, self.counters)
        controller = AdmissionController(config.settings, config.seed, router)
        self.metrics = self._create_metrics()
        self.datagrams: DatagramSocket | None = None
        self.load_report_sender = self._create_load_report_sender(controller)
        self.connect_pacer = optional_components.create_connect_pacer(
            config, self.endpoints, self.submit_engine_list, self.update_readiness
        )
        self.registry_source = optional_components.create_registry_source(
            config, self.counters, self.apply_update, self.on_freshness_change
        )
        self.control_feed = self._create_control_feed()
        self.endpoint_source: EndpointSource = self.registry_source or self.control_feed
        self.pool = self._create_pool()
        self.driver = EventLoopDriver(controller, self.pool, self.counters, self.clock)
        if self.load_report_sender is not None:
            optional_components.create_load_report_receiver(
                self.load_report_sender, self.driver, self.counters
            )
        self.handler = self._create_handler()
        self.server = self._create_server()
        self.ejection_control = EjectionControl(
            listen_address, self.endpoints, self.pool, self.driver, self.counters
        )
        self.admin_target = self._create_admin_target()
        self.membership = self._create_membership()
        self.reloader = ConfigReloader(
            config, self.endpoint_source, self.control_feed, metrics=self.metrics, counters=self.counters
        )
        self.shutdown = GracefulShutdown(self.server, self.handler, self.driver, config.settings)
        if self.registry_source is not None:
            self.on_freshness_change(False)

    def _create_metrics(self) -> Metrics:
        gauges = Gauges(
            open_requests=lambda: self.server.open_requests,
            engines=lambda: len(self.pool.listed_engines()),
            disabled_engines=self._count_disabled_engines,
        )
        return Metrics(tuple(spec.name for spec in self.config.settings.classes), gauges)

    def _count_disabled_engines(self) -> int:
        """Return the number of listed engines that are ejected, manually or as outliers."""
        ejected_engines = self.ejection_control.ejections.ejected | self.driver.outlier_engines()
        return len(ejected_engines & self.pool.listed_engines())

    def _create_load_report_sender(self, controller: AdmissionController) -> LoadReportSender | None:
        if not optional_components.needs_gossip(self.config, controller):
            return None
        datagrams = self._open_datagrams()
        return optional_components.create_load_report_sender(
            self.config, datagrams, self.clock, self.counters
        )

    def _create_pool(self) -> EnginePool:
        return EnginePool(
            self.config.connection_limits,
            self.config.settings.report_columns,
            self.descriptor_budget.engines,
            self.counters,
            local_address=self.config.local_address,
            connect_policy=self.connect_pacer,
            observer=EngineActivityObserver(self.metrics, self.load_report_sender),
            is_list_confirmed=self.endpoint_source.may_send_requests,
        )

    def _create_handler(self) -> RequestHandler:
        sender = self.load_report_sender
        on_attempt_sent = ignore_attempt if sender is None else sender.on_attempt_sent
        return RequestHandler(self.driver, self.pool, self.config.settings, self.counters, on_attempt_sent)

    def _create_server(self) -> RpcServer:
        buffer_memory = int(self.config.memory_bytes * CLIENT_BUFFER_MEMORY_SHARE)
        return RpcServer(
            self.handler,
            self.driver,
            self.config.settings,
            ServerLimits(self.descriptor_budget.clients, buffer_memory),
            self.counters,
            metrics=self.metrics,
        )

    def _create_admin_target(self) -> InstanceAdminTarget:
        return InstanceAdminTarget(self.server, self.metrics, self.ejection_control, self.update_readiness)

    def _create_membership(self) -> MembershipRunner | None:
        if self.config.membership_probe_interval is None:
            return None
        datagrams = self._open_datagrams()
        return optional_components.create_membership(
            self.config, datagrams, self.counters, self.on_fleet_resize
        )

    def _create_control_feed(self) -> ControlFeed:
        config = self.config
        last_update_number = config.known_updates[0].number - 1 if config.known_updates else 0
        # A command that is being written when the list turns stale may take half of the grace period.
        max_age = MAX_FEED_DELAY_SECONDS + config.connection_limits.drain_grace / 2
        feed_config = FeedConfig(config.attribute_names, last_update_number, config.feed_address, max_age)
        return ControlFeed(feed_config, self.counters, self.apply_update, self.on_freshness_change)

    def _open_datagrams(self) -> DatagramSocket:
        if self.datagrams is None:
            self.datagrams = optional_components.create_datagrams(self.config, self.counters)
        return self.datagrams

    def is_ready_for_clients(self) -> bool:
        """Return whether the instance should report itself ready for new clients."""
        return not (self.shutdown_requested.is_set() or self.server.is_draining or self._waits_for_registry())

    def _waits_for_registry(self) -> bool:
        """Return whether the registry's list cannot be used.

        The control feed is one for all instances, so in its outage none of them is worse than the others.
        """
        if self.config.registry is None:
            return False
        return self.endpoints.is_stale or not self.endpoints.has_usable_engine()

    def update_readiness(self) -> None:
        """Update the readiness that probes and operators see, and emit an event if it has changed."""
        ready = self.is_ready_for_clients()
        if ready != self.server.is_ready:
            emit_event("ready", ready=ready)
        self.server.is_ready = ready

    def apply_update(self, update: EndpointUpdate) -> None:
        """Pass an update of the engine list to every component concerned, the decision module last."""
        self.ejection_control.ejections.add_endpoints(update.endpoints)
        self.pool.update(update)
        if self.load_report_sender is not None:
            self.load_report_sender.reports.set_engines(self.pool.engines)
        if self.connect_pacer is not None:
            self.connect_pacer.on_list_change(self.pool.listed_engines(), self.pool.connected_engines())
        self.driver.submit(self.endpoints.apply_update(update))
        self.update_readiness()

    def submit_engine_list(self, update: api.EngineList) -> None:
        """Pass engines whose state has changed to the decision module."""
        self.driver.submit(update)

    def on_freshness_change(self, is_fresh: bool) -> None:
        """Start or stop sending requests to engines as the engine list becomes fresh or stale.

        Does nothing if the configuration says to serve with a stale list.
        """
        registry = self.config.registry
        if registry is not None and registry.on_stale == "serve":
            return
        hold = FEED_HOLD_SECONDS if registry is None else registry.hold
        self.driver.submit(self.endpoints.set_confirmed(is_fresh))
        if not is_fresh:
            for engine in self.pool.engines:
                self.pool.withdraw_unsent(engine)
        self.handler.reject_after(None if is_fresh else hold)
        self.update_readiness()

    def on_fleet_resize(self, size: int) -> None:
        """Divide the fleet's budgets among `size` instances from now on."""
        self.counters["share_of"] = size
        self.driver.submit(api.FleetSize(size))
        if self.connect_pacer is not None:
            self.connect_pacer.set_instance_count(size)

    def log_counters(self) -> None:
        """Log all counters, and with them the age of the engine list, clients' buffers and memory."""
        self.counters["client_buffer_bytes"] = self.server.connections.buffered_bytes
        list_age = self.endpoint_source.list_age()
        if list_age < inf:
            self.counters["list_age_ms"] = int(list_age * MS_PER_SECOND)
        self.counters["peak_memory_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KB_PER_MB
        if self.registry_source is not None:
            self.registry_source.update_list_counters()
        if self.membership is not None:
            self.membership.dump_state()
        self.counters.log()

    def log_counters_periodically(self) -> None:
        """Log all counters now and at regular intervals from now on."""
        self.log_counters()
        asyncio.get_running_loop().call_later(COUNTERS_LOG_INTERVAL_SECONDS, self.log_counters_periodically)

    def start(self) -> None:
        """Start following the engine list and exchanging datagrams with the other instances."""
        self.reloader.apply_known_endpoints(self.config.known_updates)
        self.endpoint_source.start()
        self.driver.start()
        if self.datagrams is not None:
            self.datagrams.start()
        if self.membership is not None:
            self.membership.start()

    def leave(self) -> None:
        """Report the instance as not ready, and announce to the other members that it leaves."""
        self.update_readiness()
        if self.membership is not None:
            self.membership.leave()

    async def stop(self) -> None:
        """Stop all components; every request must have been answered before."""
        self.driver.stop()
        for component in (self.load_report_sender, self.membership, self.datagrams):
            if component is not None:
                component.stop()
        await self.endpoint_source.stop()
        self.counters.log()
