"""Simulation of the membership protocol: a fleet runs a fault scenario and records a history."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from random import Random

from ..fault_injection.scenarios import scenario_duration, scenario_steps
from ..membership import codec, messages
from ..membership.commands import Command, SendMessage, StatusChanged, ViewChanged
from ..membership.config import ProtocolConfig
from ..membership.fleet_size import EffectiveFleetSize
from ..membership.protocol import MembershipProtocol
from ..membership.suspicion import SuspicionTimeouts
from .engine import Simulation
from .fault_player import FaultPlayer

JOIN_SECONDS = 4.0  # for all members to start and join
SETTLE_SECONDS = 6.0  # after the last fault, before the run ends
START_SPREAD_SECONDS = 1.0  # period in which all members start
JOINED_START_SPREAD_SECONDS = 0.05  # the same period if all know each other from the start
SHARE_SAMPLE_INTERVAL_SECONDS = 0.1
SENT_BUCKETS_PER_SECOND = 10

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


@dataclass(slots=True)
class SentTotals:
    """The datagrams that one member sent within one time bucket.

    Attributes:
        total: Size of all datagrams, in bytes.
        largest: Size of the largest datagram, in bytes.
        count: Number of datagrams.
    """

    total: int = 0
    largest: int = 0
    count: int = 0


class SimulatedFleet:
    """A fleet of members that run the membership protocol in simulated time."""

    def __init__(
        self,
        count: int,
        seed: int,
        config: ProtocolConfig | None = None,
        faulty_protocol_class: type[MembershipProtocol] | None = None,
        start_joined: bool = False,
    ):
        """Create the fleet without starting it.

        Args:
            count: Number of members.
            seed: Seed of all random draws.
            config: Parameters of the protocol; None: the default ones.
            faulty_protocol_class: Protocol class with a planted fault, for the first member; None: none.
            start_joined: Whether all members know each other from the start, without the traffic of joining.
        """
        self.count = count
        self.seed = seed
        self.config = config or ProtocolConfig()
        self.faulty_protocol_class = faulty_protocol_class
        self.start_joined = start_joined
        self.simulation = Simulation(count, seed, self)
        self.fault_player = FaultPlayer(self.simulation)
        self.process_ids = [self._process_id(number, 1) for number in range(count)]
        self.fleet_sizes: dict[tuple[int, int], EffectiveFleetSize] = {}  # by member and start count
        self.sent: dict[tuple[int, int], SentTotals] = defaultdict(SentTotals)  # by member and bucket

    def run(self, scenario: str) -> list[dict]:
        """Start all members, run a scenario until they are at rest again, and return the history."""
        self._schedule_starts()
        self.simulation.run(JOIN_SECONDS)
        self.fault_player.record("mark", name="joined")
        self._record_share_total()
        steps = scenario_steps(scenario, self.count, self.seed)
        self.fault_player.play(steps)
        self.simulation.run(JOIN_SECONDS + scenario_duration(steps) + SETTLE_SECONDS)
        self._record_final_views()
        return self.fault_player.events + self._sent_events()

    def _schedule_starts(self) -> None:
        spread = JOINED_START_SPREAD_SECONDS if self.start_joined else START_SPREAD_SECONDS
        for number in range(self.count):
            start_at = spread * Random(f"{self.seed} {number}").random()
            self.simulation.call_at(start_at, lambda number=number: self.fault_player.start(number))

    def _record_share_total(self) -> None:
        """Record the sum of the shares of a common limit that the members take; 1 is the whole limit."""
        total = 0.0
        for number, process in enumerate(self.simulation.processes):
            protocol = process.actor
            if protocol is None:
                continue
            fleet_size = self.fleet_sizes.setdefault(
                (number, process.start_count), EffectiveFleetSize(self.count)
            )
            if self.simulation.now >= process.paused_until:
                now = process.local_time(self.simulation.now)
                fleet_size.update(now, protocol.view.size, protocol.is_view_reliable)
            total += 1 / fleet_size.size
        self.fault_player.record("shares", total=total)
        self.simulation.call_at(self.simulation.now + SHARE_SAMPLE_INTERVAL_SECONDS, self._record_share_total)

    def create_actor(self, number: int, start_count: int) -> MembershipProtocol:
        """Return the protocol of a member, with the planted fault if it is the faulty one."""
        random = Random(f"{self.seed} {number} {start_count}")
        is_faulty = self.faulty_protocol_class is not None and number == 0
        protocol_class = self.faulty_protocol_class if is_faulty else MembershipProtocol
        process_id = self._process_id(number, start_count)
        protocol = protocol_class(number, self.count, process_id, random, self.config)
        if self.start_joined and start_count == 1:
            protocol.start = lambda now: protocol.start_joined(now, self.process_ids)
        return protocol

    def _process_id(self, number: int, start_count: int) -> int:
        return Random(f"life {self.seed} {number} {start_count}").getrandbits(16)

    @staticmethod
    def route(command: Command) -> tuple[int, messages.Message, int] | None:
        """Return target, message and message size in bytes if the command sends; None otherwise."""
        if isinstance(command, SendMessage):
            return command.target, command.message, codec.encoded_size(command.message)
        return None

    def on_command(self, now: float, number: int, command: Command) -> None:
        """Record a change of a member's view or of its own status."""
        match command:
            case ViewChanged(changes=changes):
                names = [(f"n{changed.member}", changed.change.value) for changed in changes]
                self.fault_player.record("view", who=f"n{number}", changes=names)
            case StatusChanged(status=status):
                self.fault_player.record("stand", who=f"n{number}", stand=status.value)

    def on_sent(self, now: float, number: int, size: int) -> None:
        """Count a datagram that a member sent."""
        sent = self.sent[number, int(now * SENT_BUCKETS_PER_SECOND)]
        sent.total += size
        sent.largest = max(sent.largest, size)
        sent.count += 1

    def _record_final_views(self) -> None:
        names_by_view: dict[tuple[int, ...], list[str]] = {}  # equal views share a list, as they are large
        for number, process in enumerate(self.simulation.processes):
            if process.actor is None:
                continue
            members = tuple(alive.member for alive in process.actor.view.alive_members())
            names = names_by_view.setdefault(members, [f"n{member}" for member in members])
            self.fault_player.record("held", who=f"n{number}", view=names)

    def _sent_events(self) -> list[dict]:
        return [
            {
                "at": bucket / SENT_BUCKETS_PER_SECOND,
                "event": "sent",
                "who": f"n{number}",
                "bytes": sent.total,
                "most": sent.largest,
                "count": sent.count,
            }
            for (number, bucket), sent in self.sent.items()
        ]
