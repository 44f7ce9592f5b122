"""Execution of a fault schedule in a simulation, with a history for the checkers."""

from __future__ import annotations

import msgspec

from ..fault_injection import schedule
from ..fault_injection.link_conditions import matches_any
from .engine import Simulation


class FaultPlayer:
    """Executes the steps of a fault schedule, and records the events of the run.

    Steps that send commands to a registry or upgrade a process are not supported.

    Attributes:
        simulation: The simulation in which the faults take place.
        events: The history recorded so far.
    """

    def __init__(self, simulation: Simulation):
        """Create a player with an empty history."""
        self.simulation = simulation
        self.events: list[dict] = []

    def record(self, event: str, **fields: object) -> None:
        """Append an event to the history, at the present simulated time."""
        self.events.append({"at": self.simulation.now, "event": event, **fields})

    def play(self, steps: list[schedule.Step]) -> None:
        """Schedule all steps, with their times relative to now."""
        started_at = self.simulation.now
        for step in steps:
            self.simulation.call_at(started_at + step.at, lambda step=step: self._execute(step))

    def start(self, number: int) -> None:
        """Start a process, and record that."""
        self.record("launched", who=f"n{number}", how="start")
        self.simulation.start(number)

    def end(self, number: int, how: str, restart_after: float | None) -> None:
        """End a process, and record that.

        Args:
            number: Number of the process.
            how: `term` for a graceful shutdown, `kill` for an end without notice.
            restart_after: Seconds until it is restarted; None: never.
        """
        if how == "term":
            self.simulation.leave(number)
        else:
            self.simulation.kill(number)
        self.record("ended", who=f"n{number}", how=how)
        if restart_after is not None:
            self.simulation.call_at(self.simulation.now + restart_after, lambda: self.start(number))

    def _execute(self, step: schedule.Step) -> None:
        fields = msgspec.to_builtins(step)
        fields.pop("at")
        self.record("fault", **fields)
        match step:
            case schedule.ApplyLinkCondition():
                self._apply_link_condition(step)
            case schedule.KillProcess():
                for number in self._matching_processes(step.processes):
                    self.end(number, "kill", step.restart_after)
            case schedule.TerminateProcess():
                for number in self._matching_processes(step.processes):
                    self.end(number, "term", step.restart_after)
            case schedule.PauseProcess():
                for number in self._matching_processes(step.processes):
                    self.simulation.pause(number, step.duration)
            case schedule.PauseRepeatedly():
                self._pause_repeatedly(step)
            case schedule.SendRegistryCommand() | schedule.UpgradeProcess():
                raise ValueError(f"step {fields['do']!r}: the simulation does not support it")

    def _apply_link_condition(self, step: schedule.ApplyLinkCondition) -> None:
        conditions = self.simulation.link_conditions
        number = conditions.apply(tuple(step.sources), tuple(step.targets), step.condition)
        self.simulation.call_at(self.simulation.now + step.duration, lambda: conditions.remove(number))

    def _pause_repeatedly(self, step: schedule.PauseRepeatedly) -> None:
        for repetition in range(step.count):
            pause_at = self.simulation.now + repetition * step.interval
            for number in self._matching_processes(step.processes):
                self.simulation.call_at(
                    pause_at, lambda number=number: self.simulation.pause(number, step.duration)
                )

    def _matching_processes(self, patterns: list[str]) -> list[int]:
        wanted = tuple(patterns)
        return [
            number
            for number, process in enumerate(self.simulation.processes)
            if matches_any(process.name, wanted)
        ]
