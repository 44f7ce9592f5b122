"""Round-robin selection of registry members."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class MemberRotation:
    """Selects the registry's members in turn, and counts their consecutive failures.

    Attributes:
        member_count: Number of addresses.
        last_index: Index of the member that was tried last; -1 before the first.
        failures: Number of consecutive sessions that failed.
        credential_failures: Number of consecutive sessions that failed because the credentials were
            rejected.
        lagging_members: Indexes of the members that have returned an older state since a member was
            last up to date.
    """

    member_count: int
    last_index: int = -1
    failures: int = 0
    credential_failures: int = 0
    lagging_members: set[int] = field(default_factory=set)

    def next_index(self) -> int:
        """Advance to the next member and return its index."""
        self.last_index = (self.last_index + 1) % self.member_count
        return self.last_index

    def record_success(self) -> None:
        """Record that a member is up to date, which resets all counts."""
        self.failures = 0
        self.credential_failures = 0
        self.lagging_members.clear()

    def record_failure(self, credentials_rejected: bool) -> None:
        """Record that a session failed, and whether its credentials were rejected."""
        self.failures += 1
        self.credential_failures = self.credential_failures + 1 if credentials_rejected else 0

    def record_lag(self, member_index: int) -> bool:
        """Record a member that returned an older state; return whether all members have done so."""
        self.lagging_members.add(member_index)
        return len(self.lagging_members) >= self.member_count

    def replace_members(self, member_count: int) -> None:
        """Start over with `member_count` other members."""
        self.member_count = member_count
        self.last_index = -1
        self.failures = 0
        self.lagging_members.clear()
