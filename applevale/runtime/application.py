"""Puts the parts together, and sees the program through its start and its end."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import tempfile
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from .. import api
from ..admin.ejection_store import SharedBans
from ..admin.ejections import Bans
from ..admin.metrics import Figures
from ..admin.routes import MOST_CALLS
from ..config.loader import Config, ConfigError, load
from ..discovery.control_feed import Feed, FeedError
from ..discovery.endpoints import Change, Source
from ..discovery.gated_endpoints import HeldList
from ..dispatch.event_loop_driver import Driver
from ..engines.connection import Fleet
from ..observability.counters import Counters
from ..observability.events import emit_event, log_event, log_unlimited
from ..policy import AdmissionController
from ..requests.handler import Broker
from ..server.connection import Front

if TYPE_CHECKING:
    from ..discovery.registry.source import RegistrySource
    from ..engines.connect_pacer import Openings
    from ..gossip.exchange import Peers
    from ..membership.runner import Members
    from ..net.datagrams import Datagrams

BACKLOG = 512
PAUSE = 0.01  # s of garbage collection from which it is logged
LINGER = 0.75  # s after SIGTERM for which clients may still come
STAY = 3.0  # s, or the longest deadline if that is less: this and 0.7 s after SIGTERM it may be killed
LAST_WORD = 0.3  # s before that at which all that is open gets its answer
LAST_CALLS = 0.4  # s before that from which new requests are turned away
SHOWN = 5.0  # s between two lines of counters: one that is killed outright prints none at its end
BANS_SEEN = 0.1  # s between two looks at what another process wrote of bans
RESERVE = 32  # descriptors for the files, listeners, list and datagrams
HELD = 0.125  # share of the memory that messages and answers of clients may take


class Pauses:
    """Tells of collections that held the loop up."""

    def __init__(self) -> None:
        self.start = 0.0

    def __call__(self, phase: str, info: dict) -> None:
        now = time.perf_counter()
        if phase == "start":
            self.start = now
        elif now - self.start > PAUSE:
            log_event(
                "loop", f"collecting generation {info['generation']} took {(now - self.start) * 1000:.0f} ms"
            )


def ban_path(at: tuple[str, int]) -> str:
    """Where bans by hand wait for the next process: an upgrade starts it with the same $TMPDIR and address.
    Guards against another's bans where several workload managers share a folder."""
    return os.path.join(tempfile.gettempdir(), f"applevale-bans-{at[0]}-{at[1]}.json")


def listen(at: tuple[str, int], shared: bool) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:  # an upgrade starts a second process on the same address; the kernel shares new connections
        # out between the two until the old one closes its listener
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(at)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


@dataclass(frozen=True)
class Begun:
    """What came before the loop: the signals, and the CPU seconds used up to two moments."""

    signals: set[int]
    imported: float
    configured: float


class Node:
    """The parts of one workload manager, and what the system's signals do to them."""

    def __init__(self, config: Config, at: tuple[str, int]):
        """`at`: where it listens; the configuration may leave the port to the system."""
        self.config, self.counters, self.leaving = config, Counters(), asyncio.Event()
        # Half of the descriptors for clients, who hold at most a third; then what no one may take from the
        # files, listeners, list and datagrams, nor from the operators; the rest for engines.
        half = config.sockets // 2
        self.door_calls = 0 if config.control is None else min(config.sockets // 8, MOST_CALLS)
        links = max(1, config.sockets - half - RESERVE - self.door_calls)
        self.fleet = Fleet(config.links, config.settings.report_columns, links, self.counters)
        self.fleet.local = config.local
        controller = AdmissionController(config.settings, config.seed, self._router())
        self.driver = Driver(controller, self.fleet, self.counters)
        self.broker = Broker(self.driver, self.fleet, config.settings, self.counters)
        self.front = Front(
            self.broker, self.driver, config.settings, half, int(config.memory * HELD), self.counters
        )
        self.list = HeldList()
        self.bans = Bans()
        self.shared = SharedBans(ban_path(at), self.bans)
        self.shared.look()  # what a former process left
        self.list.banned = self.bans.banned  # one set: what the module is told follows every ban at once
        self.stats = self._figures()
        self.openings = self._openings()
        self.datagrams: Datagrams | None = None
        self.peers = self._peers(controller)
        self.members = self._members(controller)
        self.registry = self._follow_registry()
        first = config.known[0].number - 1 if config.known else 0
        self.feed = Feed(first, config.names, self.counters, self.tell, config.feed)
        self.source: Source = self.registry or self.feed

    def _figures(self) -> Figures:
        fleet = self.fleet
        figures = Figures(tuple(spec.name for spec in self.config.settings.classes))
        self.front.figures, fleet.dispatched = figures, figures.dispatched
        figures.concurrent = lambda: self.front.open
        figures.targets = lambda: len(fleet.engines) - len(fleet.gone)
        figures.disabled = lambda: sum(
            one in fleet.engines and one not in fleet.gone for one in self.bans.banned | self.driver.resting()
        )
        return figures

    def serving(self) -> bool:
        """Whether new clients are welcome: what probes and /ready say."""
        engines = self.config.registry is None or self.list.usable()  # a list of none serves no one
        return engines and not (self.leaving.is_set() or self.list.held or self.front.draining.on)

    def welcome(self) -> None:
        """Probes, /ready and who reads along are told the same, as it turns."""
        ready = self.serving()
        if ready != self.front.ready:
            emit_event("ready", ready=ready)
        self.front.ready = ready

    # What the operators' door works on (control.calls.Operated).
    def ready(self) -> bool:
        return self.front.ready

    def figures(self) -> dict:
        return self.stats.snapshot()

    def disable(self, host: str) -> bool:
        return self._ban(host, True)

    def enable(self, host: str) -> bool:
        return self._ban(host, False)

    def _ban(self, host: str, banned: bool) -> bool:
        engine = self.bans.find(host)
        if engine is not None:
            self._banned(self.shared.say(engine, banned, self.driver.now()))
        return engine is not None

    def _banned(self, news: list[int]) -> None:
        for engine in news:
            self.counters["bans_changed"] += 1
            if engine in self.bans.banned:
                self.fleet.withdraw(engine)
            self.driver.post(self.list.told_again(engine))

    def watch_bans(self) -> None:
        """Guards a ban told to the other of two processes in an upgrade."""
        self._banned(self.shared.look())
        asyncio.get_running_loop().call_later(BANS_SEEN, self.watch_bans)

    def drain(self) -> None:
        self.front.drain()
        self.welcome()

    def undrain(self) -> None:
        self.front.undrain()
        self.welcome()

    def _openings(self) -> Openings | None:
        """Engines one by one, where the settings name a rate of connections."""
        config = self.config
        if config.engine_connects is None:
            return None
        from ..engines.connect_pacer import Openings, Ramp  # not loaded where it is not used

        ramp = Ramp(config.engine_connects, config.settings.gateways, config.settings.me)
        return Openings(ramp, self.fleet, self.driver.post, self.list, self.welcome)

    def _router(self) -> api.Router | None:
        """Preference among zones, where a zones file is named."""
        config = self.config
        if config.zones is None:
            return None
        from ..zones.zone_router import ZoneRouter  # not loaded where it is not used

        classes = tuple(spec.name for spec in config.settings.classes)
        return ZoneRouter(config.zones, config.names.zones, classes, config.settings.zone, self.counters)

    def _peers(self, controller: AdmissionController) -> Peers | None:
        """News of load from peers, where looking at engines before each send is too dear."""
        addresses, settings = self.config.peers, self.config.settings
        if (
            addresses is None
            or addresses.everyone is None
            or controller.looks
            or not (settings.may_tell_peers and settings.gateways > 1)
        ):
            return None
        from ..gossip.exchange import Peers
        from ..gossip.load_reports import News  # neither is loaded where it is not used

        news = News(settings.report_columns, settings.gateways - 1, settings.peer_price, self.config.seed)
        peers = Peers(self._datagram_socket(), news, self.driver, self.counters)
        self.fleet.reported, self.fleet.sent = peers.reported, peers.sent
        return peers

    def _datagram_socket(self) -> Datagrams:
        """One for all parts that speak with other workload managers."""
        from ..net.datagrams import Datagrams

        config = self.config
        if self.datagrams is None:
            self.datagrams = Datagrams(
                config.peers, config.settings.me, self.counters, shared=config.membership is not None
            )
        return self.datagrams

    def _members(self, controller: AdmissionController) -> Members | None:
        """Who of the others lives, where the configuration asks for it."""
        config = self.config
        if config.membership is None:
            return None
        from ..membership.protocol import Membership, Pace  # not loaded where it is not used
        from ..membership.runner import Members, new_life
        from ..membership.shares import Shares

        count = len(config.peers.each)
        machine = Membership(
            config.settings.me, count, new_life(), Random(config.seed), Pace(probe=config.membership)
        )
        return Members(machine, Shares(count), self._datagram_socket(), self.counters, self.resized)

    def resized(self, size: int) -> None:
        """What all instances may use together is shared by so many from now on."""
        self.counters["share_of"] = size
        self.driver.post(api.FleetSize(size))
        if self.openings is not None:
            self.openings.ramp.instances = size

    def _follow_registry(self) -> RegistrySource | None:
        config = self.config
        if config.registry is None:
            return None
        from ..discovery.registry.source import (
            RegistrySource,  # its libraries cost memory where it is not used
        )

        source = RegistrySource(
            config.registry,
            config.names,
            self.counters,
            self.tell,
            self.turned,
            config.seed,
            local=config.local,
        )
        self.fleet.allowed = source.allowed
        self.turned(False)
        return source

    def started(self, begun: Begun) -> None:
        """Where the start spent its time: CPU, since a share of a core makes any time of it."""
        self.counters["start_imports_ms"] = round(begun.imported * 1000)
        self.counters["start_configuration_ms"] = round((begun.configured - begun.imported) * 1000)
        self.counters["start_list_ms"] = round((time.process_time() - begun.configured) * 1000)
        if signal.SIGHUP in begun.signals:
            self.reload()

    def show(self) -> None:
        if self.registry is not None:
            self.registry.note()
        if self.members is not None:
            self.members.show()
        self.counters.dump()

    def show_often(self) -> None:
        self.show()
        asyncio.get_running_loop().call_later(SHOWN, self.show_often)

    def tell(self, change: Change) -> None:
        self.bans.listed(change.members)
        self.fleet.update(change)
        if self.peers is not None:
            self.peers.news.listed(self.fleet.engines)
        if self.openings is not None:
            self.openings.listed()
        self.driver.post(self.list.changed(change))
        self.welcome()

    def turned(self, confirmed: bool) -> None:
        """The registry's list is held to be true from now on, or no longer."""
        if self.config.registry.on_stale == "serve":
            return
        self.driver.post(self.list.turned(confirmed))
        for engine in () if confirmed else self.fleet.engines:
            self.fleet.withdraw(engine)
        self.broker.hold(None if confirmed else self.config.registry.hold)
        self.welcome()

    def learn(self, known: tuple[Change, ...]) -> None:
        """What a configuration knows of the list, beyond what was told already."""
        try:
            for change in known:
                self.feed.take(change)
        except FeedError as error:  # a gap: the feed tells what lies in it
            log_event("reload", f"known: {error}")

    def reload(self) -> None:
        """Takes the new configuration, or keeps the old one as it is."""
        try:
            config = load()
            # Guards the list: known engines and the new source speak of zones and kinds by their places.
            others = [key for key in ("name", "names") if getattr(config, key) != getattr(self.config, key)]
            if others:
                raise ConfigError(f"another one's {', '.join(others)}")
        except ConfigError as error:
            log_event("reload", f"the old configuration stays: {error}")
            self.stats.reloaded(False)
            return
        self.counters["reloads"] += 1
        self.stats.reloaded(True)
        self.learn(config.known)
        self._move(config)
        fixed = [
            key
            for key in ("listen", "sockets", "memory", "settings", "links", "zones")
            if getattr(config, key) != getattr(self.config, key)
        ]
        if fixed:
            log_event("reload", f"takes effect at the next start only: {', '.join(fixed)}")

    def _move(self, config: Config) -> None:
        if (config.registry is None) != (self.registry is None):
            log_event("reload", "takes effect at the next start only: registry")
            return
        try:
            self.source.move(config.feed if self.registry is None else config.registry)
        except ValueError as error:
            log_event("reload", f"the list is followed as before: {error}")

    async def close(self, since: float) -> None:
        """Answers what came until a moment after SIGTERM, and does not stay until it is killed."""
        loop = asyncio.get_running_loop()
        last = min(STAY, max(spec.deadline for spec in self.config.settings.classes)) + 0.7 - LAST_WORD
        self.broker.until = self.driver.now() + last  # what comes now is decided on with the time there is
        await asyncio.sleep(since + LINGER - loop.time())
        self.front.shut()
        # Guards a request on a kept connection read just before the exit: none comes. Until shortly before,
        # what comes is decided on with the time there is: short work still has its answer.
        self.front.drain(since + last - LAST_CALLS - loop.time())
        while self.busy() and loop.time() < since + last:
            await asyncio.sleep(0.02)
        self.broker.expire()
        while self.busy() and loop.time() < since + last + LAST_WORD / 2:
            await asyncio.sleep(0.01)

    def busy(self) -> bool:
        """Whether something is owed still, or a client has yet to end what it began to say."""
        return bool(self.front.open or self.front.connections)


async def run(config: Config, begun: Begun) -> None:
    began = time.time()
    listener = listen(config.listen, shared=True)
    door_listener = None if config.control is None else listen(config.control, shared=False)
    host, port = listener.getsockname()
    node = Node(config, (host, port))
    node.front.source.clear = began  # no one can have come before
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, node.show)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.leaving.set)
    node.learn(config.known)
    node.source.start()
    node.driver.tick()
    if node.datagrams is not None:
        node.datagrams.start()
    if node.members is not None:
        node.members.start()
    loop.call_later(SHOWN, node.show_often)
    node.front.accepting = asyncio.create_task(node.front.accept(listener))
    door = None
    if door_listener is not None:
        from ..admin.server import Door  # its library costs memory and time at the start where it is not used

        door = asyncio.create_task(Door(node, node.counters, node.door_calls).serve(door_listener))
        node.watch_bans()
    # A full collection stops the loop, and a stopped loop looks like silent engines: what is here stays.
    gc.collect()
    gc.freeze()
    gc.collect()  # of what is left, almost nothing: else the old ones wait until a quarter as many have come
    # Short and often: over 20,000 objects it took 40 to 60 ms. The old ones too: at one in 1,000 they were
    # never looked at, and a soak of 45 minutes ran out of memory.
    gc.set_threshold(1_000, 8, 10)
    gc.callbacks.append(Pauses())
    node.started(begun)
    log_unlimited(
        "listening", f"{config.name} listens on {host}:{port}", host=host, port=port, pid=os.getpid()
    )
    try:
        await node.leaving.wait()
        node.welcome()
        if node.members is not None:
            node.members.leave()
        await node.close(loop.time())
    finally:
        node.front.shut()
        if door is not None:
            door.cancel()
            door_listener.close()
        node.driver.stop()
        for part in (node.peers, node.members, node.datagrams):
            if part is not None:
                part.stop()
        await node.source.stop()
        node.counters.dump()
