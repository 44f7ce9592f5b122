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
    """The parts of a fleet on which faults act. The lists may still grow.

    Attributes:
        instances: The instances whose processes are killed, terminated, paused or upgraded.
        proxies: The TCP proxies that apply `link_conditions`.
        link_conditions: The active network faults.
        registry: The fake registry.
        launch: Starts the process of an instance that has ended.
        upgrade_entry_point: Module that an upgraded process runs, and its arguments; empty for the
            application itself.
    """

    instances: Sequence[FleetInstance]
    proxies: Sequence[TcpProxy]
    link_conditions: LinkConditions
    registry: RegistryProcess
    launch: Callable[[FleetInstance], Awaitable[None]]
    upgrade_entry_point: tuple[str, ...] = ()


class FaultExecutor:
    """Executes the steps of a fault schedule, which may overlap in time."""

    def __init__(self, targets: FaultTargets, recorder: HistoryRecorder, figures: Counter):
        """Create an executor for the running event loop.

        Args:
            targets: The parts of the fleet on which the faults act.
            recorder: Records faults and ends of processes.
            figures: Counts the faults of each kind (`fault_KIND`) and the exit codes other than 0.
        """
        self.targets = targets
        self.recorder = recorder
        self.figures = figures
        self.loop = asyncio.get_running_loop()
        self.open_outages = 0  # registry outages that have begun and not ended

    async def play(self, steps: list[schedule.Step]) -> None:
        """Execute all steps, each at its time; return when the last one has ended."""
        await schedule.play_schedule(steps, self, self._record_fault, time.monotonic)

    def _record_fault(self, at: float, step: schedule.Step) -> None:
        fields = msgspec.to_builtins(step)
        fields.pop("at")
        self.recorder.record("fault", at, **fields)
        self.figures["fault_" + fields["do"]] += 1

    async def execute(self, step: schedule.Step) -> None:
        """Execute one step; return when it has ended."""
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
            case schedule.SendRegistryCommand():
                await self._send_registry_command(step)

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

    async def _send_registry_command(self, step: schedule.SendRegistryCommand) -> None:
        """Send a command to the registry.

        Outages may overlap: the registry goes down with the first and comes up when the last one ends.
        """
        if step.command in ("down", "up"):
            outages_before = self.open_outages
            self.open_outages += 1 if step.command == "down" else -1
            if outages_before and self.open_outages:
                return
        await self.targets.registry.send_command(step.command, **step.values)

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
            await instance.program.listening.wait()  # the signal handler is installed before that
            process.terminate()
            await process.wait()
            self.figures["bad_exits"] += bool(process.returncode)
            await self._restart(instance, "term", restart_after)

    async def _upgrade(self, instance: FleetInstance, overlap: float) -> None:
        """Start a new process beside the old one, and terminate the old one `overlap` seconds later."""
        async with instance.lifecycle_lock:
            former = instance.program.process
            instance.ended_at.append(self.loop.time())
            await instance.program.launch(*self.targets.upgrade_entry_point)
            try:
                await asyncio.sleep(overlap)
                instance.ended_at.append(self.loop.time())
            finally:
                former.terminate()
                await former.wait()
            self.figures["bad_exits"] += bool(former.returncode)

    async def _restart(self, instance: FleetInstance, cause: str, restart_after: float | None) -> None:
        """Record the end of a process, and restart it after `restart_after` seconds unless that is None."""
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
