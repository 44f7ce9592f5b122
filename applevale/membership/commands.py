"""Commands of the membership protocol: what its runner sends and announces."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import Message


@dataclass(frozen=True)
class SendMessage:
    """Send a message to a member."""

    target: int
    message: Message


class MembershipChange(Enum):
    """How a member changed; the value stands in events."""

    JOINED = "joined"
    DIED = "died"
    LEFT = "left"
    RESTARTED = "restarted"  # a later process of the same member, without a death in between


@dataclass(frozen=True)
class MemberChanged:
    """The change of one member."""

    member: int
    change: MembershipChange


@dataclass(frozen=True)
class ViewChanged:
    """Announce changes of the view, all at once."""

    changes: tuple[MemberChanged, ...]


class LocalStatus(Enum):
    """What a member thinks of itself; the value stands in events."""

    JOINING = "joining"
    HEALTHY = "well"
    PAUSED = "paused"  # its process stood still, and has to catch up
    ISOLATED = "alone"  # it receives nothing
    UNANSWERED = "unheard"  # it receives messages, but no answers
    SUPERSEDED = "superseded"  # a later process has its place
    LEFT = "gone"


@dataclass(frozen=True)
class StatusChanged:
    """Announce what this member thinks of itself."""

    status: LocalStatus


Command = SendMessage | ViewChanged | StatusChanged


class CommandQueue:
    """The commands of one event, in the order in which they were given."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self._commands.append(command)

    def drain(self) -> list[Command]:
        """Return all commands and forget them."""
        commands = self._commands
        self._commands = []
        return commands
