"""Carries out what the membership decides: its datagrams, its timer, and who is told of the view."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable

from ..net.datagrams import Datagrams
from ..observability.counters import Counters
from ..observability.events import emit_event, log_event
from . import codec
from .fleet_size import EffectiveFleetSize
from .protocol import Command, Membership, Send, Stand, Stood, Turned


class Members:
    """The clock is the steady one that counts the sleep of a suspended machine too."""

    def __init__(
        self,
        machine: Membership,
        shares: EffectiveFleetSize,
        datagrams: Datagrams,
        counters: Counters,
        resized: Callable[[int], None],
    ):
        self.machine, self.shares, self.datagrams, self.counters = machine, shares, datagrams, counters
        self.resized = resized  # called with the size that shares are reckoned by, when it turns
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        datagrams.takers[codec.MAGIC] = self._take

    @staticmethod
    def clock() -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self) -> None:
        self._do(self.machine.begin(self.clock()))

    def leave(self) -> None:
        """A clean end: all are told."""
        self._do(self.machine.leave(self.clock()))

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def show(self) -> None:
        for name, count in vars(self.machine.figures).items():
            self.counters[f"members_{name}"] = count
        self.counters["members_living"] = self.machine.size
        self.counters["members_changes"] = self.machine.changes
        emit_event(
            "members",
            stand=self.machine.stand.value,
            view=self.machine.view(),
            digest=self.machine.records.digest,
            share_of=self.shares.size,
        )

    def _take(self, number: int, data: bytes) -> None:
        try:
            message = codec.decode(data)
        except codec.MessageError as error:
            self.datagrams.unreadable(self.datagrams.addresses.each[number], str(error))
            return
        self._do(self.machine.heard(self.clock(), number, message))

    def _tick(self) -> None:
        self._do(self.machine.ticked(self.clock()))

    def _do(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Send(target=target, message=message):
                    self.datagrams.send(codec.encode(message), self.datagrams.addresses.each[target])
                case Turned(changes=changes):
                    told = [(f"n{one}", change.value) for one, change in changes]
                    emit_event("view", changes=told, living=self.machine.size)
                    log_event(
                        "membership",
                        f"{self.machine.size} live: "
                        + ", ".join(f"{name} {change}" for name, change in told[:8])
                        + (" …" if told[8:] else ""),
                    )
                case Stood(stand=stand):
                    emit_event("stand", stand=stand.value)
                    if stand is not Stand.PAUSED:
                        log_event("membership", f"this one is {stand.value}, of {self.machine.size}")
        self._look()

    def _look(self) -> None:
        now = self.clock()
        former, size = self.shares.size, self.shares.update(now, self.machine.size, self.machine.well)
        if size != former:
            self.resized(size)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = min(self.machine.next_look(now), self.shares.next_deadline)
        if not self.stopped and due < float("inf"):
            self.timer = asyncio.get_running_loop().call_later(max(0.0, due - now), self._tick)


def new_life() -> int:
    """The mark of this process, which no former one of the name has had lately."""
    return int.from_bytes(os.urandom(2), "big")
