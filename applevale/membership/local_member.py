"""This member's own record: joining the fleet, refuting false records of this member, and leaving."""

from __future__ import annotations

from math import inf

from .commands import LocalStatus
from .config import LEAVE_FANOUT, MIN_JOIN_ANSWERS, REFUTATION_FANOUT
from .context import ProtocolContext
from .dissemination import MemberStore
from .local_health import LocalHealth
from .messages import MAX_INCARNATION, MemberRecord, MemberState
from .probes import ProbeTable
from .sender import MessageSender


class LocalMember:
    """Maintains this member's incarnation and announces its changes to others."""

    def __init__(
        self,
        context: ProtocolContext,
        store: MemberStore,
        sender: MessageSender,
        health: LocalHealth,
        probes: ProbeTable,
    ):
        """Create the state of a member that has no incarnation yet."""
        self._config = context.config
        self._identity = context.identity
        self._view = context.view
        self._random = context.random
        self._stats = context.stats
        self._store = store
        self._sender = sender
        self._health = health
        self._probes = probes
        self._join_deadline = inf
        self._join_answers: set[int] = set()
        self._highest_reported = 0  # Highest incarnation of this member in the records of others.
        self._refuted_at = -inf

    @property
    def join_deadline(self) -> float:
        """The latest time at which joining ends, in seconds; infinite once it has ended."""
        return self._join_deadline if self._health.status is LocalStatus.JOINING else inf

    def start_join(self, now: float) -> None:
        """Start to wait for others to report this member's last incarnation, until a deadline."""
        self._join_deadline = now + self._config.join_timeout

    def start_joined(self, process_ids: list[int]) -> None:
        """Start in a fleet whose members all know each other already.

        Args:
            process_ids: The process id of each member, in the order of their numbers.
        """
        self._health.set_status(LocalStatus.HEALTHY)
        self._identity.incarnation = 1
        for member, process_id in enumerate(process_ids):
            record = MemberRecord(MemberState.ALIVE, 1, process_id)
            self._store.apply(member, record, broadcast=False)

    def record_join_answer(self, now: float, sender: int) -> None:
        """Record that a member answered this joining one."""
        self._join_deadline = min(self._join_deadline, now + self._config.join_wait)
        self._join_answers.add(sender)

    def try_join(self, now: float) -> None:
        """End the joining once enough members have answered or the deadline has passed.

        This member takes an incarnation above all that others reported.
        """
        if now < self._join_deadline and len(self._join_answers) < MIN_JOIN_ANSWERS:
            return
        self._health.set_status(LocalStatus.HEALTHY)
        self._health.start_quiet_period(now)
        self._health.last_answered_at = now
        self.refute(now, self._highest_reported)

    def refute(self, now: float, reported: int) -> None:
        """Raise the incarnation above a reported one, and inform many members at once.

        Args:
            now: The time, in seconds.
            reported: The incarnation that another member reported.
        """
        is_recent = now - self._refuted_at < self._config.refutation_interval
        if is_recent and reported < self._identity.incarnation + 1:
            return
        self._refuted_at = now
        highest = max(self._identity.incarnation, reported)
        self._identity.incarnation = min(MAX_INCARNATION, highest + 1)
        self._stats.raised += 1
        self._store.apply(self._identity.member, self._identity.record(MemberState.ALIVE))
        self._announce(now, REFUTATION_FANOUT)

    def on_own_record(self, now: float, record: MemberRecord) -> None:
        """Handle another member's record of this one, and refute it if it is wrong."""
        if not record.is_known:
            return
        self._highest_reported = max(self._highest_reported, record.incarnation)
        identity = self._identity
        status = self._health.status
        if status is LocalStatus.JOINING or record.incarnation < identity.incarnation:
            return
        is_same_process = record.process_id == identity.process_id
        if not is_same_process and record.is_alive and record.incarnation > identity.incarnation:
            self._health.set_status(LocalStatus.SUPERSEDED)
            self._probes.clear()
        elif status is LocalStatus.SUPERSEDED:
            if not record.is_alive:
                self._resume(now, record.incarnation)
        elif self._contradicts(record):
            self.refute(now, record.incarnation)

    def leave(self, now: float) -> None:
        """Leave the fleet; inform others, unless another process has superseded this one."""
        if self._health.status not in (LocalStatus.JOINING, LocalStatus.SUPERSEDED, LocalStatus.LEFT):
            self._store.apply(self._identity.member, self._identity.record(MemberState.LEFT))
            self._announce(now, LEAVE_FANOUT)
        self._health.set_status(LocalStatus.LEFT)

    def _resume(self, now: float, reported: int) -> None:
        """Take part again, after the process that superseded this one has ended."""
        self._health.set_status(LocalStatus.HEALTHY)
        self._health.reset_times(now)
        self._probes.next_probe_at = now
        self._health.start_quiet_period(now)
        self.refute(now, reported)

    def _contradicts(self, record: MemberRecord) -> bool:
        """Return whether a record contradicts the state of this member and has to be refuted."""
        identity = self._identity
        if record.state is not MemberState.ALIVE or record.incarnation > identity.incarnation:
            return True
        # Two processes have the same incarnation: the one with the lower process id raises its own.
        return identity.process_id < record.process_id

    def _announce(self, now: float, fanout: int) -> None:
        others = list(self._view.alive) or self._view.other_members()
        for target in self._random.sample(others, min(fanout, len(others))):
            self._sender.send_gossip(now, target)
