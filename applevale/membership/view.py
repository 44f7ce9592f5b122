"""The view of one member: the records of all, who is alive, and the changes to announce."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from .commands import MemberChanged, MembershipChange, ViewChanged
from .records import RecordTable


@dataclass(frozen=True)
class AliveMember:
    """A member that is alive, and its incarnation."""

    member: int
    incarnation: int


class MembershipView:
    """Who is alive, as far as this member knows.

    Attributes:
        local_member: The number of this member.
        member_count: Members in the configuration.
        table: The records of all members.
        alive: The other members that are alive.
        changed_at: When the view last changed, in seconds.
        change_count: Announcements made.
        announcement_due: When the pending changes are announced; infinite without any.
    """

    def __init__(self, local_member: int, member_count: int):
        """Create a view in which all `member_count` members are unknown."""
        self.local_member = local_member
        self.member_count = member_count
        self.table = RecordTable(member_count)
        self.alive: set[int] = set()
        self.changed_at = -inf
        self.change_count = 0
        self.announcement_due = inf
        self._pending_changes: dict[int, MembershipChange] = {}

    @property
    def size(self) -> int:
        """Members that are alive, this one among them."""
        return 1 + len(self.alive)

    def alive_members(self) -> list[AliveMember]:
        """Return the members that are alive, this one among them, in the order of their numbers."""
        members = sorted({*self.alive, self.local_member})
        return [AliveMember(member, self.table.records[member].incarnation) for member in members]

    def other_members(self) -> list[int]:
        """Return all configured members but this one."""
        return [member for member in range(self.member_count) if member != self.local_member]

    def contains(self, member: int) -> bool:
        """Return whether a number is that of a configured member."""
        return 0 <= member < self.member_count

    def eligible_observers(self, member: int) -> int:
        """Return how many members that are alive may observe this one."""
        return 1 + len(self.alive) - (member in self.alive)

    def set_alive(self, member: int, is_alive: bool) -> None:
        """Add a member to those alive, or remove it; this member itself is not listed."""
        if member == self.local_member:
            return
        if is_alive:
            self.alive.add(member)
        else:
            self.alive.discard(member)

    def add_change(self, member: int, change: MembershipChange, due: float) -> None:
        """Add a change to the next announcement, which is made at `due` or earlier."""
        self._pending_changes[member] = change
        self.announcement_due = min(self.announcement_due, due)

    def take_announcement(self, now: float) -> ViewChanged | None:
        """Return the pending changes if they are due; they are pending no longer."""
        if now < self.announcement_due:
            return None
        self.change_count += 1
        changes = tuple(MemberChanged(member, change) for member, change in self._pending_changes.items())
        self._pending_changes = {}
        self.announcement_due = inf
        return ViewChanged(changes)
