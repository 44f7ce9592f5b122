"""The fleet rig: many real programs, a list service, engines and clients, with faults between all of them.

It causes what a case says, gathers one history and hands it to checkers (verify/) that know nothing of the
program. Whatever happens, all that it started has ended when it returns.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from zlib import crc32

import msgspec

from ..checkers.history import History
from ..fakes.clients import Clients
from ..fakes.cold import ColdEngine
from ..fault_injection import schedule as f
from ..fault_injection.link_conditions import LinkConditions, matches_any
from ..fault_injection.tcp_proxy import TcpProxy, source_address, source_number
from ..fault_injection.udp_proxy import UdpProxy
from .default_settings import MACHINE_KINDS, SETTINGS, ZONES
from .managed_process import ManagedProcess
from .request_rules import count_violations

PREFIX = "applevale/engines/"
IMPORTS = (
    "import time, applevale.__main__, applevale.discovery.registry.source, "
    "applevale.discovery.registry.etcd, structlog; print(time.monotonic())"
)
LAST_WORD = 0.3  # s before its client gives up in which a request without a decision has its answer
QUIET = 8.0  # s within which every list is the registry's, at a quiet point


@dataclass(frozen=True)
class Plan:
    """What a run consists of."""

    nodes: int
    seed: int = 1
    engines: int = 80
    capacity: float = 600.0  # reads a second that the list service bears
    clients: float = 2.0  # requests a second to each instance
    eager: bool = False  # clients repeat at once what is refused
    cold: int = 0  # engines that start together with the instances
    connects: float = 20.0  # connections a second to one engine, over the fleet; 0: no limit
    snapshot: bool = False
    schedule: tuple[f.Step, ...] = ()  # for the case that plays one; none: drawn from the seed
    members: bool = False  # membership is on, its datagrams pass a relay
    gates: bool = False  # between instances and servers, for faults on the way; else they meet directly
    checkout: str | None = None  # a folder whose program is run, for a baseline
    entry: tuple[str, ...] = ()  # another module to run as the program (for planted faults),
    entry_of: str = ""  # for this instance only


def place(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


class Instance:
    """One program, its clients, and its process's states."""

    def __init__(self, number: int, name: str, program: ManagedProcess):
        self.number, self.name, self.program = number, name, program
        self.clients: Clients | None = None
        self.load: asyncio.Task | None = None
        self.ready = self.confirmed = False
        self.stand = ""  # among the members
        self.killed: list[float] = []  # by the loop's clock
        self.still: list[tuple[float, float]] = []  # spans in which it stood still
        self.turn = asyncio.Lock()  # one end and start at a time


class Service:
    """The list service's process: orders to it, and what it tells."""

    def __init__(self, heard: Callable[[dict], None]):
        self.heard = heard
        self.process: asyncio.subprocess.Process | None = None
        self.done: asyncio.Queue[dict] = asyncio.Queue()
        self.addresses: list[tuple[str, int]] = []
        self.reading: asyncio.Task | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "applevale.fakes.listhost",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
        )
        self.reading = asyncio.create_task(self._read())
        self.addresses = [tuple(one) for one in (await self.done.get())["addresses"]]

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            if event["event"] in ("serving", "done"):
                self.done.put_nowait(event)
            else:
                self.heard(event)

    async def order(self, order: str, **values: object) -> None:
        """Carried out when this returns."""
        self.process.stdin.write(json.dumps({"order": order, **values}).encode() + b"\n")
        async with asyncio.timeout(30.0):
            await self.done.get()

    async def stop(self) -> None:
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.stdin.close()
            try:
                async with asyncio.timeout(5.0):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        await self.reading


class Fleet:
    """The stage of a case. Names: `n0`… the instances, `list0`… the members, `e0`… the engines."""

    def __init__(self, plan: Plan):
        self.plan, self.random = plan, Random(plan.seed)
        self.loop = asyncio.get_running_loop()
        self.events: list[dict] = []
        self.link_conditions = LinkConditions(plan.seed)
        self.service = Service(self._service_said)
        self.gates: list[TcpProxy] = []
        self.members: list[tuple[str, int]] = []
        self.places: list[tuple[str, int]] = []  # of the engines, as instances are told
        self.engines: list[ColdEngine] = []
        self.states: dict[int, str] = {}  # engine -> as last written
        self.instances: list[Instance] = []
        self.figures: Counter = Counter()
        self.import_s: list[float] = []
        self.idle: dict[str, float] = {}
        self.relay: UdpProxy | None = None
        self.real: dict[str, tuple[str, int]] = {}  # where each instance hears datagrams
        self.sent: dict[tuple[str, int], list[int]] = defaultdict(lambda: [0, 0, 0])  # bytes, most, count
        self.away = 0  # spans of `down` that have not ended

    # --- the history ----------------------------------------------------------------------------------------

    def note(self, event: str, at: float | None = None, **fields: object) -> None:
        self.events.append({"at": time.monotonic() if at is None else at, "event": event, **fields})

    def mark(self, name: str) -> None:
        self.note("mark", name=name)

    @staticmethod
    def _who(caller: str) -> str:
        number = source_number(caller.partition(":")[0])
        return "other" if number is None else f"n{number}"

    def _service_said(self, event: dict) -> None:
        match event["event"]:
            case "reads":
                for at, out, caller, member, whole, answered in event["reads"]:
                    self.note(
                        "read",
                        at,
                        who=self._who(caller),
                        out=out,
                        member=member,
                        whole=whole,
                        answered=answered,
                        caller=caller,
                    )
            case "commit":
                told = json.loads(event["value"]) if event["value"] else {}
                self.note(
                    "commit",
                    event["committed"],
                    key=event["key"],
                    engine=told.get("id", ""),
                    address=told.get("address", ""),
                    state=told.get("state", "gone"),
                )
            case "session" | "session_end" as name:
                self.note(
                    name,
                    event["at"],
                    who=self._who(event["caller"]),
                    member=event["member"],
                    caller=event["caller"],
                )

    def _program_said(self, instance: Instance, event: dict) -> None:
        if event["event"] == "promise":
            self.note("said", event.get("at"), who=instance.name, text=event.get("text", ""))
        if event["event"] in ("view", "stand", "members"):
            told = {key: event[key] for key in ("changes", "stand") if key in event}
            if event["event"] == "members":
                if "view" not in event:  # word that some were left out
                    self.figures["turns_left_out"] += 1
                    return
                told["view"] = [f"n{one}" for one, _ in event["view"]]
            self.note(
                "held" if event["event"] == "members" else event["event"],
                event.get("at"),
                who=instance.name,
                **told,
            )
            instance.stand = event.get("stand", instance.stand)
        if event["event"] in ("listening", "ready", "list"):
            known = {key: event[key] for key in ("ready", "confirmed") if key in event}
            if event["event"] != "listening" and not known:  # word that some were left out
                self.figures["turns_left_out"] += 1
                return
            self.note(event["event"], event.get("at"), who=instance.name, **known)
            instance.ready = known.get("ready", instance.ready)
            instance.confirmed = known.get("confirmed", instance.confirmed)
            if event["event"] == "listening" and self.plan.clients and instance.load is None:
                instance.load = asyncio.create_task(self._serve(instance))

    def history(self) -> History:
        """With what the engines saw, in the order of times."""
        seen = []
        for engine, address in zip(self.engines, self.places):
            name = place(address)
            seen += [
                {"at": at, "event": "connect", "who": self._who(caller), "engine": name}
                for at, caller in engine.connects
            ]
            seen += [
                {
                    "at": one.at,
                    "event": "arrival",
                    "who": self._who(one.caller),
                    "engine": name,
                    "ref": one.ref.decode(errors="replace"),
                    "lane": one.lane.decode(errors="replace"),
                }
                for one in engine.arrivals
            ]
            if engine.fell is not None:
                seen.append({"at": engine.fell, "event": "fell", "engine": name})
        seen += [
            {"at": tenth / 10, "event": "sent", "who": name, "bytes": size, "most": most, "count": count}
            for (name, tenth), (size, most, count) in self.sent.items()
        ]
        return History([*self.events, *seen])

    def _datagram_seen(self, source: str, target: str, size: int) -> None:
        bucket = self.sent[source, int(time.monotonic() * 10)]
        bucket[0] += size
        bucket[1] = max(bucket[1], size)
        bucket[2] += 1

    # --- start and end --------------------------------------------------------------------------------------

    async def start(self) -> None:
        """All but the instances."""
        plan = self.plan
        await self.service.start()
        await self.service.order("capacity", rate=plan.capacity)
        self.members = [
            await self._place(f"list{at}", address) for at, address in enumerate(self.service.addresses)
        ]
        for at in range(plan.engines):
            engine = ColdEngine(Random(self.random.random()))
            await engine.start()
            self.engines.append(engine)
            self.places.append(await self._place(f"e{at}", engine.address))
        for at in range(plan.engines):
            if at < plan.cold:
                self.engines[at].started = time.monotonic()
            await self.list_engine(at, "ready")
        port = self._free_port()
        if plan.members:
            self.real = {f"n{number}": (self._host(number), port) for number in range(plan.nodes)}
            self.relay = UdpProxy(list(self.real), self.real, self.link_conditions, self._datagram_seen)
        for number in range(plan.nodes):
            self.instances.append(self._instance(number, port))

    async def _place(self, name: str, address: tuple[str, int]) -> tuple[str, int]:
        """Where instances find a server."""
        if not self.plan.gates:
            return address
        gate = TcpProxy(name, address, self.link_conditions)
        await gate.start()
        self.gates.append(gate)
        return gate.address

    @staticmethod
    def _free_port() -> int:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    @staticmethod
    def _host(number: int) -> str:
        """Where an instance listens."""
        return source_address(number).replace("127.1.", "127.2.", 1)

    def _instance(self, number: int, port: int) -> Instance:
        name, plan = f"n{number}", self.plan
        config = {
            "listen": f"{self._host(number)}:{port}",
            "local_address": source_address(number),
            "log": "json",
            "seed": f"{self.random.getrandbits(48):x}",
            "settings": SETTINGS | {"me": number, "fleet_size": plan.nodes},
            "registry": {
                "kind": "etcd",
                "prefix": PREFIX,
                "addresses": [place(address) for address in self.members],
            },
        }
        if self.relay is not None:
            config |= {
                "peer_listen": place(self.real[name]),
                "membership": {},
                "peers": [place(self.relay.addresses[one]) for one in self.real],
            }
        if plan.connects:
            config["startup"] = {"engine_connects": plan.connects}
        program = ManagedProcess(config, name, plan.checkout)
        if plan.snapshot:  # kept in the folder that all lives of this instance share
            config["registry"]["snapshot"] = os.path.join(program.folder.name, "snapshot")
        instance = Instance(number, name, program)
        program.heard = lambda event: self._program_said(instance, event)
        return instance

    async def launch(self, instance: Instance) -> None:
        self.note("launched", who=instance.name)
        instance.ready = instance.confirmed = False
        entry = self.plan.entry if self.plan.entry_of in ("", instance.name) else ()
        await instance.program.launch(*entry)

    async def launch_all(self, over: float = 0.0) -> None:
        """All at once, or one after the other over `over` s."""
        self.mark("launched")
        for instance in self.instances:
            await self.launch(instance)
            if over:
                await asyncio.sleep(over / len(self.instances))

    async def measure_imports(self) -> None:
        """The machine's own share of a start: as many processes that only import the program."""
        began = time.monotonic()
        processes = [
            await asyncio.create_subprocess_exec(
                sys.executable, "-c", IMPORTS, stdout=asyncio.subprocess.PIPE, cwd=self.plan.checkout
            )
            for _ in range(self.plan.nodes)
        ]
        told = await asyncio.gather(*(process.communicate() for process in processes))
        self.import_s = [float(out) - began for out, _ in told]

    async def stop(self) -> None:
        """All that was started ends, also after a failure."""
        for instance in self.instances:
            instance.program.heard = lambda event: None  # that all leave now is no part of the history
            if instance.load is not None:
                instance.load.cancel()
            if instance.clients is not None:
                await instance.clients.stop()
            if instance.program.process is not None and instance.program.process.returncode is None:
                instance.program.process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(self._end(one) for one in self.instances), return_exceptions=True)
        if self.relay is not None:
            self.relay.stop()
        for part in (*self.gates, *self.engines):
            await part.stop()
        await self.service.stop()

    @staticmethod
    async def _end(instance: Instance) -> None:
        process = instance.program.process
        try:
            if process is not None and process.returncode is None:
                process.terminate()
                async with asyncio.timeout(10.0):
                    await process.wait()
        finally:
            await instance.program.end()
            instance.program.folder.cleanup()

    # --- clients --------------------------------------------------------------------------------------------

    async def _serve(self, instance: Instance) -> None:
        """Clients of one instance, from its first listening on until the run ends."""
        plan = self.plan
        instance.clients = Clients(
            instance.program.address,
            Random(self.random.random()),
            plan.clients,
            connections=1,
            again=True,
            effort=400.0,
            repeat=plan.eager,
        )
        await instance.clients.start()
        await instance.clients.run(inf)

    async def settle(self) -> None:
        """No new requests; those that are open get their answers."""
        for instance in self.instances:
            if instance.load is not None:
                instance.load.cancel()
        await asyncio.gather(*(one.clients.settle() for one in self.instances if one.clients is not None))

    def rules(self) -> Counter:
        """What the rules on requests say, over all instances; what an ended one held is its clients' loss."""
        found: Counter = Counter()
        for instance in self.instances:
            if instance.clients is None:
                continue
            ends = instance.killed
            for sent in instance.clients.sent:
                if sent.cut and any(sent.at <= end + 0.5 for end in ends):
                    found["cut_by_ends"] += 1
                elif sent.answers == ["late"] and any(
                    begin < sent.due and sent.due - LAST_WORD < end for begin, end in instance.still
                ):
                    found["late_by_standstill"] += 1  # no process answers while it stands still
                elif not sent.answers or "late" in sent.answers:
                    self.note(
                        "lost",
                        sent.at,
                        who=instance.name,
                        ref=sent.ref,
                        lane=sent.method,
                        answers=sent.answers,
                        cut=round(sent.cut - sent.at, 3) if sent.cut else None,
                    )
            apart = (min(ends), inf) if ends else (inf, -inf)
            found += count_violations(instance.clients, self.engines, apart)
            found["requests"] += len(instance.clients.sent)
            found["served"] += sum("served" in sent.answers for sent in instance.clients.sent)
        found["lost_requests"] -= found["cut_by_ends"] + found["late_by_standstill"]
        return found

    # --- what cases do --------------------------------------------------------------------------------------

    async def list_engine(self, at: int, state: str) -> None:
        """Writes one engine into the list; `gone` deletes it."""
        key = f"{PREFIX}{at}"
        self.states[at] = state
        if state == "gone":
            await self.service.order("delete", key=key)
            return
        await self.service.order("put", key=key, value=json.dumps(self._record(at, state)))

    def _record(self, at: int, state: str) -> dict:
        started = 0.0
        if at < self.plan.cold:
            started = time.time() - (time.monotonic() - self.engines[at].started)
        return {
            "id": f"s-{at + 1:08x}",
            "address": place(self.places[at]),
            "state": state,
            "zone": ZONES[at % len(ZONES)],
            "kind": MACHINE_KINDS[0],
            "started": started,
        }

    async def until(self, what: Callable[[], bool], within: float) -> bool:
        end = self.loop.time() + within
        while not what():
            if self.loop.time() > end:
                return False
            await asyncio.sleep(0.02)
        return True

    def open_sessions(self) -> set[str]:
        """Return the connections (IP:PORT) that members of the list service serve, as it tells."""
        found: set[str] = set()
        for event in self.events:
            if event["event"] == "session":
                found.add(event["caller"])
            elif event["event"] == "session_end":
                found.discard(event["caller"])
        return found

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
        def come_up(one: Instance) -> bool:
            return one.confirmed if self.plan.checkout else one.ready

        return await self.until(lambda: all(map(come_up, self.instances)), within)

    async def drain(self, count: int) -> None:
        """The engines that get most now drain, some at a time, and come back. Not more than the stand-in can
        tell all instances of in a moment: each change is a message to each of them."""
        for _ in range(count):
            lately = time.monotonic() - 2.0
            order = sorted(
                range(self.plan.engines),
                reverse=True,
                key=lambda at: sum(one.at >= lately for one in self.engines[at].arrivals[-100:]),
            )
            busy = order[: max(1, min(self.plan.engines // 10, 300 // self.plan.nodes))]
            for at in busy:
                await self.list_engine(at, "draining")
            await asyncio.sleep(1.0)
            for at in busy:
                await self.list_engine(at, "ready")
            await asyncio.sleep(0.5)

    def _digest(self) -> int:
        """Of the list as it was written, worked out here: not by the program's code."""
        lines = sorted(
            f"{at + 1:08x} {state} {self.places[at]}" for at, state in self.states.items() if state != "gone"
        )
        return crc32("\n".join(lines).encode())

    async def quiet(self) -> None:
        """Every instance that runs must come to the list as it is."""
        wanted, end = self._digest(), self.loop.time() + QUIET
        waiting = [one for one in self.instances if one.program.process.returncode is None]
        while waiting and self.loop.time() < end:
            shown = await asyncio.gather(*(one.program.counters() for one in waiting))
            waiting = [one for one, counts in zip(waiting, shown) if counts.get("registry_digest") != wanted]
            await asyncio.sleep(0.2)
        self.figures["wrong_lists"] += len(waiting)

    def measure_idle(self) -> Callable[[], None]:
        """Processor time and memory of all instances from now until the function returned is called."""
        began, spent, rig, service = time.monotonic(), self._spent(), *self._stand_ins()

        def end() -> None:
            span, (before, _), (after, memory) = time.monotonic() - began, spent, self._spent()
            self.idle = {
                "cpu_ms_s": round((after - before) * 1000 / span / len(self.instances), 2),
                "rss_mb": round(memory / len(self.instances) / 2**20, 1),
            }
            # A stand-in that has no time left is no list service and no engine: its figures do not count.
            self.idle |= {
                name: round((after - before) / span, 2)
                for name, before, after in zip(
                    ("rig_cores", "service_cores"), (rig, service), self._stand_ins()
                )
            }

        return end

    def _stand_ins(self) -> tuple[float, float]:
        """s of processor time of this process and of the list service's."""
        return sum(os.times()[:2]), self._cpu(self.service.process.pid)[0]

    def _spent(self) -> tuple[float, float]:
        """s of processor time and bytes of memory, over all instances."""
        each = [self._cpu(one.program.process.pid) for one in self.instances]
        return sum(cpu for cpu, _ in each), sum(memory for _, memory in each)

    @staticmethod
    def _cpu(process: int) -> tuple[float, float]:
        with open(f"/proc/{process}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        return (
            (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"),
            int(fields[21]) * os.sysconf("SC_PAGE_SIZE"),
        )

    # --- faults ---------------------------------------------------------------------------------------------

    async def play(self, steps: list[f.Step]) -> None:
        await f.play_schedule(steps, self, self._log, time.monotonic)

    def _log(self, at: float, step: f.Step) -> None:
        told = msgspec.to_builtins(step)
        told.pop("at")
        self.note("fault", at, **told)
        self.figures["fault_" + told["do"]] += 1

    def _named(self, patterns: list[str]) -> list[Instance]:
        return [one for one in self.instances if matches_any(one.name, tuple(patterns))]

    async def execute(self, step: f.Step) -> None:
        match step:
            case f.ApplyLinkCondition():
                number = self.link_conditions.apply(tuple(step.sources), tuple(step.targets), step.condition)
                self._conditions_changed()
                await asyncio.sleep(step.duration)
                self.link_conditions.remove(number)
                self._conditions_changed()
            case f.KillProcess():
                await asyncio.gather(
                    *(self._kill(one, step.restart_after) for one in self._named(step.processes))
                )
            case f.TerminateProcess():
                await asyncio.gather(
                    *(self._term(one, step.restart_after) for one in self._named(step.processes))
                )
            case f.PauseProcess():
                await asyncio.gather(*(self._stop(one, step.duration) for one in self._named(step.processes)))
            case f.PauseRepeatedly():
                await asyncio.gather(*(self._stall(one, step) for one in self._named(step.processes)))
            case f.UpgradeProcess():
                await asyncio.gather(
                    *(self._upgrade(one, step.overlap) for one in self._named(step.processes))
                )
            case f.OrderRegistry():
                await self._order(step)

    async def _order(self, step: f.OrderRegistry) -> None:
        """Spans in which the service is away may overlap: it is back when the last one ends."""
        if step.order in ("down", "up"):
            former = self.away
            self.away += 1 if step.order == "down" else -1
            if former and self.away:
                return
        await self.service.order(step.order, **step.values)

    def _conditions_changed(self) -> None:
        for gate in self.gates:
            gate.on_conditions_changed()

    async def _kill(self, instance: Instance, back: float | None) -> None:
        async with instance.turn:
            process = instance.program.process
            instance.killed.append(self.loop.time())
            if process.returncode is None:
                process.kill()
                await process.wait()
            await self._back(instance, "kill", back)

    async def _term(self, instance: Instance, back: float | None) -> None:
        async with instance.turn:
            process = instance.program.process
            instance.killed.append(self.loop.time())
            await instance.program.listening.wait()  # before, the signal would find no one to heed it
            process.terminate()
            await process.wait()
            self.figures["bad_exits"] += bool(process.returncode)
            await self._back(instance, "term", back)

    async def _upgrade(self, instance: Instance, both: float) -> None:
        async with instance.turn:
            former = instance.program.process
            instance.killed.append(self.loop.time())
            await instance.program.launch(*self.plan.entry)
            try:
                await asyncio.sleep(both)
                instance.killed.append(self.loop.time())
            finally:
                former.terminate()
                await former.wait()
            self.figures["bad_exits"] += bool(former.returncode)

    async def _back(self, instance: Instance, how: str, back: float | None) -> None:
        self._ended(instance, how)
        if back is not None:
            await asyncio.sleep(back)
            await self.launch(instance)

    def _ended(self, instance: Instance, how: str) -> None:
        instance.ready = instance.confirmed = False
        self.note("ended", who=instance.name, how=how)

    async def _stop(self, instance: Instance, span: float) -> None:
        process = instance.program.process
        if process.returncode is not None:
            return
        instance.still.append((self.loop.time(), self.loop.time() + span))
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(span)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def _stall(self, instance: Instance, step: f.PauseRepeatedly) -> None:
        for _ in range(step.count):
            began = self.loop.time()
            await self._stop(instance, step.duration)
            await asyncio.sleep(max(0.0, began + step.interval - self.loop.time()))
