"""Configuration, state and outputs that all components of the membership protocol share."""

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
        incarnation: SWIM's incarnation number; 0 while the member joins. Only `LocalMember` changes it.
    """

    member: int
    process_id: int
    incarnation: int = 0

    def record(self, state: MemberState) -> MemberRecord:
        """Return the record of this member with the given state."""
        return MemberRecord(state, self.incarnation, self.process_id)


@dataclass(frozen=True)
class ProtocolContext:
    """What the components of one protocol instance share.

    Attributes:
        config: Parameters of the protocol.
        identity: Number, process and incarnation of this member.
        view: What this member knows of all members.
        random: The source of all random draws.
        stats: Counts of what the protocol did.
        commands: Commands that result from the current event.
    """

    config: ProtocolConfig
    identity: LocalIdentity
    view: MembershipView
    random: Random
    stats: MembershipStats
    commands: CommandQueue
