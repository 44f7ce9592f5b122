"""One member's view of the fleet: all records, the members alive, and changes to announce."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from .commands import MemberChanged, MembershipChange, ViewChanged
from .records import RecordTable


@dataclass(frozen=True)
class AliveMember:
    """The number and incarnation of a member that is alive."""

    member: int
    incarnation: int


class MembershipView:
    """The fleet as one member sees it.

    Attributes:
        local_member: The number of this member.
        member_count: Number of members in the configuration.
        table: The records of all members.
        alive: The other members that are alive.
        changed_at: When the view last changed, in seconds.
        change_count: Number of announcements made.
        announcement_due: When the pending changes are announced, in seconds; infinite if there are none.
    """

    def __init__(self, local_member: int, member_count: int):
        """Create a view that knows nothing of any of the `member_count` members."""
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
        """The number of members that are alive, including this one."""
        return 1 + len(self.alive)

    def alive_members(self) -> list[AliveMember]:
        """Return the members that are alive, including this one, in the order of their numbers."""
        members = sorted({*self.alive, self.local_member})
        return [AliveMember(member, self.table.records[member].incarnation) for member in members]

    def other_members(self) -> list[int]:
        """Return the numbers of all configured members except this one."""
        return [member for member in range(self.member_count) if member != self.local_member]

    def contains(self, member: int) -> bool:
        """Return whether the number belongs to a configured member."""
        return 0 <= member < self.member_count

    def eligible_observers(self, member: int) -> int:
        """Return how many members that are alive may observe the given one."""
        return 1 + len(self.alive) - (member in self.alive)

    def set_alive(self, member: int, is_alive: bool) -> None:
        """Add a member to `alive` or remove it. The local member is never in `alive`."""
        if member == self.local_member:
            return
        if is_alive:
            self.alive.add(member)
        else:
            self.alive.discard(member)

    def add_change(self, member: int, change: MembershipChange, due: float) -> None:
        """Add a change to the next announcement, which is made no later than at `due`."""
        self._pending_changes[member] = change
        self.announcement_due = min(self.announcement_due, due)

    def take_announcement(self, now: float) -> ViewChanged | None:
        """Return the announcement of the pending changes if it is due, and clear them."""
        if now < self.announcement_due:
            return None
        self.change_count += 1
        changes = tuple(MemberChanged(member, change) for member, change in self._pending_changes.items())
        self._pending_changes = {}
        self.announcement_due = inf
        return ViewChanged(changes)
