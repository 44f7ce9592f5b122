"""Membership in the emulator: a fleet that lives through a course of faults, and its history."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from ..fault_injection.scenarios import scenario_duration, scenario_steps
from ..membership import codec, messages
from ..membership.fleet_size import EffectiveFleetSize
from ..membership.protocol import Command, Membership, Pace, Send, Stood, Turned
from ..membership.suspicion import Times
from .engine import World
from .fault_player import Stage

JOIN = 4.0  # s for all to have joined
SETTLE = 6.0  # s behind the last fault
LOOKED = 0.1  # s between two looks at the sum of all shares

VERSIONS = {
    "fleet": Pace(),
    "swim": Pace(self_look=False, share=1, checkers=0.0, last=0.0, few=0, times=Times(need=1, many=1)),
    "heartbeats": Pace(heartbeats=0.5, self_look=False),
}


class Fleet:
    """A world of members."""

    def __init__(
        self,
        count: int,
        seed: int,
        pace: Pace | None = None,
        latency: tuple[float, float] = (0.0003, 0.003),
        machine: type[Membership] = Membership,
        liar: type[Membership] | None = None,
        known: bool = False,
    ):
        """`machine`: another class of machine for all, `liar`: for the first one (planted faults); `known`:
        all know each other from the first moment, without the traffic of their start."""
        self.known = known
        self.pace, self.machine, self.liar, self.seed = pace or Pace(), machine, liar, seed
        self.count = count
        self.world = World(count, seed, self._make, self._route, self._seen, latency=latency)
        self.stage = Stage(self.world)
        self.lives = [self._life(number, 1) for number in range(count)]
        self.shares: dict[tuple[int, int], EffectiveFleetSize] = {}
        self.buckets: dict[tuple[int, int], list[int]] = defaultdict(lambda: [0, 0, 0])  # bytes, most, count
        self.world.sent = self._sent

    def _look_at_shares(self) -> None:
        """What all take together of what they share, as a part of the whole."""
        total = 0.0
        for number, place in enumerate(self.world.places):
            if place.actor is not None:
                shares = self.shares.setdefault((number, place.life), EffectiveFleetSize(self.count))
                if self.world.now >= place.paused_until:
                    shares.update(place.local(self.world.now), place.actor.size, place.actor.well)
                total += 1 / shares.size
        self.stage.note("shares", total=total)
        self.world.at(self.world.now + LOOKED, self._look_at_shares)

    def _make(self, number: int, life: int) -> Membership:
        random = Random(f"{self.seed} {number} {life}")
        kind = self.liar if self.liar is not None and number == 0 else self.machine
        made = kind(number, self.count, self._life(number, life), random, self.pace)
        if self.known and life == 1:
            made.begin = lambda now: made.begin_known(now, self.lives)
        return made

    def _life(self, number: int, life: int) -> int:
        return Random(f"life {self.seed} {number} {life}").getrandbits(16)

    @staticmethod
    def _route(command: Command) -> tuple[int, messages.Message, int] | None:
        if isinstance(command, Send):
            return command.target, command.message, codec.encoded_size(command.message)
        return None

    def _seen(self, now: float, number: int, command: Command) -> None:
        match command:
            case Turned(changes=changes):
                self.stage.note(
                    "view", who=f"n{number}", changes=[(f"n{one}", change.value) for one, change in changes]
                )
            case Stood(stand=stand):
                self.stage.note("stand", who=f"n{number}", stand=stand.value)

    def _sent(self, now: float, number: int, size: int) -> None:
        bucket = self.buckets[number, int(now * 10)]
        bucket[0] += size
        bucket[1] = max(bucket[1], size)
        bucket[2] += 1

    def run(self, name: str) -> list[dict]:
        """A course from the start of all, within a second, to rest; its history."""
        world, stage = self.world, self.stage
        over = 0.05 if self.known else 1.0
        for number in range(self.count):
            begin = over * Random(f"{self.seed} {number}").random()
            world.at(begin, lambda number=number: stage.start(number))
        world.run(JOIN)
        stage.note("mark", name="joined")
        self._look_at_shares()
        steps = scenario_steps(name, self.count, self.seed)
        stage.play(steps)
        world.run(JOIN + scenario_duration(steps) + SETTLE)
        views: dict[tuple[int, ...], list[str]] = {}  # equal ones once: of thousands they are large
        for number, place in enumerate(world.places):
            if place.actor is not None:
                living = tuple(one for one, _ in place.actor.view())
                view = views.setdefault(living, [f"n{one}" for one in living])
                stage.note("held", who=f"n{number}", view=view)
        sent = [
            {
                "at": tenth / 10,
                "event": "sent",
                "who": f"n{number}",
                "bytes": size,
                "most": most,
                "count": count,
            }
            for (number, tenth), (size, most, count) in self.buckets.items()
        ]
        return stage.events + sent
