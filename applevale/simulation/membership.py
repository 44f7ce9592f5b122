"""The membership protocol in simulated time: a fleet, a scenario of faults, and the history of both."""

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

JOIN_SECONDS = 4.0  # within which all members have joined
SETTLE_SECONDS = 6.0  # after the last fault
START_SPREAD_SECONDS = 1.0  # within which all members start
KNOWN_START_SPREAD_SECONDS = 0.05  # the same where all know each other already
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
class SentBytes:
    """What one member sent in a tenth of a second.

    Attributes:
        total: Bytes of all datagrams.
        largest: Bytes of the largest datagram.
        count: Datagrams.
    """

    total: int = 0
    largest: int = 0
    count: int = 0


class SimulatedFleet:
    """A fleet of members in simulated time."""

    def __init__(
        self,
        count: int,
        seed: int,
        config: ProtocolConfig | None = None,
        faulty_protocol_class: type[MembershipProtocol] | None = None,
        start_joined: bool = False,
    ):
        """Create a fleet that has not started yet.

        Args:
            count: Members.
            seed: Seed of all random draws.
            config: Parameters of the protocol; None: the defaults.
            faulty_protocol_class: Class with a planted fault for the first member's protocol.
            start_joined: Whether all know each other from the first moment, without the traffic of joining.
        """
        self.count = count
        self.seed = seed
        self.config = config or ProtocolConfig()
        self.faulty_protocol_class = faulty_protocol_class
        self.start_joined = start_joined
        self.simulation = Simulation(count, seed, self)
        self.fault_player = FaultPlayer(self.simulation)
        self.process_ids = [self._process_id(number, 1) for number in range(count)]
        self.fleet_sizes: dict[tuple[int, int], EffectiveFleetSize] = {}  # by member and start
        self.sent: dict[tuple[int, int], SentBytes] = defaultdict(SentBytes)  # by member and bucket of time

    def run(self, scenario: str) -> list[dict]:
        """Play a scenario from the start of all members until they are at rest; return its history."""
        self._schedule_starts()
        self.simulation.run(JOIN_SECONDS)
        self.fault_player.note("mark", name="joined")
        self._sample_shares()
        steps = scenario_steps(scenario, self.count, self.seed)
        self.fault_player.play(steps)
        self.simulation.run(JOIN_SECONDS + scenario_duration(steps) + SETTLE_SECONDS)
        self._note_final_views()
        return self.fault_player.events + self._sent_events()

    def _schedule_starts(self) -> None:
        spread = KNOWN_START_SPREAD_SECONDS if self.start_joined else START_SPREAD_SECONDS
        for number in range(self.count):
            start_at = spread * Random(f"{self.seed} {number}").random()
            self.simulation.call_at(start_at, lambda number=number: self.fault_player.start(number))

    def _sample_shares(self) -> None:
        """Note what all members take together of a shared limit, as a part of the whole."""
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
        self.fault_player.note("shares", total=total)
        self.simulation.call_at(self.simulation.now + SHARE_SAMPLE_INTERVAL_SECONDS, self._sample_shares)

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
        """Return target, message and its size in bytes of a command that sends; None for any other."""
        if isinstance(command, SendMessage):
            return command.target, command.message, codec.encoded_size(command.message)
        return None

    def on_command(self, now: float, number: int, command: Command) -> None:
        """Record what a member reports of its view and of itself."""
        match command:
            case ViewChanged(changes=changes):
                names = [(f"n{changed.member}", changed.change.value) for changed in changes]
                self.fault_player.note("view", who=f"n{number}", changes=names)
            case StatusChanged(status=status):
                self.fault_player.note("stand", who=f"n{number}", stand=status.value)

    def on_sent(self, now: float, number: int, size: int) -> None:
        """Count a datagram that a member has sent."""
        sent = self.sent[number, int(now * SENT_BUCKETS_PER_SECOND)]
        sent.total += size
        sent.largest = max(sent.largest, size)
        sent.count += 1

    def _note_final_views(self) -> None:
        names_by_view: dict[tuple[int, ...], list[str]] = {}  # equal views share one list: they are large
        for number, process in enumerate(self.simulation.processes):
            if process.actor is None:
                continue
            members = tuple(alive.member for alive in process.actor.view.alive_members())
            names = names_by_view.setdefault(members, [f"n{member}" for member in members])
            self.fault_player.note("held", who=f"n{number}", view=names)

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
