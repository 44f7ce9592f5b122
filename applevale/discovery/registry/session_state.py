"""State of one session of a registry watcher.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from .commands import Command


class SessionPhase(Enum):
    """What a session is waiting for."""

    CONNECTING = "connecting"
    READING = "reading"
    WATCHING = "watching"


@dataclass
class SessionState:
    """State of one session.

    Attributes:
        session_id: Number of the session, unique within one watcher.
        member_index: Index of the member in the list of addresses.
        started_at: Time at which the session was opened, or its first request was last retried.
        last_progress_at: Time of the last response that advanced the session.
        phase: What the session is waiting for.
        poll_sent_at: Time at which the poll in flight was sent; infinite if there is none.
        next_poll_at: Time of the next poll.
        delayed_command: Command that is sent after a backoff.
        delayed_until: End of that backoff; infinite if there is none.
        standby_delay_random: Random number from 0 to 1, drawn with each poll, that randomizes how long
            the session may be silent before a standby session is opened.
        unconfirmed_since: Time of the oldest poll since the last confirmation; infinite if there is none.
        observed_revision: Highest revision that a poll has returned.
        observed_revision_polled_at: Time at which the latest poll with a response was sent.
        watch_revision: Revision up to which the watch has delivered all changes.
        is_resuming: Whether the session continues the list of an earlier session and has not yet
            confirmed it.
        has_confirmed: Whether the session has confirmed the list.
    """

    session_id: int
    member_index: int
    started_at: float
    last_progress_at: float
    phase: SessionPhase = SessionPhase.CONNECTING
    poll_sent_at: float = inf
    next_poll_at: float = inf
    delayed_command: Command | None = None
    delayed_until: float = inf
    standby_delay_random: float = 0.0
    unconfirmed_since: float = inf
    observed_revision: int = 0
    observed_revision_polled_at: float = -inf
    watch_revision: int = 0
    is_resuming: bool = False
    has_confirmed: bool = False

    @property
    def can_poll(self) -> bool:
        """Whether a poll may be sent: the session is watching and no poll is in flight."""
        return self.phase is SessionPhase.WATCHING and self.poll_sent_at == inf

    @property
    def is_caught_up(self) -> bool:
        """Whether the watch has delivered all changes up to the revision that polls have observed."""
        return self.watch_revision >= self.observed_revision and self.observed_revision_polled_at > -inf

    @property
    def waiting_since(self) -> float:
        """Time since which the session has made no progress; infinite if no response is expected.

        While the watch is delayed the list cannot be confirmed, so only the poll in flight counts.
        """
        if self.delayed_command is not None:
            return self.poll_sent_at if self.phase is SessionPhase.WATCHING else inf
        return self.started_at if self.phase is SessionPhase.CONNECTING else self.unconfirmed_since

    def delay_command(self, command: Command, until: float) -> None:
        """Hold a command back until the end of a backoff."""
        self.delayed_command = command
        self.delayed_until = until

    def take_delayed_command(self) -> Command | None:
        """Remove and return the delayed command."""
        command = self.delayed_command
        self.cancel_delayed_command()
        return command

    def cancel_delayed_command(self) -> None:
        """Remove the delayed command, if there is one."""
        self.delayed_command = None
        self.delayed_until = inf

    def record_poll(self, now: float, random_value: float) -> None:
        """Record that a poll is being sent."""
        self.poll_sent_at = now
        self.standby_delay_random = random_value
        self.unconfirmed_since = min(self.unconfirmed_since, now)

    def cancel_poll(self) -> None:
        """Forget the poll in flight and the earlier polls that have confirmed nothing."""
        self.poll_sent_at = inf
        self.unconfirmed_since = inf

    def resume(self, revision: int) -> None:
        """Enter the watching phase from a revision up to which the list is already complete."""
        self.is_resuming = True
        self.watch_revision = revision
        self.phase = SessionPhase.WATCHING

    def begin_watching(self, now: float, revision: int, next_poll_at: float) -> None:
        """Enter the watching phase from the revision of a snapshot that the session has read."""
        self.watch_revision = revision
        self.observed_revision = revision
        self.last_progress_at = now
        self.phase = SessionPhase.WATCHING
        self.next_poll_at = next_poll_at

    def record_confirmation(self, now: float) -> None:
        """Record that the list was confirmed; of the polls, only the one in flight remains unconfirmed."""
        self.has_confirmed = True
        self.last_progress_at = now
        self.unconfirmed_since = self.poll_sent_at

    def observe_revision(self, polled_at: float, revision: int) -> None:
        """Record the revision that a poll returned, unless a later poll has already been recorded."""
        if polled_at > self.observed_revision_polled_at:
            self.observed_revision = max(self.observed_revision, revision)
            self.observed_revision_polled_at = polled_at
