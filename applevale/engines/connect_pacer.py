"""Engines come into use one by one: carries out what the ramp says of connections to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from .. import api
from ..discovery.gated_endpoints import GatedEndpoints
from ..startup.connect_schedule import Ramp
from .connection import Fleet


class Openings:
    """Invariant: an engine without a link, to which none may be begun yet, is told to the module as not
    ready; it is told as it is as soon as one may."""

    def __init__(
        self,
        ramp: Ramp,
        fleet: Fleet,
        submit: Callable[[api.EngineList], None],
        held: GatedEndpoints,
        turned: Callable[[], None],
    ):
        self.ramp, self.fleet, self.submit, self.held, self.turned = ramp, fleet, submit, held, turned
        fleet.may_open, fleet.opening, fleet.parted = self.may, self.begun, self.parted
        self.timer: asyncio.TimerHandle | None = None

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    def may(self, engine: int) -> bool:
        return self.ramp.may(engine, self.now())

    def begun(self, engine: int) -> None:
        self.ramp.begun(engine, self.now())

    def parted(self, engine: int) -> None:
        """The last link to it broke, or its first never came up."""
        self.ramp.parted(engine, self.now())
        if self._hide(engine):
            self.submit(self.held.present(engine))
            self.turned()
        self._wait()

    def listed(self) -> None:
        """Before the module hears of a list."""
        present = set(self.fleet.engines) - self.fleet.gone
        self.ramp.listed(present, self.now())
        self.held.awaiting_connect_slot &= present
        for engine in present:
            self._hide(engine)
        self._wait()

    def _hide(self, engine: int) -> bool:
        known = self.fleet.engines.get(engine)
        hidden = known is not None and not known.links and not self.may(engine)
        if hidden:
            self.held.awaiting_connect_slot.add(engine)
        return hidden

    def _wait(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = min(
            (self.ramp.next.get(engine, -inf) for engine in self.held.awaiting_connect_slot), default=None
        )
        self.timer = None
        if due is not None:
            self.timer = asyncio.get_running_loop().call_at(due, self._open)

    def _open(self) -> None:
        for engine in [engine for engine in self.held.awaiting_connect_slot if self.may(engine)]:
            self.held.awaiting_connect_slot.discard(engine)
            self.submit(self.held.present(engine))
        self.turned()
        self._wait()
