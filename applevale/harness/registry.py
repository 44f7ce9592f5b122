"""The registry rig: program, engines, clients and both kinds of registry, with failures from a seed.

Promised, and checked in each run: no new work arrives at an engine later than 500 ms after the registry
recorded its drain or its deletion; the program's list is the registry's at each quiet point; no request is
lost, answered twice, run twice where that is not safe, or out of its key's order.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass
from random import Random

from ..api import State
from ..checkers.coldstart import REQUEST_RULES
from ..checkers.history import quantile
from ..discovery.endpoints import AttributeNames
from ..discovery.registry.endpoint_table import EndpointTable, endpoints_digest
from ..discovery.registry.key_values import KeyValuePair
from ..discovery.registry.messages import range_end
from ..discovery.registry.records import RecordError, read_record
from ..fakes import consul, etcd
from ..fakes.client_pool import ClientPool
from ..fakes.engine import FakeEngine
from ..fakes.faulty_proxy import FaultyProxy, ProxyMode
from ..fakes.key_value_store import KeyValueStore
from ..net.addresses import format_address
from .default_settings import MACHINE_KINDS, ZONES
from .managed_process import ManagedProcess
from .request_rules import count_violations

PREFIX = "applevale/engines/"
MEMBERS, ENGINES, SPARES = 3, 6, 3
RATE = 40.0  # requests a second
PROMISE = 0.5  # s
ROUND = 8.0  # s between two quiet points
QUIET = 3.0  # s within which the list is the registry's once all failures have ended
NAMES = AttributeNames(tuple(ZONES), tuple(MACHINE_KINDS))
MEMBER_FAULTS = {  # kind of failure -> attribute of the fake member that switches it on
    "mute": "silences_watches",
    "deny": "rejects_credentials",
    "twice": "duplicates_events",
}


@dataclass
class ListedEngine:
    """One engine as the script last wrote it."""

    number: int
    engine: FakeEngine
    state: str = "ready"

    @property
    def key(self) -> bytes:
        return f"{PREFIX}{self.number}".encode()

    def record(self) -> bytes:
        return json.dumps(
            {
                "id": f"s-{self.number:08x}",
                "address": format_address(self.engine.address),
                "state": self.state,
                "zone": ZONES[self.number % len(ZONES)],
                "kind": MACHINE_KINDS[0],
            }
        ).encode()


class RegistryScenario:
    """All that one program needs, and the script that it meets."""

    def __init__(self, kind: str, random: Random, entry: tuple[str, ...] = ()):
        self.kind, self.random, self.entry = kind, random, entry
        self.store = KeyValueStore()
        members = etcd if kind == "etcd" else consul
        self.members = [members.Member(self.store) for _ in range(MEMBERS)]
        self.gates: list[FaultyProxy] = []
        self.engines = [FakeEngine(Random(random.random())) for _ in range(ENGINES + SPARES)]
        self.listed: list[ListedEngine] = []
        self.spare: list[FakeEngine] = []
        self.backup: KeyValueStore | None = None
        self.later: set[asyncio.TimerHandle] = set()
        self.figures: Counter = Counter()
        self.script: list[tuple[float, str]] = []  # what was caused, by the store's clock
        self.program: ManagedProcess | None = None
        self.clients: ClientPool | None = None

    async def start(self) -> None:
        for member in self.members:
            await member.start()
            gate = FaultyProxy(member.address, Random(self.random.random()))
            await gate.start()
            self.gates.append(gate)
        for engine in self.engines:
            await engine.start()
        self.listed = [ListedEngine(at + 1, engine) for at, engine in enumerate(self.engines[:ENGINES])]
        self.spare = self.engines[ENGINES:]
        for one in self.listed:
            self.store.put(one.key, one.record())
        self.program = ManagedProcess(self.config(self.gates), f"rig-{self.kind}")
        await self.program.start(*self.entry)
        await self.quiet()
        self.clients = ClientPool(self.program.address, Random(self.random.random()), RATE)
        await self.clients.start()

    def config(self, gates: list[FaultyProxy]) -> dict:
        addresses = [format_address(gate.address) for gate in gates]
        return {"registry": {"kind": self.kind, "addresses": addresses, "prefix": PREFIX}}

    async def stop(self) -> dict:
        shown = {}
        try:
            if self.clients is not None:
                await self.clients.settle()
            shown = await self.program.stop()
        finally:
            if self.clients is not None:
                await self.clients.stop()
            for part in (*self.gates, *self.members, *self.engines):
                await part.stop()
        return shown

    # --- the script -----------------------------------------------------------------------------------------

    def soon(self, after: float, action: object, *arguments: object) -> None:
        handle: asyncio.TimerHandle
        handle = asyncio.get_running_loop().call_later(
            after, lambda: (self.later.discard(handle), action(*arguments))
        )
        self.later.add(handle)

    async def play(self, until: float) -> None:
        """Changes and failures, with quiet points between."""
        loop = asyncio.get_running_loop()
        load = asyncio.create_task(self.clients.run(until))
        while loop.time() < until:
            quiet_at = min(until, loop.time() + ROUND)
            while loop.time() < quiet_at:
                self.change()
                if self.random.random() < 0.5:
                    await self.fail()
                await asyncio.sleep(self.random.uniform(0.1, 0.6))
            await self.quiet()
        await load

    def change(self) -> None:
        """One step in the life of an engine; at least two stay ready."""
        one = self.random.choice(self.listed)
        ready = sum(other.state == "ready" for other in self.listed)
        step = self.random.random()
        if one.state == "ready" and ready > 2:
            if step < 0.6:
                one.state = "draining"
                self.store.put(one.key, one.record())
                if step < 0.2:  # written and deleted within one break
                    self.soon(0.05, self.store.delete, one.key)
            else:
                one.state = "deleted"
                self.store.delete(one.key)
        elif one.state != "ready":
            if self.spare and step < 0.5:  # the same id back at another address
                former, one.engine = one.engine, self.spare.pop(0)
                self.spare.append(former)
            one.state = "ready"
            self.store.put(one.key, one.record())
        elif step < 0.3:
            self.store.put(one.key, b"{not a record")
            self.store.put(one.key, one.record())

    async def fail(self) -> None:
        """One failure; each ends by itself."""
        draw = self.random
        at = draw.randrange(MEMBERS)
        gate, member, span = self.gates[at], self.members[at], draw.uniform(0.1, 1.5)
        what = draw.choice(
            [
                "cut",
                "refuse",
                "stall",
                "half",
                "garbage",
                "compact",
                "mute",
                "lag",
                "deny",
                "slow",
                "all",
                "restore",
                "burst",
                "reload",
                *(["twice"] if self.kind == "etcd" else []),
            ]
        )
        self.figures["failures"] += 1
        self.note(f"{what} of member {at} for {span:.2f} s")
        match what:
            case "cut":
                gate.abort_connections()
            case "refuse" | "stall" | "half" | "garbage":
                gate.set_mode(ProxyMode(what))
                if what == "refuse":
                    gate.abort_connections()
                self.soon(span, gate.set_mode, ProxyMode.PASS)
            case "compact":
                self.store.compact()
            case "mute" | "deny" | "twice":
                setattr(member, MEMBER_FAULTS[what], True)
                if what == "deny":
                    gate.abort_connections()
                self.soon(span, setattr, member, MEMBER_FAULTS[what], False)
                self.soon(span, self.store.notify)
            case "slow":
                member.full_read_delay = 0.3
                self.soon(span, setattr, member, "full_read_delay", 0.0)
            case "lag":
                shown = await self.program.counters()
                alone = not any(
                    other.stale_store for other in self.members
                )  # a majority of members is never behind
                if alone and shown["registry_revision"] > self.backup.revision:
                    member.stale_store = self.backup
                    gate.abort_connections()
                    self.soon(span, setattr, member, "stale_store", None)
            case "all":
                for other in self.gates:
                    other.set_mode(ProxyMode.STALL)
                    self.soon(span, other.set_mode, ProxyMode.PASS)
                self.soon(span / 2, self.store.compact)
            case "burst":
                for number in range(1000, 1200):
                    self.store.put(
                        f"{PREFIX}{number}".encode(),
                        json.dumps(
                            {"id": f"s-{number:08x}", "address": "127.0.0.1:9", "state": "draining"}
                        ).encode(),
                    )
            case "reload":
                await self.reload()
            case "restore":
                await self.restore()

    async def reload(self) -> None:
        """Other members in another order, by SIGHUP, under load."""
        gates = self.random.sample(self.gates, self.random.randint(2, MEMBERS))
        self.program.write(self.config(gates))
        self.program.process.send_signal(signal.SIGHUP)

    async def restore(self) -> None:
        """Back to the last quiet point. Without a new id it can be seen only while its revision is lower than
        one that was known, so nothing is written until it was."""
        self.heal()
        shown = await self.program.counters()
        if shown["registry_revision"] <= self.backup.revision:
            return
        again = self.kind == "etcd" and self.random.random() < 0.5
        if again:  # a new id: what is connected is cut, as by a new start of all members
            for gate in self.gates:
                gate.abort_connections()
        self.store.restore(self.backup.copy(), self.store.cluster_id + 1 if again else 0)
        by_address = {engine.address: engine for engine in self.engines}
        self.spare = list(self.engines)
        for one in self.listed:
            version = self.store.current.get(one.key)
            one.state = "deleted"
            if version is not None:
                member = read_record(version.value, NAMES)
                one.state, one.engine = member.entry.state.value, by_address[member.address]
                self.spare.remove(one.engine)
        for one in self.listed:
            if one.state == "deleted":
                one.engine = self.spare.pop(0)
        await self.quiet()

    def note(self, what: str) -> None:
        self.script.append((self.store.clock(), what))

    def course(self, since: float, until: float) -> list[str]:
        """What was caused and committed in that time, and what the program said, for a promise that broke."""
        lines = [(at, what) for at, what in self.script if since <= at <= until]
        lines += [
            (
                commit.committed_at,
                f"commit {commit.version.revision} {commit.version.key} {commit.version.value or 'deleted'}",
            )
            for commit in self.store.commits
            if since <= commit.committed_at <= until
        ]
        return [f"{self.kind} {at:.3f} {what[:140]}" for at, what in sorted(lines)]

    def heal(self) -> None:
        for handle in list(self.later):
            handle.cancel()
        self.later.clear()
        for gate, member in zip(self.gates, self.members):
            gate.set_mode(ProxyMode.PASS)
            member.stale_store, member.full_read_delay = None, 0.0
            member.rejects_credentials = member.silences_watches = member.duplicates_events = False
        self.store.notify()

    async def quiet(self) -> None:
        """All failures end; the program's list must become the registry's, and is the next backup."""
        self.heal()
        table = EndpointTable(NAMES)
        start = PREFIX.encode()
        table.replace(
            KeyValuePair(version.key.decode(), version.revision, version.value)
            for version in self.store.read_range(start, range_end(start))
        )
        wanted = endpoints_digest(table.endpoints())
        loop = asyncio.get_running_loop()
        end = loop.time() + QUIET
        while (shown := await self.program.counters()).get("registry_digest") != wanted or (
            shown["registry_revision"] != self.store.revision
        ):
            if loop.time() > end:
                self.figures["wrong_lists"] += 1
                self.note(f"wrong list: {shown.get('registry_digest')}, not {wanted}")
                break
            await asyncio.sleep(0.02)
        self.figures["quiet_points"] += 1
        self.note(f"quiet at {self.store.revision}, the program at {shown.get('registry_revision')}")
        self.backup = self.store.copy()

    # --- the check ------------------------------------------------------------------------------------------

    def explain(self) -> None:
        """On standard error: the course round each drain that came too late, or each wrong list."""
        spans = [(since - 3.0, until) for since, until in self.drains() if until - since > PROMISE]
        spans += [(at - 5.0, at) for at, what in self.script if what.startswith("wrong list")]
        for since, until in spans:
            print("\n".join(["", *self.course(since, until)]), file=sys.stderr)

    def drain_lags(self) -> list[float]:
        return [until - since for since, until in self.drains()]

    def drains(self) -> list[tuple[float, float]]:
        """For each drain or deletion: when it was committed, and when the last new work behind that arrived
        whole at the engine before it was ready again. By one clock: the stand-ins share it."""
        found = []
        arrivals = {engine.address: [one.received_at for one in engine.arrivals] for engine in self.engines}
        ready: dict[bytes, tuple[str, int]] = {}  # key -> address that was last listed as ready
        open_drains: dict[tuple[str, int], float] = {}

        def close(address: tuple[str, int], until: float) -> None:
            since = open_drains.pop(address, None)
            if since is not None:
                times = arrivals.get(address, [])
                last = bisect_right(times, until) - 1
                found.append((since, max(since, times[last]) if last >= 0 else since))

        for commit in self.store.commits:
            at = commit.committed_at
            version = commit.version
            address = None
            if version.value is not None:
                try:
                    member = read_record(version.value, NAMES)
                except RecordError:
                    continue
                address = member.address if member.entry.state is State.READY else None
            former = ready.pop(version.key, None)
            if former is not None and former != address and former not in ready.values():
                open_drains.setdefault(former, at)
            if address is not None:
                close(address, at)
                ready[version.key] = address
        for address in list(open_drains):
            close(address, float("inf"))
        return found


async def run(seed: int, seconds: float, entry: tuple[str, ...] = ()) -> dict:
    """One run; the figures, with `ok`. `entry`: another module to run as the program (for planted faults)."""
    random = Random(seed)
    scenarios = [RegistryScenario(kind, Random(random.random()), entry) for kind in ("etcd", "consul")]
    shown: list[dict] = []
    try:
        await asyncio.gather(*(scenario.start() for scenario in scenarios))
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(scenario.play(until) for scenario in scenarios))
    finally:
        shown = await asyncio.gather(*(scenario.stop() for scenario in scenarios))
    lags = [lag for scenario in scenarios for lag in scenario.drain_lags()]
    rules: Counter = Counter()
    total: Counter = Counter()
    for scenario, counters in zip(scenarios, shown):
        rules += count_violations(scenario.clients, scenario.engines)
        total += scenario.figures
        total.update({name: count for name, count in counters.items() if isinstance(count, int)})
    figures = {
        "drains": len(lags),
        "drain_lag_ms": {
            name: round(value * 1000, 1)
            for name, value in (
                ("p50", quantile(lags, 0.5)),
                ("p99", quantile(lags, 0.99)),
                ("max", max(lags, default=0.0)),
            )
        },
        "missed_drains": sum(lag > PROMISE for lag in lags),
        "wrong_lists": total["wrong_lists"],
        **{name: rules[name] for name in REQUEST_RULES},
        "requests": sum(len(scenario.clients.sent) for scenario in scenarios),
        "served": total["answered_served"],
        "held": total["unconfirmed"],
        "failures": total["failures"],
        "quiet_points": total["quiet_points"],
        **{
            name: total[f"registry_{name}"]
            for name in (
                "full_reads",
                "resumes",
                "breaks",
                "stalls",
                "compactions",
                "lagging",
                "restored",
                "refused",
                "duplicates",
                "stale",
                "stale_ms",
            )
        },
    }
    broken = (
        "missed_drains",
        "wrong_lists",
        *REQUEST_RULES,
    )
    ok = bool(lags) and not any(figures[name] for name in broken)
    if not ok:
        for scenario in scenarios:
            scenario.explain()
    return {"rig": "registry", "ok": ok, "seed": seed, "seconds": seconds, **figures}
