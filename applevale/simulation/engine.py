"""Simulated time for many machines of one kind: messages, timers, clocks, pauses, restarts. Nothing here
knows which machine it drives.

Invariants:

- The same seed and the same faults play the same course.
- Each actor sees its own clock only, which runs at a rate of its own; so does its sleep until
  `next_deadline`.
- What reaches an actor that stands still waits, up to the room of a socket, and comes when it goes on, some
  at a time, with its timer in between: as a loop reads its sockets.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from random import Random
from typing import Any, Protocol

from ..fault_injection.link_conditions import LinkConditions

AT_ONCE = 64  # that one reads before its timers have their turn
ROOM = 400  # datagrams that wait for an actor that stands still


class Actor(Protocol):
    """A machine: times in, commands out."""

    def start(self, now: float) -> list[Any]: ...
    def on_message(self, now: float, sender: int, message: Any) -> list[Any]: ...
    def on_tick(self, now: float) -> list[Any]: ...
    def leave(self, now: float) -> list[Any]: ...
    def next_deadline(self) -> float: ...


@dataclass
class Place:
    """Where an actor runs."""

    name: str
    rate: float  # of its clock, against the world's time
    offset: float
    actor: Actor | None = None
    life: int = 0  # counts its starts
    look: int = 0  # the timer that counts; former ones do not
    paused_until: float = 0.0
    waiting: deque = field(default_factory=deque)

    def local(self, now: float) -> float:
        return self.offset + self.rate * now

    def world(self, local: float) -> float:
        return (local - self.offset) / self.rate


class World:
    """`make`: a new actor for a number and its start's count; `route`: a command as (target, message, bytes),
    or None where it is for `seen`, which is told (time, number, command)."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: Callable[[int, int], Actor],
        route: Callable[[Any], tuple[int, Any, int] | None],
        seen: Callable[[float, int, Any], None],
        drift: float = 1e-4,
        latency: tuple[float, float] = (0.0003, 0.003),
    ):
        self.random = Random(seed)
        self.link_conditions = LinkConditions(seed)
        self.make, self.route, self.seen = make, route, seen
        self.latency = latency
        self.now = 0.0
        self.places = [
            Place(f"n{at}", 1 + self.random.uniform(-drift, drift), self.random.uniform(0, 1e6))
            for at in range(count)
        ]
        self.queue: list[tuple] = []
        self.events = 0
        self.sent: Callable[[float, int, int], None] = lambda now, number, size: None
        self.figures: Counter = Counter()

    # --- what schedules do ----------------------------------------------------------------------------------

    def at(self, when: float, act: Callable[[], None]) -> None:
        self._push(when, act)

    def start(self, number: int) -> None:
        place = self.places[number]
        place.life += 1
        place.actor, place.paused_until = self.make(number, place.life), 0.0
        place.waiting.clear()
        self._carry(number, place.actor.start(place.local(self.now)))

    def kill(self, number: int) -> None:
        self.places[number].actor = None
        self.places[number].look += 1

    def leave(self, number: int) -> None:
        """A clean end."""
        place = self.places[number]
        if place.actor is not None:
            self._carry(number, place.actor.leave(place.local(self.now)))
            self.kill(number)

    def pause(self, number: int, span: float) -> None:
        place = self.places[number]
        if place.actor is not None:
            place.paused_until = max(place.paused_until, self.now + span)
            self._push(place.paused_until, self._resume, number, place.life)

    # --- the course -----------------------------------------------------------------------------------------

    def run(self, until: float) -> None:
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, act, args = heappop(queue)
            act(*args)
        self.now = until

    def _push(self, when: float, act: Callable[..., None], *args: object) -> None:
        self.events += 1
        heappush(self.queue, (max(when, self.now), self.events, act, args))

    def _resume(self, number: int, life: int) -> None:
        place = self.places[number]
        if place.actor is None or place.life != life or self.now < place.paused_until:
            return
        for _ in range(min(AT_ONCE, len(place.waiting))):
            sender, message = place.waiting.popleft()
            self._hear(number, sender, message)
        self._look(number, place.look)
        if place.waiting:
            self._push(self.now, self._resume, number, life)

    def _arrive(self, number: int, sender: int, message: Any) -> None:
        place = self.places[number]
        if place.actor is None:
            return
        if self.now < place.paused_until or place.waiting:
            if len(place.waiting) < ROOM:
                place.waiting.append((sender, message))
            return
        self._hear(number, sender, message)

    def _hear(self, number: int, sender: int, message: Any) -> None:
        place = self.places[number]
        self._carry(number, place.actor.on_message(place.local(self.now), sender, message))

    def _look(self, number: int, look: int) -> None:
        place = self.places[number]
        if place.actor is None or place.look != look or self.now < place.paused_until:
            return
        self._carry(number, place.actor.on_tick(place.local(self.now)))

    def _carry(self, number: int, commands: list[Any]) -> None:
        place = self.places[number]
        for command in commands:
            routed = self.route(command)
            if routed is None:
                self.seen(self.now, number, command)
            else:
                self._transmit(number, *routed)
        due = place.actor.next_deadline()
        place.look += 1
        if due < inf:
            self._push(place.world(due), self._look, number, place.look)

    def _transmit(self, number: int, target: int, message: Any, size: int) -> None:
        self.sent(self.now, number, size)
        self.figures["messages"] += 1
        least, most = self.latency
        for wait in self.link_conditions.datagram_delays(
            self.now, self.places[number].name, self.places[target].name, size
        ):
            self._push(
                self.now + wait + least + (most - least) * self.random.random(),
                self._arrive,
                target,
                number,
                message,
            )
