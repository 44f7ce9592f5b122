"""Playback of a fault schedule on a simulation, and the history that checkers read."""

from __future__ import annotations

import msgspec

from ..fault_injection import schedule
from ..fault_injection.link_conditions import matches_any
from .engine import Simulation


class FaultPlayer:
    """Executes the steps of a fault schedule and records the events of the run.

    Steps that act on a registry or upgrade a process have no meaning in a simulation.
    """

    def __init__(self, simulation: Simulation):
        """Create a player with an empty history.

        Args:
            simulation: Where the faults take place.
        """
        self.simulation = simulation
        self.events: list[dict] = []

    def note(self, event: str, **fields: object) -> None:
        """Append an event of the present time to the history."""
        self.events.append({"at": self.simulation.now, "event": event, **fields})

    def play(self, steps: list[schedule.Step]) -> None:
        """Schedule all steps, with times that count from now."""
        started_at = self.simulation.now
        for step in steps:
            self.simulation.call_at(started_at + step.at, lambda step=step: self._execute(step))

    def start(self, number: int) -> None:
        """Start a process and record it."""
        self.note("launched", who=f"n{number}", how="start")
        self.simulation.start(number)

    def end(self, number: int, how: str, restart_after: float | None) -> None:
        """End a process and record it.

        Args:
            number: The process.
            how: `term` for an orderly shutdown, `kill` for an end without notice.
            restart_after: Seconds until it starts again; None: never.
        """
        if how == "term":
            self.simulation.leave(number)
        else:
            self.simulation.kill(number)
        self.note("ended", who=f"n{number}", how=how)
        if restart_after is not None:
            self.simulation.call_at(self.simulation.now + restart_after, lambda: self.start(number))

    def _execute(self, step: schedule.Step) -> None:
        fields = msgspec.to_builtins(step)
        fields.pop("at")
        self.note("fault", **fields)
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
            case schedule.OrderRegistry() | schedule.UpgradeProcess():
                raise ValueError(f"{fields['do']}: not supported by the simulation")

    def _apply_link_condition(self, step: schedule.ApplyLinkCondition) -> None:
        conditions = self.simulation.link_conditions
        number = conditions.apply(tuple(step.sources), tuple(step.targets), step.condition)
        self.simulation.call_at(self.simulation.now + step.duration, lambda: conditions.remove(number))

    def _pause_repeatedly(self, step: schedule.PauseRepeatedly) -> None:
        for turn in range(step.count):
            pause_at = self.simulation.now + turn * step.interval
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
