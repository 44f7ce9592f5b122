"""Lifecycle of the active session and the standby session of a registry watcher.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from .commands import Command, Connect
from .loop_lag import LoopLagMonitor
from .member_rotation import MemberRotation
from .pacing import RequestPacer
from .session_state import SessionPhase, SessionState
from .standby_limiter import StandbyLimiter


@dataclass
class SessionSupervisor:
    """Owns the active session and the standby session, and decides when each is opened.

    A standby session is opened with the next member while the active session is silent. It takes over only
    if it is faster, or if the active session fails.

    Attributes:
        rotation: Order in which members are tried, with their failures.
        pacer: Timeouts and backoff.
        loop_lag: Lateness of this process's event loop.
        standby_limiter: Limit on how often standby sessions are opened.
        active: Session that keeps the list up to date; None during a backoff.
        standby: Session that is compared with the active one; None if there is none.
        opened_count: Number of sessions opened so far.
        reconnect_at: End of the backoff after all members failed.
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

    def find_active(self, session_id: int, phase: SessionPhase | None = None) -> SessionState | None:
        """Return the active session if it has this number and, if given, this phase; None otherwise."""
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

        The standby session takes its place if there is one. Otherwise the next member is tried immediately,
        until all members have failed in the current round; then a backoff begins.
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
        """End the standby session, which failed; the next one may be opened after a short backoff."""
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
        """Return the time by which the next tick is due.

        Args:
            confirmed_at: Time as of which the list was last confirmed.
        """
        session = self.active
        if session is None:
            return self.reconnect_at
        grace_until = self.loop_lag.grace_until
        poll_at = session.next_poll_at if session.can_poll else inf
        silence_deadline = min(self.standby_start_at(confirmed_at), self.active_expires_at())
        standby_deadline = inf
        if self.standby is not None:
            standby_deadline = max(grace_until, self.standby_expires_at(confirmed_at))
        return min(session.delayed_until, poll_at, max(grace_until, silence_deadline), standby_deadline)

    def active_expires_at(self) -> float:
        """Return the time at which the active session counts as failed if it remains silent."""
        session = self.active
        if session.phase is not SessionPhase.READING:
            return session.waiting_since + self.pacer.session_timeout()
        if session.delayed_command is not None:
            return inf
        return session.last_progress_at + self.pacer.config.snapshot_timeout

    def standby_start_at(self, confirmed_at: float) -> float:
        """Return the time at which a standby session is due; infinite if none is needed."""
        if self.standby is not None or self.active.phase is SessionPhase.READING:
            return inf
        due_at = self.active.waiting_since + self._standby_delay(confirmed_at)
        allowed_at = self.standby_limiter.earliest_start(self.rotation.member_count)
        if self.pacer.is_degraded:
            delay = self.pacer.config.degraded_standby_holdoff
            allowed_at = max(allowed_at, self.pacer.guard.state_since + delay)
        return max(due_at, allowed_at)

    def standby_expires_at(self, confirmed_at: float) -> float:
        """Return the time at which a silent standby session counts as no faster than the active one."""
        return self.standby.started_at + self.pacer.standby_timeout(self._standby_delay(confirmed_at))

    def _standby_delay(self, confirmed_at: float) -> float:
        """Return how long the active session may be silent before a standby session is opened, in s."""
        session = self.active
        silence = session.waiting_since - confirmed_at
        return self.pacer.standby_delay(silence, session.standby_delay_random, self.loop_lag.lateness)

    def _open(self, now: float) -> SessionState:
        self.opened_count += 1
        return SessionState(
            self.opened_count, self.rotation.next_index(), started_at=now, last_progress_at=now
        )
