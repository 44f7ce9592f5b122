"""Execution of the steps of a fault schedule on a fleet of real processes."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import msgspec

from ..fault_injection import schedule
from ..fault_injection.link_conditions import LinkConditions, matches_any
from ..fault_injection.tcp_proxy import TcpProxy
from .fleet_instance import FleetInstance
from .history_recorder import HistoryRecorder
from .registry_process import RegistryProcess


@dataclass
class FaultTargets:
    """What faults act on; the lists may still grow.

    Attributes:
        instances: The instances whose processes are ended, paused or replaced.
        proxies: The TCP proxies that follow `link_conditions`.
        link_conditions: The faults on the network.
        registry: The registry that receives orders.
        launch: Starts an ended instance again.
        upgrade_entry: The module that an upgraded process runs; empty for the package's own.
    """

    instances: Sequence[FleetInstance]
    proxies: Sequence[TcpProxy]
    link_conditions: LinkConditions
    registry: RegistryProcess
    launch: Callable[[FleetInstance], Awaitable[None]]
    upgrade_entry: tuple[str, ...] = ()


class FaultExecutor:
    """Carries out the steps of a schedule; steps may overlap."""

    def __init__(self, targets: FaultTargets, recorder: HistoryRecorder, stats: Counter):
        """Record faults and ended processes with `recorder`; count faults and bad exit codes in `stats`."""
        self.targets = targets
        self.recorder = recorder
        self.stats = stats
        self.loop = asyncio.get_running_loop()
        self.open_outages = 0  # `down` orders to the registry without their `up`

    async def play(self, steps: list[schedule.Step]) -> None:
        """Carry out the steps of a schedule, each at its time; return when all are over."""
        await schedule.play_schedule(steps, self, self._record_fault, time.monotonic)

    def _record_fault(self, at: float, step: schedule.Step) -> None:
        fields = msgspec.to_builtins(step)
        fields.pop("at")
        self.recorder.record("fault", at, **fields)
        self.stats["fault_" + fields["do"]] += 1

    async def execute(self, step: schedule.Step) -> None:
        """Carry out one step; return when it is over."""
        match step:
            case schedule.ApplyLinkCondition():
                await self._apply_link_condition(step)
            case schedule.KillProcess():
                await self._for_each(
                    step.processes, lambda instance: self._kill(instance, step.restart_after)
                )
            case schedule.TerminateProcess():
                await self._for_each(
                    step.processes, lambda instance: self._terminate(instance, step.restart_after)
                )
            case schedule.PauseProcess():
                await self._for_each(step.processes, lambda instance: self._pause(instance, step.duration))
            case schedule.PauseRepeatedly():
                await self._for_each(step.processes, lambda instance: self._pause_repeatedly(instance, step))
            case schedule.UpgradeProcess():
                await self._for_each(step.processes, lambda instance: self._upgrade(instance, step.overlap))
            case schedule.OrderRegistry():
                await self._order_registry(step)

    async def _for_each(
        self, patterns: list[str], action: Callable[[FleetInstance], Awaitable[None]]
    ) -> None:
        matching = [
            instance for instance in self.targets.instances if matches_any(instance.name, tuple(patterns))
        ]
        await asyncio.gather(*(action(instance) for instance in matching))

    async def _apply_link_condition(self, step: schedule.ApplyLinkCondition) -> None:
        conditions = self.targets.link_conditions
        number = conditions.apply(tuple(step.sources), tuple(step.targets), step.condition)
        self._notify_proxies()
        await asyncio.sleep(step.duration)
        conditions.remove(number)
        self._notify_proxies()

    def _notify_proxies(self) -> None:
        for proxy in self.targets.proxies:
            proxy.on_conditions_changed()

    async def _order_registry(self, step: schedule.OrderRegistry) -> None:
        """Order the registry; outages may overlap, and it is up again when the last of them ends."""
        if step.order in ("down", "up"):
            former = self.open_outages
            self.open_outages += 1 if step.order == "down" else -1
            if former and self.open_outages:
                return
        await self.targets.registry.order(step.order, **step.values)

    async def _kill(self, instance: FleetInstance, restart_after: float | None) -> None:
        async with instance.lifecycle_lock:
            process = instance.program.process
            instance.ended_at.append(self.loop.time())
            if process.returncode is None:
                process.kill()
                await process.wait()
            await self._restart(instance, "kill", restart_after)

    async def _terminate(self, instance: FleetInstance, restart_after: float | None) -> None:
        async with instance.lifecycle_lock:
            process = instance.program.process
            instance.ended_at.append(self.loop.time())
            await instance.program.listening.wait()  # until then it has no handler of the signal
            process.terminate()
            await process.wait()
            self.stats["bad_exits"] += bool(process.returncode)
            await self._restart(instance, "term", restart_after)

    async def _upgrade(self, instance: FleetInstance, overlap: float) -> None:
        async with instance.lifecycle_lock:
            former = instance.program.process
            instance.ended_at.append(self.loop.time())
            await instance.program.launch(*self.targets.upgrade_entry)
            try:
                await asyncio.sleep(overlap)
                instance.ended_at.append(self.loop.time())
            finally:
                former.terminate()
                await former.wait()
            self.stats["bad_exits"] += bool(former.returncode)

    async def _restart(self, instance: FleetInstance, cause: str, restart_after: float | None) -> None:
        """Record the end of a process, and start it again after a delay unless that is None."""
        instance.is_ready = False
        instance.is_confirmed = False
        self.recorder.record("ended", who=instance.name, how=cause)
        if restart_after is not None:
            await asyncio.sleep(restart_after)
            await self.targets.launch(instance)

    async def _pause(self, instance: FleetInstance, duration: float) -> None:
        process = instance.program.process
        if process.returncode is not None:
            return
        instance.pauses.append((self.loop.time(), self.loop.time() + duration))
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(duration)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def _pause_repeatedly(self, instance: FleetInstance, step: schedule.PauseRepeatedly) -> None:
        for _ in range(step.count):
            started_at = self.loop.time()
            await self._pause(instance, step.duration)
            await asyncio.sleep(max(0.0, started_at + step.interval - self.loop.time()))
