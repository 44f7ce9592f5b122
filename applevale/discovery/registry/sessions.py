"""Sessions of a registry watcher: the active one, the standby, and the rotation over the registry's members.

No I/O and no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from .commands import Command, Connect
from .pacing import LoopLagMonitor, RequestPacer, StandbyLimiter


class SessionPhase(Enum):
    """What a session is waiting for."""

    CONNECTING = "connecting"
    READING = "reading"
    WATCHING = "watching"


@dataclass
class SessionState:
    """State of one session.

    Attributes:
        session_id: Number of the session.
        member_index: Position of its member in the list of addresses.
        started_at: Time at which it was begun, or its handshake repeated.
        last_progress_at: Time of the last response that advanced it.
        phase: What it is waiting for.
        poll_sent_at: Time of the poll in flight; infinite if there is none.
        next_poll_at: Time of the next poll.
        delayed_command: A command that is sent after a backoff.
        delayed_until: End of that backoff; infinite if there is none.
        silence_random: Random value from 0 to 1 that belongs to the last poll.
        unconfirmed_since: Time of the oldest poll that has confirmed nothing yet; infinite if there is none.
        observed_revision: Highest revision that a poll has returned.
        observed_revision_polled_at: Time at which the last counted poll was sent.
        watch_revision: Revision up to which its watch has delivered all changes.
        is_resuming: Whether it continues an earlier session's list and has not confirmed it yet.
        has_confirmed: Whether it has confirmed the list.
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
    silence_random: float = 0.0
    unconfirmed_since: float = inf
    observed_revision: int = 0
    observed_revision_polled_at: float = -inf
    watch_revision: int = 0
    is_resuming: bool = False
    has_confirmed: bool = False

    @property
    def can_poll(self) -> bool:
        """Whether a poll may be sent: no other is in flight."""
        return self.phase is SessionPhase.WATCHING and self.poll_sent_at == inf

    @property
    def is_caught_up(self) -> bool:
        """Whether the watch has delivered all changes up to the revision that polls have observed."""
        return self.watch_revision >= self.observed_revision and self.observed_revision_polled_at > -inf

    @property
    def waiting_since(self) -> float:
        """Time from which the session has not advanced; infinite if nothing is expected from it.

        While a watch is delayed nothing can be confirmed: polls alone count.
        """
        if self.delayed_command is not None:
            return self.poll_sent_at if self.phase is SessionPhase.WATCHING else inf
        return self.started_at if self.phase is SessionPhase.CONNECTING else self.unconfirmed_since

    def delay(self, command: Command, until: float) -> None:
        """Send a command after a backoff."""
        self.delayed_command = command
        self.delayed_until = until

    def take_delayed_command(self) -> Command | None:
        """Remove and return the delayed command."""
        command = self.delayed_command
        self.delayed_command = None
        self.delayed_until = inf
        return command

    def record_poll(self, now: float, random_value: float) -> None:
        """Record that a poll is sent."""
        self.poll_sent_at = now
        self.silence_random = random_value
        self.unconfirmed_since = min(self.unconfirmed_since, now)

    def cancel_poll(self) -> None:
        """Forget the poll in flight and those that have confirmed nothing."""
        self.poll_sent_at = inf
        self.unconfirmed_since = inf

    def resume(self, revision: int) -> None:
        """Watch from a revision up to which an earlier session's list is complete."""
        self.is_resuming = True
        self.watch_revision = revision
        self.phase = SessionPhase.WATCHING

    def begin_watching(self, now: float, revision: int, next_poll_at: float) -> None:
        """Watch from the revision of a snapshot that the session has read."""
        self.watch_revision = revision
        self.observed_revision = revision
        self.last_progress_at = now
        self.phase = SessionPhase.WATCHING
        self.next_poll_at = next_poll_at

    def record_confirmation(self, now: float) -> None:
        """Record that the list was confirmed; only the poll in flight is waited for."""
        self.has_confirmed = True
        self.last_progress_at = now
        self.unconfirmed_since = self.poll_sent_at

    def observe_revision(self, polled_at: float, revision: int) -> None:
        """Record the revision that a poll returned, unless a later poll has been counted."""
        if polled_at > self.observed_revision_polled_at:
            self.observed_revision = max(self.observed_revision, revision)
            self.observed_revision_polled_at = polled_at


@dataclass
class MemberRotation:
    """The registry's members in turn, and their consecutive failures.

    Attributes:
        member_count: Number of addresses.
        last_index: Position of the member that was tried last; -1 before the first.
        failures: Consecutive sessions that failed.
        credential_failures: How many of the last of them failed because credentials were rejected.
        lagging_members: Members that returned an older state since one was up to date.
    """

    member_count: int
    last_index: int = -1
    failures: int = 0
    credential_failures: int = 0
    lagging_members: set[int] = field(default_factory=set)

    def next_index(self) -> int:
        """Advance to the next member and return its position."""
        self.last_index = (self.last_index + 1) % self.member_count
        return self.last_index

    def record_success(self) -> None:
        """Record that a member is up to date."""
        self.failures = 0
        self.credential_failures = 0
        self.lagging_members.clear()

    def record_failure(self, credentials_rejected: bool) -> None:
        """Record a session that failed."""
        self.failures += 1
        self.credential_failures = self.credential_failures + 1 if credentials_rejected else 0

    def record_lag(self, member_index: int) -> bool:
        """Record a member that returned an older state; return whether all members have done so."""
        self.lagging_members.add(member_index)
        return len(self.lagging_members) >= self.member_count

    def replace_members(self, member_count: int) -> None:
        """Begin anew with other members."""
        self.member_count = member_count
        self.last_index = -1
        self.failures = 0
        self.lagging_members.clear()


@dataclass
class SessionSupervisor:
    """Owner of the active session and the standby session.

    A standby session is opened with the next member while the active one is silent. It takes over only if
    it turns out to be faster, or if the active one fails.

    Attributes:
        rotation: The members and their failures.
        pacer: Timeouts and backoff.
        loop_lag: Lateness of the own event loop.
        standby_limiter: How often a standby session may be opened.
        active: The session whose responses count; None during a backoff.
        standby: The session that is tried beside the active one.
        opened_count: Number of sessions opened so far.
        reconnect_at: End of the backoff.
    """

    rotation: MemberRotation
    pacer: RequestPacer
    loop_lag: LoopLagMonitor
    standby_limiter: StandbyLimiter
    active: SessionState | None = None
    standby: SessionState | None = None
    opened_count: int = 0
    reconnect_at: float = -inf

    @property
    def open_ids(self) -> set[int]:
        """Numbers of the sessions that have not ended."""
        return {session.session_id for session in (self.active, self.standby) if session is not None}

    @property
    def active_phase(self) -> SessionPhase | None:
        """Phase of the active session; None during a backoff."""
        return None if self.active is None else self.active.phase

    def find(self, session_id: int, phase: SessionPhase | None = None) -> SessionState | None:
        """Return the active session if it has this number and, where given, is in this phase."""
        session = self.active
        if session is None or session.session_id != session_id:
            return None
        return session if phase is None or session.phase is phase else None

    def is_standby(self, session_id: int) -> bool:
        """Return whether the standby session has this number."""
        return self.standby is not None and self.standby.session_id == session_id

    def connect(self, now: float) -> list[Command]:
        """Open an active session with the next member."""
        self.active = self._open(now)
        return [Connect(self.active.session_id, self.active.member_index)]

    def replace_members(self, now: float, member_count: int) -> list[Command]:
        """End all sessions and connect to other members."""
        self.rotation.replace_members(member_count)
        self.active = None
        self.standby = None
        return self.connect(now)

    def fail_active(self, now: float, credentials_rejected: bool = False) -> list[Command]:
        """End the active session.

        The standby session takes its place. Without one the next member is tried at once, as long as there
        is one that has not failed in this round; then a backoff begins.
        """
        rotation = self.rotation
        rotation.record_failure(credentials_rejected)
        self.active = self.standby
        self.standby = None
        if self.active is not None:
            return []
        rounds, failed_in_round = divmod(rotation.failures, rotation.member_count)
        if failed_in_round:
            return self.connect(now)
        if rotation.credential_failures >= rotation.member_count:
            self.reconnect_at = now + self.pacer.credentials_delay()
        else:
            self.reconnect_at = now + self.pacer.reconnect_delay(rounds - 1)
        return []

    def open_standby(self, now: float) -> list[Command]:
        """Open a standby session with the next member."""
        self.standby_limiter.record_start(now, self.rotation.member_count)
        self.standby = self._open(now)
        return [Connect(self.standby.session_id, self.standby.member_index)]

    def drop_slow_standby(self) -> None:
        """End the standby session, which is no faster than the active one."""
        self.standby = None
        self.standby_limiter.record_not_faster()

    def fail_standby(self, now: float) -> None:
        """End the standby session, which failed; another member is tried soon."""
        self.standby = None
        backoff = self.pacer.reconnect_delay(self.standby_limiter.failure_count)
        self.standby_limiter.record_failure(now, backoff)

    def promote_standby(self) -> None:
        """Replace the active session by the standby session."""
        self.standby_limiter.record_takeover()
        self.active = self.standby
        self.standby = None
        self.pacer.reset_latency()

    def next_deadline(self, confirmed_at: float) -> float:
        """Return the time of the next tick; `confirmed_at` is the time of the last confirmation."""
        session = self.active
        if session is None:
            return self.reconnect_at
        grace_until = self.loop_lag.grace_until
        poll_at = session.next_poll_at if session.can_poll else inf
        silent_at = max(grace_until, min(self.standby_start_at(confirmed_at), self.active_expires_at()))
        standby_over_at = inf
        if self.standby is not None:
            standby_over_at = max(grace_until, self.standby_expires_at(confirmed_at))
        return min(session.delayed_until, poll_at, silent_at, standby_over_at)

    def active_expires_at(self) -> float:
        """Return the time at which the active session has failed, with a standby session or without."""
        session = self.active
        if session.phase is not SessionPhase.READING:
            return session.waiting_since + self.pacer.session_timeout()
        if session.delayed_command is not None:
            return inf
        return session.last_progress_at + self.pacer.config.snapshot_timeout

    def standby_start_at(self, confirmed_at: float) -> float:
        """Return the time at which a standby session is to be opened."""
        if self.standby is not None or self.active.phase is SessionPhase.READING:
            return inf
        impatient_at = self.active.waiting_since + self._patience(confirmed_at)
        allowed_at = self.standby_limiter.earliest_start(self.rotation.member_count)
        if self.pacer.is_degraded:
            delay = self.pacer.config.degraded_standby_delay
            allowed_at = max(allowed_at, self.pacer.guard.state_since + delay)
        return max(impatient_at, allowed_at)

    def standby_expires_at(self, confirmed_at: float) -> float:
        """Return the time at which a silent standby session is no better than the active one."""
        return self.standby.started_at + self.pacer.standby_timeout(self._patience(confirmed_at))

    def _patience(self, confirmed_at: float) -> float:
        session = self.active
        silence = session.waiting_since - confirmed_at
        return self.pacer.standby_patience(silence, session.silence_random, self.loop_lag.lateness)

    def _open(self, now: float) -> SessionState:
        self.opened_count += 1
        return SessionState(
            self.opened_count, self.rotation.next_index(), started_at=now, last_progress_at=now
        )
