"""What all parts of the membership protocol share."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .commands import CommandQueue
from .config import ProtocolConfig
from .messages import MemberRecord, MemberState
from .stats import MembershipStats
from .view import MembershipView


@dataclass
class LocalIdentity:
    """The identity of this member.

    Attributes:
        member: Its number among the configured members.
        process_id: A random number of 16 bits drawn at each start of the process.
        incarnation: SWIM's incarnation number; 0 while the member joins. `LocalMember` alone changes it.
    """

    member: int
    process_id: int
    incarnation: int = 0

    def record(self, state: MemberState) -> MemberRecord:
        """Return the own record in a state."""
        return MemberRecord(state, self.incarnation, self.process_id)


@dataclass(frozen=True)
class ProtocolContext:
    """The parameters, identity, view, random numbers, counts and commands of one protocol instance."""

    config: ProtocolConfig
    identity: LocalIdentity
    view: MembershipView
    random: Random
    stats: MembershipStats
    commands: CommandQueue
