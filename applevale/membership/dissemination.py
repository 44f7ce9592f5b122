"""Dissemination: updates are piggybacked on messages, each a limited number of times."""

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
    """Members whose record or suspicion is still to be transmitted, and how many times."""

    def __init__(self, config: ProtocolConfig, view: MembershipView, suspicions: SuspicionTable):
        """Create an empty queue."""
        self._config = config
        self._view = view
        self._suspicions = suspicions
        self._transmits_left: dict[int, int] = {}

    def __bool__(self) -> bool:
        """Whether anything is to be transmitted."""
        return bool(self._transmits_left)

    def add_record(self, member: int) -> None:
        """Transmit the new record of a member; for a dead one, the suspicion it died by."""
        is_dead = member in self._suspicions.dead_members
        self._add(member, SUSPICION_TRANSMIT_FACTOR if is_dead else RECORD_TRANSMIT_FACTOR)

    def add_suspicion(self, member: int) -> None:
        """Transmit the suspicion of a member."""
        self._add(member, SUSPICION_TRANSMIT_FACTOR)

    def ensure_transmits(self, member: int, count: int) -> None:
        """Transmit what is known of a member at least `count` times more."""
        self._transmits_left[member] = max(count, self._transmits_left.get(member, 0))

    def take(self, now: float, room: int) -> tuple[Update, ...]:
        """Return updates of at most `room` bytes, those transmitted least first, and count them."""
        updates: list[Update] = []
        used = 0
        transmits_left = self._transmits_left
        for member in nlargest(MAX_UPDATES_PER_DATAGRAM, transmits_left, key=transmits_left.__getitem__):
            update = self.update_for(now, member)
            if update is None:
                del transmits_left[member]
                continue
            size = encoded_update_size(update)
            if used + size > room:
                break
            used += size
            updates.append(update)
            transmits_left[member] -= 1
            if not transmits_left[member]:
                del transmits_left[member]
        return tuple(updates)

    def update_for(self, now: float, member: int) -> Update | None:
        """Return the suspicion of a member, else its record; None if there is nothing to relay."""
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
    """Applies a record to the view, the suspicions and the broadcast queue, all at once."""

    def __init__(self, view: MembershipView, suspicions: SuspicionTable, broadcasts: BroadcastQueue):
        """Create a store that writes to these components."""
        self._view = view
        self._suspicions = suspicions
        self._broadcasts = broadcasts

    def apply(self, member: int, record: MemberRecord, broadcast: bool = True) -> None:
        """Replace the record of a member by a later one.

        Args:
            member: The member.
            record: Its record, which the caller has found to be the later one.
            broadcast: Whether it is transmitted to others.
        """
        self._view.table.put(member, record)
        self._suspicions.resolve(member, record)
        if broadcast:  # the number of transmits is that of the fleet before this change
            self._broadcasts.add_record(member)
        self._view.set_alive(member, record.is_alive)
