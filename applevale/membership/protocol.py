"""The membership protocol of one member as a state machine. No I/O, no clock.

The runner calls `start` once, `on_message` for each message with the number of its sender, and `on_tick` at
`next_deadline` or soon after. It carries out the commands that each call returns. Invariants:

- A member is declared dead only by a quorum of distinct observers at its current incarnation
  (`suspicion.py`), or by as many distinct members that have declared it dead; never by a single one.
- A member that was paused, or that receives no messages or no answers, does not suspect others. Its timeouts
  for suspicions restart once it has recovered.
- A member also suspects nobody while many of those that it could not reach prove to be alive.
- A member that is alive refutes records that call it suspect, dead or left, by raising its incarnation. An
  earlier process never refutes a later one that is alive.
- A token bucket limits the bytes sent; answers and probes take precedence over gossip. State is bounded by
  the number of members, and answers to one sender by `MAX_ANSWERS_PER_SECOND`.
- The protocol does not depend on the wall clock, and stores nothing beyond the life of the process.
"""

from __future__ import annotations

from math import inf
from random import Random

from .anti_entropy import AntiEntropy
from .commands import Command, CommandQueue, LocalStatus, StatusChanged
from .components import create_shared_components
from .config import ProtocolConfig
from .context import LocalIdentity, ProtocolContext
from .failure_detector import FailureDetector
from .heartbeat import HeartbeatDetector
from .join_prober import JoinProber
from .messages import MemberUpdate, Message, MessageKind
from .rate_limiter import SenderRateLimiter
from .self_monitor import SelfMonitor
from .stats import MembershipStats
from .suspicion_monitor import SuspicionMonitor
from .suspicion_verifier import SuspicionVerifier
from .updates import UpdateHandler
from .view import MembershipView


class MembershipProtocol:
    """The entry points of the protocol; constructs and connects its components."""

    def __init__(
        self,
        member: int,
        member_count: int,
        process_id: int,
        random: Random,
        config: ProtocolConfig | None = None,
    ):
        """Create the protocol of one member.

        Args:
            member: The number of this member.
            member_count: Number of members in the configuration.
            process_id: A random number of 16 bits, drawn at each start of the process.
            random: The source of all random draws.
            config: Parameters of the protocol; None for the defaults.
        """
        self.config = config or ProtocolConfig()
        self.identity = LocalIdentity(member, process_id)
        self.view = MembershipView(member, member_count)
        self.stats = MembershipStats()
        self.commands = CommandQueue()
        context = ProtocolContext(self.config, self.identity, self.view, random, self.stats, self.commands)
        self._random = random
        self.rate_limiter = SenderRateLimiter(self.stats)
        components = create_shared_components(context, self.rate_limiter)
        self.suspicions = components.suspicions
        self.store = components.store
        self.sender = components.sender
        self.health = components.health
        self.probes = components.probes
        self.local = components.local
        self.self_monitor = SelfMonitor(context, components)
        self.join_prober = JoinProber(context, components)
        self.updates = UpdateHandler(context, components, self.join_prober)
        verifier = SuspicionVerifier(context, components)
        self.suspicion_monitor = SuspicionMonitor(context, components, self.updates, verifier)
        self.failure_detector = FailureDetector(context, components, self.suspicion_monitor)
        self.heartbeats = HeartbeatDetector(context, components, self.updates)
        self.anti_entropy = AntiEntropy(context, components.sender, self.updates)

    @property
    def status(self) -> LocalStatus:
        """The status of this member."""
        return self.health.status

    @property
    def is_view_reliable(self) -> bool:
        """Whether the view is good enough to act on, for example to divide shared limits."""
        return self.health.is_view_reliable

    def start(self, now: float) -> list[Command]:
        """Start to join the fleet."""
        self._start_clocks(now)
        self.local.start_join(now)
        self.commands.add(StatusChanged(LocalStatus.JOINING))
        return self._finish(now)

    def start_joined(self, now: float, process_ids: list[int]) -> list[Command]:
        """Start in a fleet whose members all know each other already.

        Args:
            now: The time, in seconds.
            process_ids: The process id of each member, in the order of their numbers.
        """
        self._start_clocks(now)
        self.local.start_joined(process_ids)
        return self._finish(now)

    def on_tick(self, now: float) -> list[Command]:
        """Handle all deadlines that have passed."""
        self.self_monitor.check_for_pause(now)
        if self.health.has_ended:
            return self._finish(now)
        if self.status is LocalStatus.JOINING:
            self.local.try_join(now)
        self.health.check_contact(now, bool(self.view.alive))
        self.failure_detector.advance_probes(now)
        if now >= self.probes.next_probe_at:
            if self.config.heartbeat_interval:
                self.heartbeats.send_heartbeats(now)
            else:
                self.failure_detector.probe_next(now)
        if now >= self.join_prober.next_join_at:
            self.join_prober.send_join(now)
        self.suspicion_monitor.remove_expired(now)
        return self._finish(now)

    def on_message(self, now: float, sender: int, message: Message) -> list[Command]:
        """Handle a message.

        It is ignored if its sender is unknown or exceeds its rate limit, or if this member has left.
        """
        self.self_monitor.check_for_pause(now)
        is_unknown_sender = sender == self.identity.member or not self.view.contains(sender)
        if is_unknown_sender or self.status is LocalStatus.LEFT:
            return self._finish(now)
        if not self.rate_limiter.accept_message(now, sender):
            return self._finish(now)
        self.stats.heard += 1
        if self.status is LocalStatus.ISOLATED:
            self.self_monitor.recover(now)
        self.health.last_received_at = now
        self._apply_records(now, sender, message)
        self._dispatch(now, sender, message)
        is_ping_or_ack = message.kind in (MessageKind.PING, MessageKind.ACK)
        if is_ping_or_ack and message.view_digest != self.view.table.digest:
            self.anti_entropy.request_sync(now, sender)
        return self._finish(now)

    def leave(self, now: float) -> list[Command]:
        """Leave the fleet and inform others."""
        self.local.leave(now)
        return self._finish(now)

    def next_deadline(self) -> float:
        """Return when to call `on_tick` next, in seconds; infinite once this process no longer takes part."""
        if self.health.has_ended:
            return inf
        return min(
            self.probes.next_probe_at,
            self.join_prober.next_join_at,
            self.suspicions.next_deadline,
            self.view.announcement_due,
            self.probes.next_deadline(),
            self.local.join_deadline,
        )

    def _start_clocks(self, now: float) -> None:
        self.health.reset_times(now)
        self.probes.next_probe_at = now + self._random.random() * self.config.probe_interval

    def _apply_records(self, now: float, sender: int, message: Message) -> None:
        """Handle the records and updates that a message carries."""
        self.local.on_own_record(now, message.receiver_record)
        if message.incarnation and self.config.heartbeat_interval:
            self.heartbeats.record_heartbeat(now, sender)
        self.updates.on_sender_alive(now, sender, message)
        for update in message.updates:
            if isinstance(update, MemberUpdate):
                self.updates.on_record(now, sender, update.member, update.record)
            else:
                self.suspicion_monitor.on_update(now, sender, update)

    def _dispatch(self, now: float, sender: int, message: Message) -> None:
        match message.kind:
            case MessageKind.PING:
                self.sender.send_ack(now, sender, message.sequence_number)
            case MessageKind.ACK:
                self.failure_detector.on_ack(now, sender, message)
            case MessageKind.PING_REQUEST:
                self.failure_detector.on_ping_request(now, sender, message)
            case MessageKind.PING_RESULT:
                self.failure_detector.on_ping_result(now, sender, message)
            case MessageKind.SEGMENT_DIGESTS:
                self.anti_entropy.on_segment_digests(now, sender, message.segment_digests)
            case MessageKind.SEGMENT:
                self.anti_entropy.on_segment(now, sender, message)

    def _finish(self, now: float) -> list[Command]:
        """Finish an event: announce changes that are due, and note when the next event is expected.

        Returns:
            All commands that result from the event.
        """
        announcement = self.view.take_announcement(now)
        if announcement is not None:
            self.commands.add(announcement)
        self.health.expected_at = max(now, self.next_deadline())
        return self.commands.drain()
