"""Plays a schedule of faults on a world, and keeps the history that checkers read."""

from __future__ import annotations

import msgspec

from ..fault_injection import schedule as f
from ..fault_injection.link_conditions import matches
from .engine import World


class Stage:
    """Steps as of faults/schedule.py; those to a list service have no meaning here."""

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
            case f.Link():
                number = self.world.fates.put(tuple(step.sources), tuple(step.targets), step.fate)
                self.world.at(self.world.now + step.span, lambda: self.world.fates.lift(number))
            case f.Kill():
                for number in self._named(step.who):
                    self.end(number, "kill", step.back)
            case f.Term():
                for number in self._named(step.who):
                    self.end(number, "term", step.back)
            case f.Stop():
                for number in self._named(step.who):
                    self.world.pause(number, step.span)
            case f.Stall():
                for turn in range(step.times):
                    for number in self._named(step.who):
                        self.world.at(
                            self.world.now + turn * step.apart,
                            lambda number=number: self.world.pause(number, step.span),
                        )
            case f.Service() | f.Upgrade():
                raise ValueError(f"{told['do']}: no part of this world")

    def _named(self, patterns: list[str]) -> list[int]:
        return [at for at, place in enumerate(self.world.places) if matches(place.name, tuple(patterns))]

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
