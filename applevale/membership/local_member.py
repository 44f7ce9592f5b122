"""This member's own record: how it joins, refutes what others hold of it, and leaves."""

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
    """The owner of this member's incarnation."""

    def __init__(
        self,
        context: ProtocolContext,
        store: MemberStore,
        sender: MessageSender,
        health: LocalHealth,
        probes: ProbeTable,
    ):
        """Create the record of a member that knows no incarnation of its own."""
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
        self._highest_reported = 0  # the highest incarnation of this member that others reported
        self._refuted_at = -inf

    @property
    def join_deadline(self) -> float:
        """When joining ends at the latest, in seconds; infinite once it has ended."""
        return self._join_deadline if self._health.status is LocalStatus.JOINING else inf

    def start_join(self, now: float) -> None:
        """Ask others for this member's incarnation, for a while."""
        self._join_deadline = now + self._config.join_timeout

    def start_joined(self, process_ids: list[int]) -> None:
        """Start as one of a fleet whose members know each other already, by these process ids."""
        self._health.set_status(LocalStatus.HEALTHY)
        self._identity.incarnation = 1
        for member, process_id in enumerate(process_ids):
            record = MemberRecord(MemberState.ALIVE, 1, process_id)
            self._store.apply(member, record, broadcast=False)

    def record_join_answer(self, now: float, sender: int) -> None:
        """Record that a member answered while this one joins."""
        self._join_deadline = min(self._join_deadline, now + self._config.join_wait)
        self._join_answers.add(sender)

    def try_join(self, now: float) -> None:
        """End the joining, with an incarnation above all that others know, once enough have answered."""
        if now < self._join_deadline and len(self._join_answers) < MIN_JOIN_ANSWERS:
            return
        self._health.set_status(LocalStatus.HEALTHY)
        self._health.start_quiet_period(now)
        self._health.last_answered_at = now
        self.refute(now, self._highest_reported)

    def refute(self, now: float, reported: int) -> None:
        """Raise the incarnation above a reported one, and inform as many members as possible at once."""
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
        """Handle what another member holds of this one."""
        if not record.is_known:
            return
        self._highest_reported = max(self._highest_reported, record.incarnation)
        identity = self._identity
        status = self._health.status
        if status is LocalStatus.JOINING or record.incarnation < identity.incarnation:
            return
        is_same_process = record.process_id == identity.process_id
        if not is_same_process and record.is_alive and record.incarnation > identity.incarnation:
            self._health.set_status(LocalStatus.SUPERSEDED)  # by a later process that lives
            self._probes.clear()
        elif status is LocalStatus.SUPERSEDED:
            if not record.is_alive:
                self._resume(now, record.incarnation)
        elif self._contradicts(record):
            self.refute(now, record.incarnation)

    def leave(self, now: float) -> None:
        """Inform others of a clean end, unless a later process has this member's place."""
        if self._health.status not in (LocalStatus.JOINING, LocalStatus.SUPERSEDED, LocalStatus.LEFT):
            self._store.apply(self._identity.member, self._identity.record(MemberState.LEFT))
            self._announce(now, LEAVE_FANOUT)
        self._health.set_status(LocalStatus.LEFT)

    def _resume(self, now: float, reported: int) -> None:
        """Take part again: the later process has ended."""
        self._health.set_status(LocalStatus.HEALTHY)
        self._health.reset_times(now)
        self._probes.next_probe_at = now
        self._health.start_quiet_period(now)
        self.refute(now, reported)

    def _contradicts(self, record: MemberRecord) -> bool:
        """Return whether a record differs from what this member is, and has to be refuted."""
        identity = self._identity
        if record.state is not MemberState.ALIVE or record.incarnation > identity.incarnation:
            return True
        return identity.process_id < record.process_id  # two processes at one incarnation: one has to yield

    def _announce(self, now: float, fanout: int) -> None:
        others = list(self._view.alive) or self._view.other_members()
        for target in self._random.sample(others, min(fanout, len(others))):
            self._sender.send_gossip(now, target)
