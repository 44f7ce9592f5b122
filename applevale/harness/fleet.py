"""The fleet harness: many real processes with a registry, engines and clients, and faults on all of them.

A scenario drives the fleet. The fleet records a single history of the run, which the checkers evaluate
without any code of the application. `Fleet.stop` ends all processes that were started.
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

CONVERGENCE_TIMEOUT_SECONDS = 8.0  # for all engine lists to match the registry
POLL_INTERVAL_SECONDS = 0.02
CONVERGENCE_POLL_INTERVAL_SECONDS = 0.2
INSTANCE_SEED_BITS = 48


class Fleet:
    """A fleet: instances named `n0`..., registry members named `list0`... and engines named `e0`...

    Attributes:
        registry: The process of the fake registry.
        engines: The fake engines and their records in the registry.
        instances: The instances; empty until `start` creates them.
        clients: The clients of the instances.
        figures: Counts of the run, by name.
        links: The network between all parts, with its proxies and faults.
        import_seconds: Results of `measure_imports`: for each process, the seconds it took to start and
            import the application.
        idle_usage: Figures of the last measurement by `measure_idle`.
    """

    def __init__(self, plan: FleetPlan):
        """Prepare the fleet that `plan` describes, without starting anything."""
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
        self.import_seconds: list[float] = []
        self.idle_usage: dict[str, float] = {}
        self.fault_executor = FaultExecutor(
            FaultTargets(
                self.instances,
                self.links.proxies,
                self.links.conditions,
                self.registry,
                self.launch,
                plan.entry_point,
            ),
            self.recorder,
            self.figures,
        )

    @property
    def events(self) -> list[dict]:
        """The events recorded so far, without those that `history` reads from the engines."""
        return self.recorder.events

    def mark(self, name: str) -> None:
        """Record a named point in time of the scenario, such as the start or end of a phase."""
        self.recorder.record("mark", name=name)

    def history(self) -> History:
        """Return the history of the run, with the events seen by the engines."""
        addresses = map(format_address, self.engines.addresses)
        return self.recorder.history(zip(self.engines.fakes, addresses))

    def violations(self) -> Counter:
        """Return the counts of violated request rules, and of failed requests that a fault explains."""
        return self.clients.violations(self.engines.fakes)

    async def start(self) -> None:
        """Start the registry, engines and proxies, and create the instances without starting them."""
        await self.registry.start()
        await self.registry.send_command("capacity", rate=self.plan.registry_reads_per_second)
        registry_addresses = [
            await self.links.expose(f"list{number}", address)
            for number, address in enumerate(self.registry.addresses)
        ]
        await self.engines.start(self.links.expose)
        network = self.links.create_network(registry_addresses)
        for number in range(self.plan.instance_count):
            self.instances.append(self._create_instance(number, network))

    def _create_instance(self, number: int, network: FleetNetwork) -> FleetInstance:
        name = f"n{number}"
        config = instance_config(self.plan, network, number, self.random.getrandbits(INSTANCE_SEED_BITS))
        program = ManagedProcess(config, name, self.plan.checkout)
        if self.plan.store_snapshots:  # in the folder that the instance keeps over its restarts
            config["registry"]["snapshot"] = os.path.join(program.folder.name, "snapshot")
        instance = FleetInstance(number, name, program)
        program.on_event = lambda event: self._on_instance_event(instance, event)
        return instance

    def _on_instance_event(self, instance: FleetInstance, event: dict) -> None:
        self.recorder.record_instance_event(instance, event)
        if event["event"] == "listening":
            self.clients.start(instance)

    async def launch(self, instance: FleetInstance) -> None:
        """Start the process of an instance without waiting until it listens."""
        self.recorder.record("launched", who=instance.name)
        instance.is_ready = False
        instance.is_confirmed = False
        entry_point = self.plan.entry_point if self.plan.entry_point_instance in ("", instance.name) else ()
        await instance.program.launch(*entry_point)

    async def launch_all(self, spread_seconds: float = 0.0) -> None:
        """Start all instances: at once, or evenly spread over `spread_seconds`."""
        self.mark("launched")
        for instance in self.instances:
            await self.launch(instance)
            if spread_seconds:
                await asyncio.sleep(spread_seconds / len(self.instances))

    async def stop(self) -> None:
        """Stop everything that was started, also after a failure."""
        for instance in self.instances:
            instance.program.on_event = lambda event: None  # the shutdown does not belong to the history
            await self.clients.stop(instance)
            if instance.is_running:
                instance.program.process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(instance.terminate() for instance in self.instances), return_exceptions=True)
        await self.links.stop()
        await self.engines.stop()
        await self.registry.stop()

    async def wait_until(self, condition: Callable[[], bool], timeout: float) -> bool:
        """Wait until `condition` holds, for `timeout` seconds at most; return whether it holds."""
        end = self.loop.time() + timeout
        while not condition():
            if self.loop.time() > end:
                return False
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return True

    def open_sessions(self) -> set[str]:
        """Return the client addresses (IP:PORT) of all open connections to the registry."""
        return self.recorder.open_sessions()

    def are_all_listening(self) -> bool:
        """Return whether each instance has reported to listen since its last start."""
        return all(instance.program.listening.is_set() for instance in self.instances)

    async def wait_for_due_timers(self) -> None:
        """Wait until each instance has run all timers that are due at the time of the call.

        An event loop runs all due timers between two counter dumps. So the second dump that an instance
        writes after the call shows that its timers have run.

        Raises:
            ManagedProcessError: An instance has ended.
        """

        async def dump_after_due_timers(program: ManagedProcess) -> None:
            for _ in range(2):
                requested_at = time.monotonic()
                await program.counters()
                while program.counters_at < requested_at:  # an earlier dump, written without a request
                    await program.counters()

        await asyncio.gather(*(dump_after_due_timers(instance.program) for instance in self.instances))

    async def wait_until_ready(self, timeout: float) -> bool:
        """Wait until all instances are ready, for `timeout` seconds at most; return whether they are.

        With `plan.checkout`, an instance counts as ready once its engine list is confirmed.
        """

        def has_started(instance: FleetInstance) -> bool:
            return instance.is_confirmed if self.plan.checkout else instance.is_ready

        return await self.wait_until(lambda: all(map(has_started, self.instances)), timeout)

    async def wait_for_convergence(self) -> None:
        """Wait until the engine list of each running instance matches the registry.

        Instances whose list does not match in time are counted in the figure `wrong_lists`.
        """
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
        """Start to measure processor time and memory; calling the returned function ends the measurement."""
        meter = resource_usage.UsageMeter(self._process_ids(), self.registry.process.pid)

        def finish() -> None:
            self.idle_usage = meter.finish(self._process_ids())

        return finish

    def _process_ids(self) -> list[int]:
        return [instance.program.process.pid for instance in self.instances]

    async def measure_imports(self) -> None:
        """Measure how long this machine takes to start all processes, apart from what they do then."""
        self.import_seconds = await resource_usage.measure_imports(
            self.plan.instance_count, self.plan.checkout
        )

    async def play(self, steps: list[Step]) -> None:
        """Execute the steps of a fault schedule; return when the last one has ended."""
        await self.fault_executor.play(steps)
