"""Dissemination of updates: each is piggybacked on messages a limited number of times."""

from __future__ import annotations

from heapq import nlargest
from math import ceil, log2

from .codec import MAX_DATAGRAM_BYTES, MEMBER_UPDATE, encoded_update_size
from .config import RECORD_TRANSMIT_FACTOR, SUSPICION_TRANSMIT_FACTOR, ProtocolConfig
from .messages import MemberRecord, MemberState, MemberUpdate, SuspicionUpdate, Update
from .suspicion_table import SuspicionTable
from .view import MembershipView

MAX_UPDATES_PER_DATAGRAM = MAX_DATAGRAM_BYTES // MEMBER_UPDATE.size


class BroadcastQueue:
    """The members whose record or suspicion is still to be transmitted, with the number of transmits left."""

    def __init__(self, config: ProtocolConfig, view: MembershipView, suspicions: SuspicionTable):
        """Create an empty queue."""
        self._config = config
        self._view = view
        self._suspicions = suspicions
        self._transmits_left: dict[int, int] = {}

    def __bool__(self) -> bool:
        """Return whether any update is still to be transmitted."""
        return bool(self._transmits_left)

    def add_record(self, member: int) -> None:
        """Queue the new record of a member; for a dead member, the suspicion that led to its death."""
        is_dead = member in self._suspicions.dead_members
        self._add(member, SUSPICION_TRANSMIT_FACTOR if is_dead else RECORD_TRANSMIT_FACTOR)

    def add_suspicion(self, member: int) -> None:
        """Queue the suspicion against a member."""
        self._add(member, SUSPICION_TRANSMIT_FACTOR)

    def ensure_transmits(self, member: int, count: int) -> None:
        """Make sure that the update of a member is transmitted at least `count` more times."""
        self._transmits_left[member] = max(count, self._transmits_left.get(member, 0))

    def take(self, now: float, max_bytes: int) -> tuple[Update, ...]:
        """Return the updates to transmit next, in at most `max_bytes`, and count them as transmitted.

        Updates with the most transmits left come first.
        """
        updates: list[Update] = []
        used_bytes = 0
        transmits_left = self._transmits_left
        for member in nlargest(MAX_UPDATES_PER_DATAGRAM, transmits_left, key=transmits_left.__getitem__):
            update = self.update_for(now, member)
            if update is None:
                del transmits_left[member]
                continue
            size = encoded_update_size(update)
            if used_bytes + size > max_bytes:
                break
            used_bytes += size
            updates.append(update)
            transmits_left[member] -= 1
            if not transmits_left[member]:
                del transmits_left[member]
        return tuple(updates)

    def update_for(self, now: float, member: int) -> Update | None:
        """Return the suspicion against a member, or else its record; None if neither may be relayed."""
        suspicions = self._suspicions
        suspicion = suspicions.active.get(member) or suspicions.dead_members.get(member)
        if suspicion is not None:
            if len(suspicion.observers) < min(self._config.min_relayed_observers, suspicions.quorum(member)):
                return None
            age = max(0.0, now - min(now, suspicion.started_at))
            return SuspicionUpdate(member, suspicion.incarnation, age, tuple(suspicion.observers))
        record = self._view.table.records[member]
        if not record.is_known or record.state is MemberState.DEAD:
            return None
        return MemberUpdate(member, record)

    def _add(self, member: int, factor: float) -> None:
        self._transmits_left[member] = ceil(factor * log2(2 + len(self._view.alive)))


class MemberStore:
    """Applies a record to the view, the suspicions and the broadcast queue together."""

    def __init__(self, view: MembershipView, suspicions: SuspicionTable, broadcasts: BroadcastQueue):
        """Create a store that writes to the given components."""
        self._view = view
        self._suspicions = suspicions
        self._broadcasts = broadcasts

    def apply(self, member: int, record: MemberRecord, broadcast: bool = True) -> None:
        """Replace the record of a member by one that overrides it.

        Args:
            member: The number of the member.
            record: Its new record. The caller has checked that it overrides the known one.
            broadcast: Whether the record is disseminated to others.
        """
        self._view.table.put(member, record)
        self._suspicions.resolve(member, record)
        if broadcast:
            # Before `set_alive`, since the number of transmits depends on the fleet size before this change.
            self._broadcasts.add_record(member)
        self._view.set_alive(member, record.is_alive)
