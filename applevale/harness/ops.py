"""The operations harness: the application through a manual ejection, a drain and an upgrade in place.

The script, from a seed: clients with kept connections that open them anew; an engine is ejected by hand; a
drain and its end; a second process starts on the same address, and reads the ejection from $TMPDIR; another
engine is ejected at its admin address while both run; the first process is terminated; both engines are
enabled again.

What is checked: nothing new reaches an ejected engine after 0.5 s, from either process, and work reaches it
again within 5 s of the enable; `/ready` is negative in the drain and positive within 2 s of its end; the
second process is ready within 6 s; the metrics agree with the clients' own count, within the tolerance that
is specified; every request is answered, once, and no load is executed twice; no key is out of order among
what one process accepted (across the two no order is guaranteed while both run); at most two requests are
cut by a closed connection in the upgrade, none of them after it reached an engine; each process answers
every request that it accepted.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from ..fakes.client_pool import ClientPool
from ..fakes.engine import FakeEngine
from .managed_process import ManagedProcess
from .ports import free_address
from .request_rules import count_violations

ENGINE_COUNT = 3
REQUESTS_PER_SECOND = 60.0
EJECTION_GRACE_SECONDS = 0.5  # after an ejection is confirmed, from which nothing new may reach the engine
READY_TIMEOUT_SECONDS = 6.0  # for a new process to become ready
UNDRAIN_TIMEOUT_SECONDS = 2.0  # to become ready after /undrain
REENABLE_TIMEOUT_SECONDS = 5.0  # within which an enabled engine that was in use gets work again
MAX_CUT_REQUESTS = 2  # requests that may meet a closed connection in an upgrade
CALL_TIMEOUT_SECONDS = 2.0
READY_POLL_INTERVAL_SECONDS = 0.05
CLIENT_RUN_SECONDS = 3600  # the clients are cancelled long before
PHASE_COUNT = 6
MIN_PHASE_SECONDS = 1.0
METRICS_TOLERANCE = 0.01
METRICS_TOLERANCE_REQUESTS = 3


async def call(address: str, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
    """Return status and body of an admin call; (0, {}) if it could not be made."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nhost: rig\r\ncontent-length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, {}
    head, _, rest = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(rest or b"{}")


def engine_list(engines: list[FakeEngine]) -> dict:
    """Return the setting `known` that lists these engines."""
    instances = [
        {
            "instanceId": f"s-{number:08x}",
            "hostPort": "{}:{}".format(*engine.address),
            "zone": "east",
            "machineType": "std",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1,
            "startedAtMs": 0,
        }
        for number, engine in enumerate(engines, 1)
    ]
    return {"n": 1, "events": [{"n": 1, "members": {"generation": 1, "reset": True, "instances": instances}}]}


async def until_ready(address: str, within: float) -> bool:
    """Return whether the process with this admin address becomes ready within so many seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within
    while loop.time() < end:
        if (await call(address, "GET", "/ready"))[0] == 200:
            return True
        await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
    return False


def answered_all(counters: dict) -> bool:
    """Return whether a process answered every request that it accepted, by its own counters.

    A request that crossed the close of an idle connection was never accepted; its client sends it again.
    """
    taken = sum(count for name, count in counters.items() if name.startswith("taken_"))
    answered = sum(count for name, count in counters.items() if name.startswith("answered_"))
    return taken == answered and not counters.get("clients_gone")


@dataclass
class Observations:
    """What the script saw; times are by the event loop's clock."""

    first_ready: bool = False
    ejection_confirmed: bool = False
    ejected_from: float = 0.0
    unknown_engine_status: int = 0
    ready_status_in_drain: int = 0
    undrained: bool = False
    metrics_served: int = 0
    clients_served: int = 0
    overlap_start: float = 0.0
    overlap_end: float = 0.0
    second_ready: bool = False
    late_ejection_confirmed: bool = False
    late_ejected_from: float = 0.0
    first_exit_code: int | None = None
    cut_in_upgrade: float = 0
    enabled_at: float = 0.0
    to_ejected: int = 0
    to_late_ejected: int = 0
    after_enable: int = 0
    cut_after_execution: float = 0
    first_counters: dict = field(default_factory=dict)
    second_counters: dict = field(default_factory=dict)
    violations: Counter = field(default_factory=Counter)
    client_figures: Counter = field(default_factory=Counter)

    @property
    def unanswered(self) -> int:
        """Requests without an answer whose connection was not cut."""
        return self.client_figures["lost"] - self.client_figures["cut"]

    @property
    def are_metrics_true(self) -> bool:
        """Whether the metrics agree with the clients' count, within the tolerance."""
        tolerance = max(METRICS_TOLERANCE_REQUESTS, METRICS_TOLERANCE * self.clients_served)
        return abs(self.metrics_served - self.clients_served) <= tolerance

    def checks(self) -> dict[str, bool]:
        """Return each check by its name in the result, with whether it holds."""
        return {
            "first_ready": self.first_ready,
            "ban_yes": self.ejection_confirmed,
            "unknown_refused": self.unknown_engine_status == 404,
            "ready_no_in_drain": self.ready_status_in_drain == 503,
            "undrained_in_2s": self.undrained,
            "second_ready_in_6s": self.second_ready,
            "first_exit_0": self.first_exit_code == 0,
            "nothing_to_banned": self.to_ejected == 0,
            "nothing_to_banned_in_both": self.late_ejection_confirmed and self.to_late_ejected == 0,
            "figures_true": self.are_metrics_true,
            "no_request_held": self.unanswered == 0,
            "cut_at_most_2": self.cut_in_upgrade <= MAX_CUT_REQUESTS,
            "every_taken_answered": all(map(answered_all, (self.first_counters, self.second_counters))),
            "none_cut_after_it_ran": self.cut_after_execution == 0,
            "answered_once": self.violations["answered_twice"] == 0,
            "back_after_enable": self.after_enable > 0,
            "loads_once": self.violations["loads_twice"] == 0,
            "keys_in_order": self.violations["order_breaks"] == 0,
        }

    def figures(self) -> dict[str, float]:
        """Return the figures of the result."""
        return {
            "requests": self.client_figures["requests"],
            "served": self.client_figures["served"],
            "cut": self.client_figures["cut"],
            "held": self.unanswered,
            "figures_served": self.metrics_served,
            "clients_served": self.clients_served,
            "to_banned": self.to_ejected,
            "to_late_banned": self.to_late_ejected,
            "after_enable": self.after_enable,
            "cut_in_upgrade": self.cut_in_upgrade,
            "cut_after_run": self.cut_after_execution,
            "first_door_calls": self.first_counters.get("door_calls", 0),
            "second_served": self.second_counters.get("answered_served", 0),
        }


class OperationsScenario:
    """Two processes on one address, their engines and clients, and the script of an operator."""

    def __init__(self, random: Random, phase_seconds: float, engines: list[FakeEngine], folder: str):
        """Prepare the script on engines that are started; `folder` is $TMPDIR of both processes."""
        self.random = random
        self.phase_seconds = phase_seconds
        self.engines = engines
        self.ejected = engines[1]
        self.late_ejected = engines[2]
        self.environment = {"TMPDIR": folder}
        self.loop = asyncio.get_running_loop()
        self.observed = Observations()
        listen = free_address()
        self.first_admin = free_address()
        self.second_admin = free_address()
        known = engine_list(engines)
        self.first = ManagedProcess({"known": known, "listen": listen, "control": self.first_admin}, "ops-1")
        self.second = ManagedProcess(
            {"known": known, "listen": listen, "control": self.second_admin}, "ops-2"
        )
        self.clients: ClientPool | None = None
        self.client_task: asyncio.Task | None = None

    async def run(self) -> Observations:
        """Run all phases in turn; return what was seen."""
        await self._start_first()
        await self._eject()
        await self._drain()
        await self._compare_metrics()
        await self._upgrade()
        await self._enable()
        await self._finish()
        return self.observed

    async def end(self) -> None:
        """End both processes at once, if they still run."""
        for process in (self.first, self.second):
            await process.kill()

    async def _start_first(self) -> None:
        await self.first.start(env=self.environment)
        self.observed.first_ready = await until_ready(self.first_admin, READY_TIMEOUT_SECONDS)
        self.clients = ClientPool(
            self.first.address, Random(self.random.random()), REQUESTS_PER_SECOND, reconnect=True
        )
        await self.clients.start()
        self.client_task = asyncio.create_task(self.clients.run(self.loop.time() + CLIENT_RUN_SECONDS))
        await asyncio.sleep(self.phase_seconds)

    async def _eject(self) -> None:
        status, _ = await call(self.first_admin, "POST", "/engines/disable", {"host": "s-00000002"})
        self.observed.ejection_confirmed = status == 200
        self.observed.ejected_from = self.ejected.clock() + EJECTION_GRACE_SECONDS
        status, _ = await call(self.first_admin, "POST", "/engines/disable", {"host": "s-0000ffff"})
        self.observed.unknown_engine_status = status
        await asyncio.sleep(self.phase_seconds)

    async def _drain(self) -> None:
        await call(self.first_admin, "POST", "/drain")
        status, _ = await call(self.first_admin, "GET", "/ready")
        self.observed.ready_status_in_drain = status
        await asyncio.sleep(self.phase_seconds)
        await call(self.first_admin, "POST", "/undrain")
        self.observed.undrained = await until_ready(self.first_admin, UNDRAIN_TIMEOUT_SECONDS)
        await asyncio.sleep(self.phase_seconds / 2)

    async def _compare_metrics(self) -> None:
        _, metrics = await call(self.first_admin, "GET", "/metrics")
        self.observed.clients_served = sum(
            1 for sent in self.clients.sent if sent.answers == ["served"] and sent.method == "lookup"
        )
        self.observed.metrics_served = metrics.get("replies", {}).get("lookup", {}).get("success", -1)

    async def _upgrade(self) -> None:
        """Start the second process beside the first, and terminate the first."""
        observed = self.observed
        observed.overlap_start = self.loop.time()
        await self.second.start(env=self.environment)
        observed.second_ready = await until_ready(self.second_admin, READY_TIMEOUT_SECONDS)
        # Ejected at the second process while both run: the first must stop using the engine, too.
        status, _ = await call(self.second_admin, "POST", "/engines/disable", {"host": "s-00000003"})
        observed.late_ejection_confirmed = status == 200
        observed.late_ejected_from = self.late_ejected.clock() + EJECTION_GRACE_SECONDS
        cut_before = self._cut_requests()
        observed.first_counters = await self.first.stop()
        observed.overlap_end = self.loop.time()
        observed.first_exit_code = self.first.process.returncode
        await asyncio.sleep(self.phase_seconds)
        observed.cut_in_upgrade = self._cut_requests() - cut_before

    def _cut_requests(self) -> float:
        return sum(sent.disconnected_at for sent in self.clients.sent)

    async def _enable(self) -> None:
        await call(self.second_admin, "POST", "/engines/enable", {"host": "s-00000002"})
        await call(self.second_admin, "POST", "/engines/enable", {"host": "s-00000003"})
        self.observed.enabled_at = self.ejected.clock()
        await asyncio.sleep(REENABLE_TIMEOUT_SECONDS)

    async def _finish(self) -> None:
        """Let open requests end, evaluate what engines and clients saw, and stop the second process."""
        self.client_task.cancel()
        await self.clients.settle()
        self._evaluate()
        await self.clients.stop()
        self.observed.second_counters = await self.second.stop()

    def _evaluate(self) -> None:
        observed = self.observed
        enabled_at = observed.enabled_at
        arrivals = self.ejected.arrivals
        observed.to_ejected = sum(observed.ejected_from < one.received_at < enabled_at for one in arrivals)
        observed.to_late_ejected = sum(
            observed.late_ejected_from < one.received_at < enabled_at for one in self.late_ejected.arrivals
        )
        observed.after_enable = sum(one.received_at > enabled_at for one in arrivals)
        executed = {one.request_id.decode() for engine in self.engines for one in engine.arrivals}
        observed.cut_after_execution = sum(
            sent.disconnected_at and sent.request_id in executed for sent in self.clients.sent
        )
        overlap = (observed.overlap_start, observed.overlap_end)
        observed.violations = count_violations(self.clients, self.engines, overlap)
        observed.client_figures = self.clients.stats()


async def run(seed: int, seconds: float) -> dict:
    """Run the script for about `seconds`; return the figures, with `ok` and the checks that are `broken`."""
    random = Random(seed)
    phase_seconds = max(seconds / PHASE_COUNT, MIN_PHASE_SECONDS)
    engines = [FakeEngine(Random(random.random())) for _ in range(ENGINE_COUNT)]
    for engine in engines:
        await engine.start()
    folder = tempfile.TemporaryDirectory(prefix="applevale-ops-")
    scenario = OperationsScenario(random, phase_seconds, engines, folder.name)
    try:
        observed = await scenario.run()
    finally:
        await scenario.end()  # also after a fault of the harness itself
        for engine in engines:
            await engine.stop()
        folder.cleanup()
    checks = observed.checks()
    return {
        "rig": "ops",
        "ok": all(checks.values()),
        "seed": seed,
        "seconds": seconds,
        "broken": sorted(name for name, holds in checks.items() if not holds),
        **observed.figures(),
    }
