"""Suspicions: how they are raised, verified, and end in a death."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from .config import (
    FINAL_CHECK_TRANSMITS,
    HELP_RESERVE_BYTES,
    MAX_PIGGYBACK_SUSPICIONS,
)
from .context import ProtocolContext
from .dissemination import BroadcastQueue
from .local_health import LocalHealth
from .local_member import LocalMember
from .messages import INCARNATION_LOW_MASK, MemberRecord, MemberState, MemberUpdate, SuspicionUpdate
from .probes import ProbeTable
from .sender import MessageSender
from .suspicion import Suspicion
from .suspicion_table import SuspicionTable
from .updates import UpdateHandler


def _is_same_incarnation(one: int, other: int) -> bool:
    return one & INCARNATION_LOW_MASK == other & INCARNATION_LOW_MASK


class SuspicionMonitor:
    """Collects observers against members and declares members dead."""

    def __init__(
        self,
        context: ProtocolContext,
        suspicions: SuspicionTable,
        broadcasts: BroadcastQueue,
        sender: MessageSender,
        health: LocalHealth,
        probes: ProbeTable,
        local: LocalMember,
        updates: UpdateHandler,
    ):
        """Create a monitor of the suspicions in a table."""
        self._config = context.config
        self._identity = context.identity
        self._view = context.view
        self._stats = context.stats
        self._suspicions = suspicions
        self._broadcasts = broadcasts
        self._sender = sender
        self._health = health
        self._probes = probes
        self._local = local
        self._updates = updates
        self._batch_started_at = inf  # when the first death of the present batch was due

    def on_update(self, now: float, sender: int, update: SuspicionUpdate) -> None:
        """Handle the observers against a member that `sender` relays."""
        member = update.member
        if not all(map(self._view.contains, (member, *update.observers))):
            return
        known = self._view.table.records[member]
        is_outdated = known.incarnation & INCARNATION_LOW_MASK != update.incarnation
        if known.is_known and (is_outdated or known.state is MemberState.LEFT):
            # The sender may be behind.
            self._sender.send_gossip(now, sender, (MemberUpdate(member, known),), HELP_RESERVE_BYTES)
            return
        quorum = self._suspicions.quorum(member)
        excluded = (member, self._identity.member)
        observers = tuple(dict.fromkeys(one for one in update.observers if one not in excluded))
        if member == self._identity.member:
            self._on_own_suspicion(now, update, len(observers) >= quorum)
            return
        if len(observers) < min(self._config.min_relayed_observers, quorum):
            observers = tuple(one for one in observers if one == sender)  # too few are not relayed
        age = update.age if len(observers) >= quorum else 0.0
        self.suspect(now, member, update.incarnation, observers, age)

    def suspect(
        self, now: float, member: int, incarnation: int, observers: tuple[int, ...], age: float = 0.0
    ) -> None:
        """Add observers against a member.

        Args:
            now: The time, in seconds.
            member: The member that they could not reach.
            incarnation: Its incarnation, or the lowest bits of it.
            observers: The observers.
            age: Seconds since there was a quorum, where that is reported.
        """
        known = self._view.table.records[member]
        if not observers or not known.is_alive or not _is_same_incarnation(incarnation, known.incarnation):
            return
        suspicion = self._suspicions.active.get(member)
        if suspicion is None:
            suspicion = Suspicion(known.incarnation)
            self._suspicions.active[member] = suspicion
        quorum = self._suspicions.quorum(member)
        former_count = len(suspicion.observers)
        has_new = suspicion.add_observers(now, observers, age, quorum)
        if has_new:
            self._relay(member, suspicion, former_count)
        if len(suspicion.observers) < quorum:
            return
        if former_count < quorum:
            self._on_quorum(now, member, suspicion)
        self._suspicions.reschedule()

    def remove_expired(self, now: float) -> None:
        """Declare members dead whose timeout is over.

        Deaths due within a short time are one change of the view: the first waits a little for the next.
        """
        suspicions = self._suspicions
        if now < suspicions.next_deadline:
            return
        window = self._config.batch_window
        if not self._health.may_judge(now):
            suspicions.next_deadline = now + window
            return
        self._verify_suspects(now)
        expiries = {
            one: suspicions.expires_at(one, suspicion) for one, suspicion in suspicions.active.items()
        }
        expired = [member for member, expires_at in expiries.items() if expires_at <= now]
        upcoming = [expires_at for expires_at in expiries.values() if now < expires_at <= now + window]
        self._batch_started_at = min(self._batch_started_at, now) if expired else inf
        if expired and upcoming and now < self._batch_started_at + 2 * window:
            self._wait_for_batch(now, upcoming)
            return
        self._batch_started_at = inf
        if expired:
            self._updates.remove_members(now, tuple(self._death_of(member) for member in expired))
        suspicions.reschedule()

    def _on_own_suspicion(self, now: float, update: SuspicionUpdate, has_quorum: bool) -> None:
        identity = self._identity
        if has_quorum and update.incarnation == identity.incarnation & INCARNATION_LOW_MASK:
            record = MemberRecord(MemberState.SUSPECT, identity.incarnation, identity.process_id)
            self._local.on_own_record(now, record)

    def _relay(self, member: int, suspicion: Suspicion, former_count: int) -> None:
        """Disseminate a suspicion with a new observer, where that makes a difference to others."""
        quorum = self._suspicions.quorum(member)
        fast_quorum = self._config.timeouts.fast_quorum(self._view.eligible_observers(member))
        count = len(suspicion.observers)
        is_decisive = former_count < quorum or suspicion.relayed_count < fast_quorum <= count
        if is_decisive and count >= min(self._config.min_relayed_observers, quorum):
            suspicion.relayed_count = count
            self._broadcasts.add_suspicion(member)

    def _on_quorum(self, now: float, member: int, suspicion: Suspicion) -> None:
        self._stats.suspected += 1
        if self._is_verifier(member, suspicion.incarnation):
            suspicion.next_check_at = now
        elif self._identity.member in suspicion.observers:
            self._ping_suspect(now, member)  # which informs it

    def _is_verifier(self, member: int, incarnation: int) -> bool:
        """Return whether this member verifies the suspicion; each member draws for itself."""
        member_count = self._view.member_count
        if member_count <= self._config.verifier_count + 2:
            return True
        key = b"%d %d %d" % (self._identity.member, member, incarnation)
        draw = int.from_bytes(blake2b(key, digest_size=4).digest(), "big")
        return draw * member_count < self._config.verifier_count * 2**32

    def _verify_suspects(self, now: float) -> None:
        """Ping or probe suspects that are due; in a small fleet, all once more before their death."""
        local_member = self._identity.member
        active = self._suspicions.active
        for member, suspicion in active.items():
            is_final = self._is_final_check_due(now, member, suspicion)
            if now < suspicion.next_check_at and not is_final:
                continue
            if is_final:
                suspicion.final_check_started = True
                self._broadcasts.ensure_transmits(member, FINAL_CHECK_TRANSMITS)  # who knows better answers
            if suspicion.next_check_at < inf:
                crowding = max(
                    1, len(active) / MAX_PIGGYBACK_SUSPICIONS
                )  # bytes are scarce with many suspects
                suspicion.next_check_at = now + self._config.verification_interval * crowding
            elif (
                self._view.member_count > self._config.max_final_check_fleet
                or local_member in suspicion.observers
            ):
                continue
            if local_member in suspicion.observers:
                self._ping_suspect(now, member)
            else:
                self._probes.start_verification(now, member)

    def _is_final_check_due(self, now: float, member: int, suspicion: Suspicion) -> bool:
        if suspicion.final_check_started:
            return False
        return now >= self._suspicions.expires_at(member, suspicion) - self._config.final_check_lead

    def _ping_suspect(self, now: float, member: int) -> None:
        """Inform a suspect of the suspicion."""
        self._sender.send_ping(now, member, self._probes.next_sequence_number())

    def _wait_for_batch(self, now: float, upcoming: list[float]) -> None:
        suspicions = self._suspicions
        suspicions.reschedule()
        if suspicions.next_deadline <= now:
            suspicions.next_deadline = min(upcoming)
        else:
            suspicions.next_deadline = min(suspicions.next_deadline, *upcoming)

    def _death_of(self, member: int) -> MemberUpdate:
        incarnation = self._suspicions.active[member].incarnation
        process_id = self._view.table.records[member].process_id
        return MemberUpdate(member, MemberRecord(MemberState.DEAD, incarnation, process_id))
