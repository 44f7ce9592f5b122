"""The fleet harness: many real processes, a registry, engines and clients, with faults between them.

It causes what a scenario says, and records one history for the checkers, which know nothing of the
application. All processes that it started have ended when `Fleet.stop` returns.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from ..checkers.history import History
from ..fault_injection.schedule import Step
from ..net.addresses import format_address
from . import resource_usage
from .fault_executor import FaultExecutor, FaultTargets
from .fleet_clients import FleetClients
from .fleet_config import FleetNetwork, instance_config
from .fleet_engines import FleetEngines
from .fleet_instance import FleetInstance
from .fleet_links import FleetLinks
from .fleet_plan import FleetPlan
from .history_recorder import HistoryRecorder
from .managed_process import ManagedProcess
from .registry_process import RegistryProcess

CONVERGENCE_TIMEOUT_SECONDS = 8.0  # within which every list of engines is the registry's
POLL_INTERVAL_SECONDS = 0.02
CONVERGENCE_POLL_INTERVAL_SECONDS = 0.2
INSTANCE_SEED_BITS = 48


class Fleet:
    """The processes of a scenario: instances `n0`..., registry members `list0`..., engines `e0`...

    Attributes:
        registry: The registry.
        engines: The engines, and the list of them in the registry.
        instances: The instances, once `start` has returned.
        clients: The clients of the instances.
        figures: What is counted in the run.
        links: The network between all parts, with its faults.
        import_s: Seconds that processes which only import the application took; see `measure_imports`.
        idle: The figures of the last `measure_idle`.
    """

    def __init__(self, plan: FleetPlan):
        """Prepare what `plan` describes; nothing is started yet."""
        self.plan = plan
        self.random = Random(plan.seed)
        self.loop = asyncio.get_running_loop()
        self.figures: Counter = Counter()
        self.recorder = HistoryRecorder(self.figures)
        self.links = FleetLinks(plan, self.recorder)
        self.registry = RegistryProcess(self.recorder.record_registry_event)
        self.engines = FleetEngines(plan, self.registry, self.random)
        self.instances: list[FleetInstance] = []
        self.clients = FleetClients(plan, self.instances, self.recorder, self.random)
        self.import_s: list[float] = []
        self.idle: dict[str, float] = {}
        self.fault_executor = FaultExecutor(
            FaultTargets(
                self.instances,
                self.links.proxies,
                self.links.conditions,
                self.registry,
                self.launch,
                plan.entry,
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
        addresses = map(format_address, self.engines.addresses)
        return self.recorder.history(zip(self.engines.fakes, addresses))

    def violations(self) -> Counter:
        """Return the violations of the rules on requests, and the requests that faults excuse."""
        return self.clients.violations(self.engines.fakes)

    # --- start and end --------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all but the instances."""
        await self.registry.start()
        await self.registry.order("capacity", rate=self.plan.capacity)
        registry_addresses = [
            await self.links.expose(f"list{number}", address)
            for number, address in enumerate(self.registry.addresses)
        ]
        await self.engines.start(self.links.expose)
        network = self.links.create_network(registry_addresses)
        for number in range(self.plan.nodes):
            self.instances.append(self._create_instance(number, network))

    def _create_instance(self, number: int, network: FleetNetwork) -> FleetInstance:
        name = f"n{number}"
        config = instance_config(self.plan, network, number, self.random.getrandbits(INSTANCE_SEED_BITS))
        program = ManagedProcess(config, name, self.plan.checkout)
        if self.plan.snapshot:  # in the folder that all processes of this instance share
            config["registry"]["snapshot"] = os.path.join(program.folder.name, "snapshot")
        instance = FleetInstance(number, name, program)
        program.on_event = lambda event: self._on_instance_event(instance, event)
        return instance

    def _on_instance_event(self, instance: FleetInstance, event: dict) -> None:
        self.recorder.record_instance_event(instance, event)
        if event["event"] == "listening":
            self.clients.start(instance)

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
            instance.program.on_event = lambda event: None  # the end of all is no part of the history
            await self.clients.stop(instance)
            if instance.is_running:
                instance.program.process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(instance.terminate() for instance in self.instances), return_exceptions=True)
        await self.links.stop()
        await self.engines.stop()
        await self.registry.stop()

    # --- what scenarios do ----------------------------------------------------------------------------------

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

    def all_listening(self) -> bool:
        """Return whether each instance has listened since its last start."""
        return all(instance.program.listening.is_set() for instance in self.instances)

    async def run_event_loops(self) -> None:
        """Return once the event loop of each instance has run its timers that are due by now.

        Of two dumps of counters that were written after this the second shows it: between the two, a loop
        runs the timers that are due.

        Raises:
            ManagedProcessError: An instance has ended.
        """

        async def run_event_loop(program: ManagedProcess) -> None:
            for _ in range(2):
                requested_at = time.monotonic()
                await program.counters()
                while program.counters_at < requested_at:  # written by itself, and read only now
                    await program.counters()

        await asyncio.gather(*(run_event_loop(instance.program) for instance in self.instances))

    async def all_ready(self, within: float) -> bool:
        """Wait until all instances are ready; return whether they were within that many seconds."""

        def has_started(instance: FleetInstance) -> bool:
            return instance.is_confirmed if self.plan.checkout else instance.is_ready

        return await self.until(lambda: all(map(has_started, self.instances)), within)

    async def quiet(self) -> None:
        """Wait until every running instance has the list as written; count those that do not get it."""
        expected = self.engines.digest()
        end = self.loop.time() + CONVERGENCE_TIMEOUT_SECONDS
        waiting = [instance for instance in self.instances if instance.is_running]
        while waiting and self.loop.time() < end:
            dumps = await asyncio.gather(*(instance.program.counters() for instance in waiting))
            waiting = [
                instance
                for instance, counters in zip(waiting, dumps)
                if counters.get("registry_digest") != expected
            ]
            await asyncio.sleep(CONVERGENCE_POLL_INTERVAL_SECONDS)
        self.figures["wrong_lists"] += len(waiting)

    def measure_idle(self) -> Callable[[], None]:
        """Measure processor time and memory from now until the function returned is called."""
        meter = resource_usage.UsageMeter(self._process_ids(), self.registry.process.pid)

        def finish() -> None:
            self.idle = meter.finish(self._process_ids())

        return finish

    def _process_ids(self) -> list[int]:
        return [instance.program.process.pid for instance in self.instances]

    async def measure_imports(self) -> None:
        """Measure the machine's own part of a start of this many processes."""
        self.import_s = await resource_usage.measure_imports(self.plan.nodes, self.plan.checkout)

    async def play(self, steps: list[Step]) -> None:
        """Carry out the steps of a fault schedule; return when all are over."""
        await self.fault_executor.play(steps)
