"""Membership in the emulator: a fleet that lives through a course of faults, and its history."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from ..fault_injection.scenarios import scenario_duration, scenario_steps
from ..membership import codec, messages
from ..membership.commands import Command, SendMessage, StatusChanged, ViewChanged
from ..membership.config import ProtocolConfig
from ..membership.fleet_size import EffectiveFleetSize
from ..membership.protocol import MembershipProtocol
from ..membership.suspicion import SuspicionTimeouts
from .engine import World
from .fault_player import Stage

JOIN = 4.0  # s for all to have joined
SETTLE = 6.0  # s behind the last fault
LOOKED = 0.1  # s between two looks at the sum of all shares

VERSIONS = {
    "fleet": ProtocolConfig(),
    "swim": ProtocolConfig(
        monitors_itself=False,
        min_relayed_observers=1,
        verifier_count=0.0,
        final_check_lead=0.0,
        max_final_check_fleet=0,
        timeouts=SuspicionTimeouts(required_observers=1, fast_observers=1),
    ),
    "heartbeats": ProtocolConfig(heartbeat_interval=0.5, monitors_itself=False),
}


class Fleet:
    """A world of members."""

    def __init__(
        self,
        count: int,
        seed: int,
        config: ProtocolConfig | None = None,
        latency: tuple[float, float] = (0.0003, 0.003),
        liar: type[MembershipProtocol] | None = None,
        known: bool = False,
    ):
        """Create a fleet that has not started yet.

        Args:
            count: Members.
            seed: Seed of all random draws.
            config: Parameters of the protocol; None: the defaults.
            latency: The least and the greatest latency of a datagram, in seconds.
            liar: Another class for the first member's protocol, with a planted fault.
            known: Whether all know each other from the first moment, without the traffic of their start.
        """
        self.known = known
        self.config = config or ProtocolConfig()
        self.liar = liar
        self.seed = seed
        self.count = count
        self.world = World(count, seed, self._make, self._route, self._seen, latency=latency)
        self.stage = Stage(self.world)
        self.process_ids = [self._process_id(number, 1) for number in range(count)]
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
                    shares.update(
                        place.local(self.world.now), place.actor.view.size, place.actor.is_view_reliable
                    )
                total += 1 / shares.size
        self.stage.note("shares", total=total)
        self.world.at(self.world.now + LOOKED, self._look_at_shares)

    def _make(self, number: int, start_count: int) -> MembershipProtocol:
        random = Random(f"{self.seed} {number} {start_count}")
        is_liar = self.liar is not None and number == 0
        protocol_class = self.liar if is_liar else MembershipProtocol
        process_id = self._process_id(number, start_count)
        protocol = protocol_class(number, self.count, process_id, random, self.config)
        if self.known and start_count == 1:
            protocol.start = lambda now: protocol.start_joined(now, self.process_ids)
        return protocol

    def _process_id(self, number: int, start_count: int) -> int:
        return Random(f"life {self.seed} {number} {start_count}").getrandbits(16)

    @staticmethod
    def _route(command: Command) -> tuple[int, messages.Message, int] | None:
        if isinstance(command, SendMessage):
            return command.target, command.message, codec.encoded_size(command.message)
        return None

    def _seen(self, now: float, number: int, command: Command) -> None:
        match command:
            case ViewChanged(changes=changes):
                self.stage.note(
                    "view",
                    who=f"n{number}",
                    changes=[(f"n{one.member}", one.change.value) for one in changes],
                )
            case StatusChanged(status=status):
                self.stage.note("stand", who=f"n{number}", stand=status.value)

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
                living = tuple(one.member for one in place.actor.view.alive_members())
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
