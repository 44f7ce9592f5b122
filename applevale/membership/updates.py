"""Handles the records of other members that messages carry."""

from __future__ import annotations

from .commands import MembershipChange
from .components import SharedComponents
from .context import ProtocolContext
from .join_prober import JoinProber
from .messages import MemberRecord, MemberState, MemberUpdate, Message


class UpdateHandler:
    """Decides which records of other members are applied to the view."""

    def __init__(self, context: ProtocolContext, components: SharedComponents, join_prober: JoinProber):
        """Create a handler that writes to the given components."""
        self._config = context.config
        self._view = context.view
        self._stats = context.stats
        self._store = components.store
        self._suspicions = components.suspicions
        self._health = components.health
        self._local = components.local
        self._join_prober = join_prober

    def on_sender_alive(self, now: float, sender: int, message: Message) -> None:
        """Record that the sender of a message is alive; ignored while the sender is joining."""
        if not message.incarnation:
            return
        known_incarnation = self._view.table.records[sender].incarnation
        if self._health.is_unreachable(sender) and message.incarnation >= known_incarnation:
            self._health.record_false_suspicion(now, sender)
            self._suspicions.retract(now, sender, self._view.local_member)
        record = MemberRecord(MemberState.ALIVE, message.incarnation, message.process_id)
        self.on_record(now, sender, sender, record)

    def on_record(self, now: float, sender: int, member: int, record: MemberRecord) -> None:
        """Handle a record of any member that `sender` reports.

        A death, and a leave that another member reports, is applied only once a quorum reports it.
        """
        if not self._view.contains(member) or not record.is_known:
            return
        if member == self._view.local_member:
            self._local.on_own_record(now, record)
            return
        known = self._view.table.records[member]
        if known.is_known and record.precedence <= known.precedence:
            return
        if record.state is MemberState.ALIVE:
            self._add_member(now, member, record)
        elif record.state is MemberState.LEFT and member == sender:
            self.remove_members(now, (MemberUpdate(member, record),))
        elif record.state in (MemberState.DEAD, MemberState.LEFT):
            is_confirmed = self._suspicions.add_claim(member, record, sender)
            if is_confirmed and self._health.may_suspect_others(now):
                self.remove_members(now, (MemberUpdate(member, record),))

    def remove_members(self, now: float, removals: tuple[MemberUpdate, ...]) -> None:
        """Mark members as dead or left, and announce that at once."""
        for removal in removals:
            has_left = removal.record.state is MemberState.LEFT
            if self._view.table.records[removal.member].is_alive:
                change = MembershipChange.LEFT if has_left else MembershipChange.DIED
                self._view.add_change(removal.member, change, now)
                self._stats.died += removal.record.state is MemberState.DEAD
            self._store.apply(removal.member, removal.record)
        self._view.changed_at = now
        self._join_prober.schedule(now)

    def _add_member(self, now: float, member: int, record: MemberRecord) -> None:
        known = self._view.table.records[member]
        self._store.apply(member, record)
        self._view.changed_at = now
        announcement_due = now + self._config.batch_window
        if not known.is_alive:
            self._view.add_change(member, MembershipChange.JOINED, announcement_due)
        elif known.process_id != record.process_id:
            self._view.add_change(member, MembershipChange.RESTARTED, announcement_due)
