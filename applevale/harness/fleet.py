"""The fleet harness: many real processes, a registry, engines and clients, with faults between them.

It causes what a scenario says, and records one history for the checkers, which know nothing of the
application. All processes that it started have ended when `Fleet.stop` returns.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random
from zlib import crc32

import msgspec

from ..checkers.history import History
from ..fakes.client_pool import ClientPool, SentRequest
from ..fakes.cold_engine import ColdEngine
from ..fault_injection.link_conditions import LinkConditions
from ..fault_injection.schedule import Step, play_schedule
from ..fault_injection.tcp_proxy import TcpProxy, source_address
from ..fault_injection.udp_proxy import UdpProxy
from ..net.addresses import format_address
from . import resource_usage
from .default_settings import MACHINE_KINDS, SETTINGS, ZONES
from .fault_executor import FaultExecutor, FaultTargets
from .fleet_instance import FleetInstance
from .fleet_plan import FleetPlan
from .history_recorder import HistoryRecorder
from .managed_process import ManagedProcess
from .ports import free_port
from .registry_process import RegistryProcess
from .request_rules import NO_OVERLAP, count_violations

ENGINE_KEY_PREFIX = "applevale/engines/"
FINAL_ANSWER_MARGIN_SECONDS = 0.3  # before a client's deadline, when an undecided request is answered
END_GRACE_SECONDS = 0.5  # after the end of a process in which a connection may still be cut by it
CONVERGENCE_TIMEOUT_SECONDS = 8.0  # within which every list of engines is the registry's
POLL_INTERVAL_SECONDS = 0.02
CONVERGENCE_POLL_INTERVAL_SECONDS = 0.2
RECENT_SECONDS = 2.0
RECENT_ARRIVALS = 100
CLIENT_EFFORT = 400.0
MAX_DRAINED_MESSAGES = 300  # messages that the registry can send to all instances in a moment


def instance_host(number: int) -> str:
    """Return the loopback address on which an instance listens."""
    return source_address(number).replace("127.1.", "127.2.", 1)


class Fleet:
    """The processes of a scenario: instances `n0`..., registry members `list0`..., engines `e0`..."""

    def __init__(self, plan: FleetPlan):
        """Prepare what `plan` describes; nothing is started yet."""
        self.plan = plan
        self.random = Random(plan.seed)
        self.loop = asyncio.get_running_loop()
        self.figures: Counter = Counter()
        self.recorder = HistoryRecorder(self.figures)
        self.link_conditions = LinkConditions(plan.seed)
        self.service = RegistryProcess(self.recorder.record_registry_event)
        self.proxies: list[TcpProxy] = []
        self.registry_addresses: list[tuple[str, int]] = []
        self.engines: list[ColdEngine] = []
        self.engine_addresses: list[tuple[str, int]] = []  # as instances know them
        self.states: dict[int, str] = {}  # engine -> as last written
        self.instances: list[FleetInstance] = []
        self.import_s: list[float] = []
        self.idle: dict[str, float] = {}
        self.relay: UdpProxy | None = None
        self.datagram_addresses: dict[str, tuple[str, int]] = {}  # instance -> its own, behind the relay
        self.fault_executor = FaultExecutor(
            FaultTargets(
                self.instances, self.proxies, self.link_conditions, self.service, self.launch, plan.entry
            ),
            self.recorder,
            self.figures,
        )

    @property
    def events(self) -> list[dict]:
        """The events recorded so far, without those that engines keep themselves."""
        return self.recorder.events

    def mark(self, name: str) -> None:
        """Record that a part of the scenario begins or ends."""
        self.recorder.record("mark", name=name)

    def history(self) -> History:
        """Return the history of the run, with what the engines saw."""
        addresses = map(format_address, self.engine_addresses)
        return self.recorder.history(zip(self.engines, addresses))

    # --- start and end --------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all but the instances."""
        plan = self.plan
        await self.service.start()
        await self.service.order("capacity", rate=plan.capacity)
        self.registry_addresses = [
            await self._proxied(f"list{number}", address)
            for number, address in enumerate(self.service.addresses)
        ]
        await self._start_engines()
        port = free_port()
        if plan.members:
            self.datagram_addresses = {
                f"n{number}": (instance_host(number), port) for number in range(plan.nodes)
            }
            self.relay = UdpProxy(
                list(self.datagram_addresses),
                self.datagram_addresses,
                self.link_conditions,
                self.recorder.record_datagram,
            )
        for number in range(plan.nodes):
            self.instances.append(self._create_instance(number, port))

    async def _start_engines(self) -> None:
        for number in range(self.plan.engines):
            engine = ColdEngine(Random(self.random.random()))
            await engine.start()
            self.engines.append(engine)
            self.engine_addresses.append(await self._proxied(f"e{number}", engine.address))
        for number in range(self.plan.engines):
            if number < self.plan.cold:
                self.engines[number].started_at = time.monotonic()
            await self.list_engine(number, "ready")

    async def _proxied(self, name: str, address: tuple[str, int]) -> tuple[str, int]:
        """Return where instances reach a server: itself, or a new proxy before it."""
        if not self.plan.gates:
            return address
        proxy = TcpProxy(name, address, self.link_conditions)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    def _create_instance(self, number: int, port: int) -> FleetInstance:
        name = f"n{number}"
        config = self._instance_config(number, port)
        program = ManagedProcess(config, name, self.plan.checkout)
        if self.plan.snapshot:  # in the folder that all processes of this instance share
            config["registry"]["snapshot"] = os.path.join(program.folder.name, "snapshot")
        instance = FleetInstance(number, name, program)
        program.heard = lambda event: self._on_instance_event(instance, event)
        return instance

    def _instance_config(self, number: int, port: int) -> dict:
        config: dict = {
            "listen": f"{instance_host(number)}:{port}",
            "local_address": source_address(number),
            "log": "json",
            "seed": f"{self.random.getrandbits(48):x}",
            "settings": SETTINGS | {"me": number, "fleet_size": self.plan.nodes},
            "registry": {
                "kind": "etcd",
                "prefix": ENGINE_KEY_PREFIX,
                "addresses": [format_address(address) for address in self.registry_addresses],
            },
        }
        if self.relay is not None:
            config |= {
                "peer_listen": format_address(self.datagram_addresses[f"n{number}"]),
                "membership": {},
                "peers": [format_address(self.relay.addresses[name]) for name in self.datagram_addresses],
            }
        if self.plan.connects:
            config["startup"] = {"engine_connects": self.plan.connects}
        return config

    def _on_instance_event(self, instance: FleetInstance, event: dict) -> None:
        self.recorder.record_instance_event(instance, event)
        if event["event"] == "listening" and self.plan.clients and instance.client_task is None:
            instance.client_task = asyncio.create_task(self._run_clients(instance))

    async def launch(self, instance: FleetInstance) -> None:
        """Start the process of an instance, without waiting until it listens."""
        self.recorder.record("launched", who=instance.name)
        instance.is_ready = False
        instance.is_confirmed = False
        entry = self.plan.entry if self.plan.entry_of in ("", instance.name) else ()
        await instance.program.launch(*entry)

    async def launch_all(self, over: float = 0.0) -> None:
        """Start all instances at once, or one after the other over `over` seconds."""
        self.mark("launched")
        for instance in self.instances:
            await self.launch(instance)
            if over:
                await asyncio.sleep(over / len(self.instances))

    async def stop(self) -> None:
        """End all that was started, also after a failure."""
        for instance in self.instances:
            instance.program.heard = lambda event: None  # the end of all is no part of the history
            if instance.client_task is not None:
                instance.client_task.cancel()
            if instance.clients is not None:
                await instance.clients.stop()
            if instance.is_running:
                instance.program.process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(one.terminate() for one in self.instances), return_exceptions=True)
        if self.relay is not None:
            self.relay.stop()
        for part in (*self.proxies, *self.engines):
            await part.stop()
        await self.service.stop()

    # --- clients --------------------------------------------------------------------------------------------

    async def _run_clients(self, instance: FleetInstance) -> None:
        """Run the clients of one instance, from when it first listens until the run ends."""
        instance.clients = ClientPool(
            instance.program.address,
            Random(self.random.random()),
            self.plan.clients,
            connection_count=1,
            reconnect=True,
            effort_ms=CLIENT_EFFORT,
            repeat_rejected=self.plan.eager,
        )
        await instance.clients.start()
        await instance.clients.run(inf)

    async def settle(self) -> None:
        """Send no new requests, and wait for the answers of those that are open."""
        for instance in self.instances:
            if instance.client_task is not None:
                instance.client_task.cancel()
        await asyncio.gather(*(one.clients.settle() for one in self.instances if one.clients is not None))

    def rules(self) -> Counter:
        """Return the violations of the rules on requests, over all instances.

        Requests that were cut by the end of a process, or that became late while it was paused, are not
        lost: they are counted apart.
        """
        found: Counter = Counter()
        for instance in self.instances:
            if instance.clients is None:
                continue
            for sent in instance.clients.sent:
                self._classify_request(instance, sent, found)
            overlap = (min(instance.ended_at), inf) if instance.ended_at else NO_OVERLAP
            found += count_violations(instance.clients, self.engines, overlap)
            found["requests"] += len(instance.clients.sent)
            found["served"] += sum("served" in sent.answers for sent in instance.clients.sent)
        found["lost_requests"] -= found["cut_by_ends"] + found["late_by_standstill"]
        return found

    def _classify_request(self, instance: FleetInstance, sent: SentRequest, found: Counter) -> None:
        """Count a request that a fault excuses; record one that was lost."""
        if sent.disconnected_at and any(sent.sent_at <= end + END_GRACE_SECONDS for end in instance.ended_at):
            found["cut_by_ends"] += 1
        elif sent.answers == ["late"] and any(
            begin < sent.deadline and sent.deadline - FINAL_ANSWER_MARGIN_SECONDS < end
            for begin, end in instance.pauses
        ):
            found["late_by_standstill"] += 1
        elif not sent.answers or "late" in sent.answers:
            self.recorder.record(
                "lost",
                sent.sent_at,
                who=instance.name,
                ref=sent.request_id,
                lane=sent.method,
                answers=sent.answers,
                cut=round(sent.disconnected_at - sent.sent_at, 3) if sent.disconnected_at else None,
            )

    # --- what scenarios do ----------------------------------------------------------------------------------

    async def list_engine(self, number: int, state: str) -> None:
        """Write one engine into the registry; the state `gone` deletes it."""
        key = f"{ENGINE_KEY_PREFIX}{number}"
        self.states[number] = state
        if state == "gone":
            await self.service.order("delete", key=key)
            return
        await self.service.order("put", key=key, value=json.dumps(self._record(number, state)))

    def _record(self, number: int, state: str) -> dict:
        started = 0.0
        if number < self.plan.cold:
            started = time.time() - (time.monotonic() - self.engines[number].started_at)
        return {
            "id": f"s-{number + 1:08x}",
            "address": format_address(self.engine_addresses[number]),
            "state": state,
            "zone": ZONES[number % len(ZONES)],
            "kind": MACHINE_KINDS[0],
            "started": started,
        }

    async def until(self, condition: Callable[[], bool], within: float) -> bool:
        """Wait until `condition` holds; return whether it did within that many seconds."""
        end = self.loop.time() + within
        while not condition():
            if self.loop.time() > end:
                return False
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return True

    def open_sessions(self) -> set[str]:
        """Return the connections (IP:PORT) that members of the registry serve, as it reports."""
        return self.recorder.open_sessions()

    async def run_event_loops(self) -> None:
        """Return once the event loop of each instance has run its timers that are due by now.

        Of two dumps of counters that were written after this the second shows it: between the two, a loop
        runs the timers that are due.

        Raises:
            ManagedProcessError: An instance has ended.
        """

        async def run_event_loop(program: ManagedProcess) -> None:
            for _ in range(2):
                asked_at = time.monotonic()
                await program.counters()
                while program.counters_at < asked_at:  # written by itself, and read only now
                    await program.counters()

        await asyncio.gather(*(run_event_loop(one.program) for one in self.instances))

    async def all_ready(self, within: float) -> bool:
        """Wait until all instances are ready; return whether they were within that many seconds."""

        def has_started(instance: FleetInstance) -> bool:
            return instance.is_confirmed if self.plan.checkout else instance.is_ready

        return await self.until(lambda: all(map(has_started, self.instances)), within)

    async def drain(self, count: int) -> None:
        """Drain the busiest engines, some at a time, and bring them back; `count` times.

        They are no more than the fake registry can report to all instances in a moment, as each change is a
        message to each of them.
        """
        for _ in range(count):
            busiest = self._busiest_engines()
            for number in busiest:
                await self.list_engine(number, "draining")
            await asyncio.sleep(1.0)
            for number in busiest:
                await self.list_engine(number, "ready")
            await asyncio.sleep(0.5)

    def _busiest_engines(self) -> list[int]:
        since = time.monotonic() - RECENT_SECONDS

        def recent_arrivals(number: int) -> int:
            return sum(one.received_at >= since for one in self.engines[number].arrivals[-RECENT_ARRIVALS:])

        order = sorted(range(self.plan.engines), reverse=True, key=recent_arrivals)
        return order[: max(1, min(self.plan.engines // 10, MAX_DRAINED_MESSAGES // self.plan.nodes))]

    def _digest(self) -> int:
        """Return the digest of the list as it was written, without use of the application's code."""
        lines = sorted(
            f"{number + 1:08x} {state} {self.engine_addresses[number]}"
            for number, state in self.states.items()
            if state != "gone"
        )
        return crc32("\n".join(lines).encode())

    async def quiet(self) -> None:
        """Wait until every running instance has the list as written; count those that do not get it."""
        expected = self._digest()
        end = self.loop.time() + CONVERGENCE_TIMEOUT_SECONDS
        waiting = [one for one in self.instances if one.program.process.returncode is None]
        while waiting and self.loop.time() < end:
            dumps = await asyncio.gather(*(one.program.counters() for one in waiting))
            waiting = [
                one for one, counters in zip(waiting, dumps) if counters.get("registry_digest") != expected
            ]
            await asyncio.sleep(CONVERGENCE_POLL_INTERVAL_SECONDS)
        self.figures["wrong_lists"] += len(waiting)

    def measure_idle(self) -> Callable[[], None]:
        """Measure processor time and memory from now until the function returned is called."""
        meter = resource_usage.UsageMeter(self._process_ids(), self.service.process.pid)

        def finish() -> None:
            self.idle = meter.finish(self._process_ids())

        return finish

    def _process_ids(self) -> list[int]:
        return [one.program.process.pid for one in self.instances]

    async def measure_imports(self) -> None:
        """Measure the machine's own part of a start of this many processes."""
        self.import_s = await resource_usage.measure_imports(self.plan.nodes, self.plan.checkout)

    async def play(self, steps: list[Step]) -> None:
        """Carry out the steps of a fault schedule; return when all are over."""
        await play_schedule(steps, self.fault_executor, self._log_fault, time.monotonic)

    def _log_fault(self, at: float, step: Step) -> None:
        fields = msgspec.to_builtins(step)
        fields.pop("at")
        self.recorder.record("fault", at, **fields)
        self.figures["fault_" + fields["do"]] += 1
