"""Plays a schedule of faults on a world, and keeps the history that checkers read."""

from __future__ import annotations

import msgspec

from ..fault_injection import schedule as f
from ..fault_injection.link_conditions import matches_any
from .engine import World


class Stage:
    """Steps of fault_injection/schedule.py; those to a list service have no meaning here."""

    def __init__(self, world: World):
        self.world = world
        self.events: list[dict] = []

    def note(self, event: str, **fields: object) -> None:
        self.events.append({"at": self.world.now, "event": event, **fields})

    def play(self, steps: list[f.Step]) -> None:
        """From now on, as time goes."""
        begin = self.world.now
        for step in steps:
            self.world.at(begin + step.at, lambda step=step: self._do(step))

    def _do(self, step: f.Step) -> None:
        told = msgspec.to_builtins(step)
        told.pop("at")
        self.note("fault", **told)
        match step:
            case f.ApplyLinkCondition():
                number = self.world.link_conditions.apply(
                    tuple(step.sources), tuple(step.targets), step.condition
                )
                self.world.at(
                    self.world.now + step.duration, lambda: self.world.link_conditions.remove(number)
                )
            case f.KillProcess():
                for number in self._named(step.processes):
                    self.end(number, "kill", step.restart_after)
            case f.TerminateProcess():
                for number in self._named(step.processes):
                    self.end(number, "term", step.restart_after)
            case f.PauseProcess():
                for number in self._named(step.processes):
                    self.world.pause(number, step.duration)
            case f.PauseRepeatedly():
                for turn in range(step.count):
                    for number in self._named(step.processes):
                        self.world.at(
                            self.world.now + turn * step.interval,
                            lambda number=number: self.world.pause(number, step.duration),
                        )
            case f.OrderRegistry() | f.UpgradeProcess():
                raise ValueError(f"{told['do']}: no part of this world")

    def _named(self, patterns: list[str]) -> list[int]:
        return [at for at, place in enumerate(self.world.places) if matches_any(place.name, tuple(patterns))]

    def start(self, number: int) -> None:
        self.note("launched", who=f"n{number}", how="start")
        self.world.start(number)

    def end(self, number: int, how: str, back: float | None) -> None:
        if how == "term":
            self.world.leave(number)
        else:
            self.world.kill(number)
        self.note("ended", who=f"n{number}", how=how)
        if back is not None:
            self.world.at(self.world.now + back, lambda: self.start(number))
