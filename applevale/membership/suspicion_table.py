"""The suspicions against all members, and the claims that members died or left."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from .config import ProtocolConfig
from .messages import MemberRecord, MemberState
from .suspicion import Suspicion
from .view import MembershipView


@dataclass
class Claim:
    """A record that a member died or left, and the distinct members that reported it."""

    record: MemberRecord
    claimants: set[int] = field(default_factory=set)


class SuspicionTable:
    """The suspicions against all members, and the claims that members died or left.

    Attributes:
        active: Suspicions against members that are alive, by member.
        dead_members: The suspicion that led to the death of a member, by dead member.
        pending_claims: Claims that too few members have reported so far, by the member that they are about.
        next_deadline: When to check the suspicions next, in seconds; infinite if none is due.
    """

    def __init__(self, config: ProtocolConfig, view: MembershipView):
        """Create an empty table."""
        self._config = config
        self._view = view
        self.active: dict[int, Suspicion] = {}
        self.dead_members: dict[int, Suspicion] = {}
        self.pending_claims: dict[int, Claim] = {}
        self.next_deadline = inf

    def quorum(self, member: int) -> int:
        """Return the number of distinct observers needed against a member."""
        return self._config.timeouts.quorum(self._view.eligible_observers(member))

    def has_quorum(self, member: int) -> bool:
        """Return whether a member is suspected by enough observers."""
        suspicion = self.active.get(member)
        return suspicion is not None and len(suspicion.observers) >= self.quorum(member)

    def expires_at(self, member: int, suspicion: Suspicion) -> float:
        """Return when a suspect is declared dead, in seconds; infinite without a quorum."""
        if not self.has_quorum(member):
            return inf
        observer_count = len(suspicion.observers)
        eligible_count = self._view.eligible_observers(member)
        return suspicion.started_at + self._config.timeouts.timeout(observer_count, eligible_count)

    def resolve(self, member: int, record: MemberRecord) -> None:
        """Drop a member's suspicion and claims, since its record changed.

        If the member died of a suspicion with a quorum, the suspicion is kept in `dead_members`.
        """
        suspicion = self.active.pop(member, None)
        if record.state is MemberState.DEAD and suspicion is not None and suspicion.quorum_at < inf:
            self.dead_members[member] = suspicion
        else:
            self.dead_members.pop(member, None)
        self.pending_claims.pop(member, None)

    def add_claim(self, member: int, record: MemberRecord, claimant: int) -> bool:
        """Record a claim that a member died or left; return whether a quorum of members has made it."""
        claim = self.pending_claims.get(member)
        if claim is not None and claim.record != record:
            if record.precedence < claim.record.precedence:
                return False
            claim = None
        if claim is None:
            claim = Claim(record)
            self.pending_claims[member] = claim
        claim.claimants.add(claimant)
        return len(claim.claimants) >= self.quorum(member)

    def retract(self, now: float, member: int, observer: int) -> None:
        """Remove an observer that has reached the suspect after all."""
        suspicion = self.active.get(member)
        if suspicion is None:
            return
        suspicion.observers.pop(observer, None)
        if self.has_quorum(member):
            suspicion.restart(now)
        else:
            del self.active[member]
        self.reschedule()

    def restart_all(self, now: float) -> None:
        """Restart the timeouts of all suspicions."""
        for suspicion in self.active.values():
            suspicion.restart(now)
        self.reschedule()

    def discard_stale(self, now: float) -> None:
        """Drop suspicions that have had no quorum and no new observer for a while."""
        for member in [member for member, suspicion in self.active.items() if suspicion.is_stale(now)]:
            del self.active[member]

    def reschedule(self) -> None:
        """Recompute `next_deadline` as the time of the next check, final check or death."""
        self.next_deadline = inf
        for member, suspicion in self.active.items():
            expires_at = self.expires_at(member, suspicion)
            final_check_at = inf
            if not suspicion.final_check_started:
                final_check_at = expires_at - self._config.final_check_lead
            self.next_deadline = min(self.next_deadline, suspicion.next_check_at, final_check_at, expires_at)
