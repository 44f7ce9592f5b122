"""The parts of a run of the registry harness: application, engines, clients and registry."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass
from random import Random

from ...discovery.registry.endpoint_table import EndpointTable, endpoints_digest
from ...discovery.registry.key_values import KeyValuePair
from ...discovery.registry.messages import range_end
from ...fakes import consul, etcd
from ...fakes.client_pool import ClientPool, ClientProfile
from ...fakes.engine import FakeEngine
from ...fakes.faulty_proxy import FaultyProxy, ProxyMode
from ...fakes.key_value_store import KeyValueStore
from ...net.addresses import format_address
from ..managed_process import ManagedProcess
from .delayed_calls import DelayedCalls
from .engine_list import ATTRIBUTE_NAMES, KEY_PREFIX, LISTED_ENGINE_COUNT, SPARE_ENGINE_COUNT, EngineList

MEMBER_TYPES = {"etcd": etcd.Member, "consul": consul.Member}
MEMBER_COUNT = 3
REQUESTS_PER_SECOND = 40.0
CONVERGENCE_TIMEOUT_SECONDS = 3.0  # for the list to match the registry after all faults have ended
CONVERGENCE_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class ScriptEvent:
    """An action or observation of the script, at a time by the registry's clock, in seconds."""

    at: float
    text: str


class ScenarioEnvironment:
    """The application with a registry of one kind, whose members it reaches through proxies.

    Attributes:
        kind: Kind of the registry, `etcd` or `consul`.
        members: The members of the registry; all serve the same store.
        proxies: The proxy of each member.
        program: The process of the application; None before `start`.
        clients: Its clients; None before `start`.
        backup: A copy of the store at the last quiet point; None before the first.
        figures: Counts of the script, by name.
        events: The actions and observations of the script.
    """

    def __init__(self, kind: str, random: Random, entry_point: tuple[str, ...] = ()):
        """Prepare all parts without starting them.

        Args:
            kind: Kind of the registry, `etcd` or `consul`.
            random: Source of all random draws.
            entry_point: Module to run in place of the application, and its arguments, for planted faults.
        """
        self.kind = kind
        self.random = random
        self.entry_point = entry_point
        self.store = KeyValueStore()
        self.members = [MEMBER_TYPES[kind](self.store) for _ in range(MEMBER_COUNT)]
        self.proxies: list[FaultyProxy] = []
        self.fake_engines = [
            FakeEngine(Random(random.random())) for _ in range(LISTED_ENGINE_COUNT + SPARE_ENGINE_COUNT)
        ]
        self.delayed_calls = DelayedCalls()
        self.engine_list = EngineList(self.store, self.fake_engines, random, self.delayed_calls)
        self.program: ManagedProcess | None = None
        self.clients: ClientPool | None = None
        self.backup: KeyValueStore | None = None
        self.figures: Counter = Counter()
        self.events: list[ScriptEvent] = []

    async def start(self) -> None:
        """Start registry, engines, application and clients, in this order."""
        for member in self.members:
            await member.start()
            proxy = FaultyProxy(member.address, Random(self.random.random()))
            await proxy.start()
            self.proxies.append(proxy)
        for engine in self.fake_engines:
            await engine.start()
        self.engine_list.write_all()
        self.program = ManagedProcess(self._config(self.proxies), f"rig-{self.kind}")
        await self.program.start(*self.entry_point)
        await self.reach_quiet_point()
        self.clients = ClientPool(
            self.program.address, Random(self.random.random()), ClientProfile(REQUESTS_PER_SECOND)
        )
        await self.clients.start()

    def _config(self, proxies: list[FaultyProxy]) -> dict:
        addresses = [format_address(proxy.address) for proxy in proxies]
        return {"registry": {"kind": self.kind, "addresses": addresses, "prefix": KEY_PREFIX}}

    async def stop(self) -> dict:
        """Stop everything that was started, also after a failure; return the application's last counters."""
        counters = {}
        try:
            if self.clients is not None:
                await self.clients.settle()
            counters = await self.program.stop()
        finally:
            if self.clients is not None:
                await self.clients.stop()
            for part in (*self.proxies, *self.members, *self.fake_engines):
                await part.stop()
        return counters

    def record_event(self, text: str) -> None:
        """Record an action or observation of the script at the present time."""
        self.events.append(ScriptEvent(self.store.clock(), text))

    def reload(self, proxies: list[FaultyProxy]) -> None:
        """Reload the application's configuration with these proxies as members of the registry."""
        self.program.write_config(self._config(proxies))
        self.program.process.send_signal(signal.SIGHUP)

    def abort_connections(self) -> None:
        """Abort the connections to all members of the registry."""
        for proxy in self.proxies:
            proxy.abort_connections()

    def end_faults(self) -> None:
        """End all faults, and cancel all calls that are scheduled for later."""
        self.delayed_calls.cancel_all()
        for proxy in self.proxies:
            proxy.set_mode(ProxyMode.PASS)
        for member in self.members:
            member.stale_store = None
            member.full_read_delay = 0.0
            member.rejects_credentials = False
            member.silences_watches = False
            member.duplicates_events = False
        self.store.notify()

    async def reach_quiet_point(self) -> None:
        """End all faults, wait until the application's list matches the registry, and take a backup.

        A list that does not match in time is counted in the figure `wrong_lists`.
        """
        self.end_faults()
        expected = self._expected_digest()
        loop = asyncio.get_running_loop()
        end = loop.time() + CONVERGENCE_TIMEOUT_SECONDS
        counters = await self.program.counters()
        while not self._is_current(counters, expected):
            if loop.time() > end:
                self.figures["wrong_lists"] += 1
                digest = counters.get("registry_digest")
                self.record_event(f"wrong list: digest {digest}, expected {expected}")
                break
            await asyncio.sleep(CONVERGENCE_POLL_SECONDS)
            counters = await self.program.counters()
        self.figures["quiet_points"] += 1
        known_revision = counters.get("registry_revision")
        self.record_event(f"quiet point: revision {self.store.revision}, application at {known_revision}")
        self.backup = self.store.copy()

    def _is_current(self, counters: dict, expected_digest: int) -> bool:
        has_list = counters.get("registry_digest") == expected_digest
        return has_list and counters["registry_revision"] == self.store.revision

    def _expected_digest(self) -> int:
        start = KEY_PREFIX.encode()
        table = EndpointTable(ATTRIBUTE_NAMES)
        table.replace(
            KeyValuePair(version.key.decode(), version.revision, version.value)
            for version in self.store.read_range(start, range_end(start))
        )
        return endpoints_digest(table.endpoints())
