"""Commands that the membership protocol returns, for its runner to carry out."""

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
    """How a member changed. The value appears in logged events.

    Attributes:
        JOINED: The member is alive and was not before.
        DIED: The member was declared dead.
        LEFT: The member left in an orderly way.
        RESTARTED: A new process of the member appeared before the previous one was declared dead.
    """

    JOINED = "joined"
    DIED = "died"
    LEFT = "left"
    RESTARTED = "restarted"


@dataclass(frozen=True)
class MemberChanged:
    """The change of one member."""

    member: int
    change: MembershipChange


@dataclass(frozen=True)
class ViewChanged:
    """Announce the changes of the view since the previous announcement."""

    changes: tuple[MemberChanged, ...]


class LocalStatus(Enum):
    """A member's assessment of its own condition. The value appears in logged events.

    Attributes:
        JOINING: It asks others for its last incarnation before it takes part.
        HEALTHY: It exchanges messages with others in time.
        PAUSED: Its process was suspended or stalled, and now waits out a quiet period.
        ISOLATED: It receives no messages.
        UNANSWERED: It receives messages, but no answers to its own.
        SUPERSEDED: Another process has taken over its member number.
        LEFT: It left the fleet.
    """

    JOINING = "joining"
    HEALTHY = "well"
    PAUSED = "paused"
    ISOLATED = "alone"
    UNANSWERED = "unheard"
    SUPERSEDED = "superseded"
    LEFT = "gone"


@dataclass(frozen=True)
class StatusChanged:
    """Announce a new status of this member."""

    status: LocalStatus


Command = SendMessage | ViewChanged | StatusChanged


class CommandQueue:
    """Collects the commands that result from one event, in order."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self._commands.append(command)

    def drain(self) -> list[Command]:
        """Return all commands and empty the queue."""
        commands = self._commands
        self._commands = []
        return commands
