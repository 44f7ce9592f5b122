"""Factories of components that only some configurations have.

Each function imports the modules and libraries it needs, because every import costs memory and startup time.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from .. import api
from ..config.model import Config
from ..discovery.endpoints import EndpointUpdate
from ..discovery.gated_endpoints import GatedEndpoints
from ..dispatch.clock import UnixClock
from ..dispatch.event_loop_driver import EventLoopDriver
from ..observability.counters import Counters
from ..policy import AdmissionController

if TYPE_CHECKING:
    from ..discovery.registry.source import RegistrySource
    from ..engines.connect_pacer import ConnectPacer
    from ..gossip.exchange import LoadReportReceiver, LoadReportSender
    from ..membership.runner import MembershipRunner
    from ..net.datagrams import DatagramSocket


def create_router(config: Config, counters: Counters) -> api.Router | None:
    """Return the router that distributes requests over zones, or None without a zones file."""
    if config.zones is None:
        return None
    from ..zones.zone_router import ZoneRouter

    classes = tuple(spec.name for spec in config.settings.classes)
    return ZoneRouter(config.zones, config.attribute_names.zones, classes, config.settings.zone, counters)


def create_connect_pacer(
    config: Config,
    endpoints: GatedEndpoints,
    submit: Callable[[api.EngineList], None],
    on_readiness_change: Callable[[], None],
) -> ConnectPacer | None:
    """Return the pacer of new connections to engines, or None if no connection rate is configured."""
    if config.engine_connects_per_second is None:
        return None
    from ..engines.connect_pacer import ConnectPacer
    from ..startup.connect_schedule import ConnectSchedule

    schedule = ConnectSchedule(
        config.engine_connects_per_second, config.settings.gateways, config.settings.me
    )
    return ConnectPacer(schedule, endpoints, submit, on_readiness_change)


def needs_gossip(config: Config, controller: AdmissionController) -> bool:
    """Return whether instances exchange load reports.

    They do if it is too expensive to probe engines before each send.
    """
    settings = config.settings
    if config.peers is None or config.peers.broadcast is None:
        return False
    return not controller.outliers.probes_before_send and settings.may_message_peers and settings.gateways > 1


def create_datagrams(config: Config, counters: Counters) -> DatagramSocket:
    """Return the socket that all components share to exchange datagrams with other instances."""
    from ..net.datagrams import DatagramSocket

    return DatagramSocket(config.peers, config.settings.me, counters)


def create_load_report_sender(
    config: Config, datagrams: DatagramSocket, clock: UnixClock, counters: Counters
) -> LoadReportSender:
    """Return the sender of load reports to the other instances."""
    from ..gossip.exchange import LoadReportSender
    from ..gossip.load_reports import LoadReports

    settings = config.settings
    reports = LoadReports(settings.report_columns, settings.gateways - 1, settings.peer_price, config.seed)
    return LoadReportSender(datagrams, reports, clock, counters)


def create_load_report_receiver(
    sender: LoadReportSender, driver: EventLoopDriver, counters: Counters
) -> LoadReportReceiver:
    """Return the receiver of load reports from the other instances, on the socket of the sender."""
    from ..gossip.exchange import LoadReportReceiver

    return LoadReportReceiver(sender.datagrams, sender.reports, driver, counters)


def create_membership(
    config: Config, datagrams: DatagramSocket, counters: Counters, on_resize: Callable[[int], None]
) -> MembershipRunner:
    """Return the runner of the membership protocol."""
    from ..membership.config import ProtocolConfig
    from ..membership.fleet_size import EffectiveFleetSize
    from ..membership.protocol import MembershipProtocol
    from ..membership.runner import MembershipRunner, new_process_id

    count = len(config.peers.instances)
    timing = ProtocolConfig(probe_interval=config.membership_probe_interval)
    protocol = MembershipProtocol(config.settings.me, count, new_process_id(), Random(config.seed), timing)
    return MembershipRunner(protocol, EffectiveFleetSize(count), datagrams, counters, on_resize)


def create_registry_source(
    config: Config,
    counters: Counters,
    on_update: Callable[[EndpointUpdate], None],
    on_freshness_change: Callable[[bool], None],
) -> RegistrySource | None:
    """Return the source of the engine list in a registry, or None if the control feed is the source."""
    if config.registry is None:
        return None
    from ..discovery.registry.source import RegistrySource

    return RegistrySource(
        config.registry,
        config.attribute_names,
        counters,
        on_update,
        on_freshness_change,
        config.seed,
        local_address=config.local_address,
    )
