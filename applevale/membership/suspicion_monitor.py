"""Raises suspicions against members, relays them, and declares members dead."""

from __future__ import annotations

from math import inf

from .components import SharedComponents
from .config import HELP_RESERVE_BYTES
from .context import ProtocolContext
from .messages import INCARNATION_LOW_MASK, MemberRecord, MemberState, MemberUpdate, SuspicionUpdate
from .suspicion import Suspicion
from .suspicion_verifier import SuspicionVerifier
from .updates import UpdateHandler


def _have_same_low_bits(first: int, second: int) -> bool:
    """Return whether two incarnations agree in the bits that a suspicion update carries."""
    return first & INCARNATION_LOW_MASK == second & INCARNATION_LOW_MASK


class SuspicionMonitor:
    """Collects observers against members and declares members dead."""

    def __init__(
        self,
        context: ProtocolContext,
        components: SharedComponents,
        updates: UpdateHandler,
        verifier: SuspicionVerifier,
    ):
        """Create a monitor of the suspicions in the given components."""
        self._config = context.config
        self._identity = context.identity
        self._view = context.view
        self._suspicions = components.suspicions
        self._broadcasts = components.broadcasts
        self._sender = components.sender
        self._health = components.health
        self._local = components.local
        self._updates = updates
        self._verifier = verifier
        self._batch_started_at = inf  # When the first death of the current batch was due.

    def on_update(self, now: float, sender: int, update: SuspicionUpdate) -> None:
        """Handle a suspicion that `sender` relays."""
        member = update.member
        if not all(map(self._view.contains, (member, *update.observers))):
            return
        known = self._view.table.records[member]
        is_outdated = known.incarnation & INCARNATION_LOW_MASK != update.incarnation
        if known.is_known and (is_outdated or known.state is MemberState.LEFT):
            # The sender may have an outdated record.
            self._sender.send_gossip(now, sender, (MemberUpdate(member, known),), HELP_RESERVE_BYTES)
            return
        quorum = self._suspicions.quorum(member)
        excluded = (member, self._identity.member)
        observers = tuple(
            dict.fromkeys(observer for observer in update.observers if observer not in excluded)
        )
        if member == self._identity.member:
            self._on_own_suspicion(now, update, len(observers) >= quorum)
            return
        if len(observers) < min(self._config.min_relayed_observers, quorum):
            # Too few observers to be relayed: only an observation of the sender itself counts.
            observers = tuple(observer for observer in observers if observer == sender)
        age = update.age if len(observers) >= quorum else 0.0
        self.suspect(now, member, update.incarnation, observers, age)

    def suspect(
        self, now: float, member: int, incarnation: int, observers: tuple[int, ...], age: float = 0.0
    ) -> None:
        """Add observers against a member.

        Args:
            now: The time, in seconds.
            member: The suspect.
            incarnation: The suspect's incarnation, or only its low bits.
            observers: Members that could not reach the suspect.
            age: Reported time since a quorum was reached, in seconds; 0 if none was reported.
        """
        known = self._view.table.records[member]
        if not observers or not known.is_alive or not _have_same_low_bits(incarnation, known.incarnation):
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
            self._verifier.on_quorum(now, member, suspicion)
        self._suspicions.reschedule()

    def remove_expired(self, now: float) -> None:
        """Declare suspects dead once their timeout has passed.

        A death waits briefly for others that are due soon, so that together they change the view only once.
        """
        suspicions = self._suspicions
        if now < suspicions.next_deadline:
            return
        window = self._config.batch_window
        if not self._health.may_suspect_others(now):
            suspicions.next_deadline = now + window
            return
        self._verifier.verify_suspects(now)
        expiries = {
            member: suspicions.expires_at(member, suspicion)
            for member, suspicion in suspicions.active.items()
        }
        expired = [member for member, expires_at in expiries.items() if expires_at <= now]
        upcoming = [expires_at for expires_at in expiries.values() if now < expires_at <= now + window]
        self._batch_started_at = min(self._batch_started_at, now) if expired else inf
        if expired and upcoming and now < self._batch_started_at + 2 * window:
            self._wait_for_batch(now, upcoming)
            return
        self._batch_started_at = inf
        if expired:
            self._updates.remove_members(now, tuple(self._death_update(member) for member in expired))
        suspicions.reschedule()

    def _on_own_suspicion(self, now: float, update: SuspicionUpdate, has_quorum: bool) -> None:
        identity = self._identity
        if has_quorum and update.incarnation == identity.incarnation & INCARNATION_LOW_MASK:
            self._local.on_own_record(now, identity.record(MemberState.SUSPECT))

    def _relay(self, member: int, suspicion: Suspicion, former_count: int) -> None:
        """Disseminate a suspicion if its new observers may complete a quorum or fast quorum for others."""
        quorum = self._suspicions.quorum(member)
        fast_quorum = self._config.timeouts.fast_quorum(self._view.eligible_observers(member))
        count = len(suspicion.observers)
        is_decisive = former_count < quorum or suspicion.relayed_observer_count < fast_quorum <= count
        if is_decisive and count >= min(self._config.min_relayed_observers, quorum):
            suspicion.relayed_observer_count = count
            self._broadcasts.add_suspicion(member)

    def _wait_for_batch(self, now: float, upcoming: list[float]) -> None:
        suspicions = self._suspicions
        suspicions.reschedule()
        if suspicions.next_deadline <= now:
            suspicions.next_deadline = min(upcoming)
        else:
            suspicions.next_deadline = min(suspicions.next_deadline, *upcoming)

    def _death_update(self, member: int) -> MemberUpdate:
        incarnation = self._suspicions.active[member].incarnation
        process_id = self._view.table.records[member].process_id
        return MemberUpdate(member, MemberRecord(MemberState.DEAD, incarnation, process_id))
