"""Failover of a registry watcher to another session, if the active one fails or is too slow.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from .commands import Command
from .session_state import SessionPhase, SessionState
from .session_supervisor import SessionSupervisor
from .stats import WatcherStats
from .watched_list import WatchedList

MIN_STANDBY_SPEEDUP = 2  # Factor by which a standby session must be faster to take over.


class FailoverController:
    """Ends sessions that broke or are silent, and decides whether the standby session takes over.

    Attributes:
        watched_list: The watched list with its revision; read only.
        sessions: The active session and the standby session.
        stats: Counts of events.
    """

    def __init__(self, watched_list: WatchedList, sessions: SessionSupervisor, stats: WatcherStats):
        """Create a controller. The watcher and its other parts share all objects."""
        self.watched_list = watched_list
        self.sessions = sessions
        self.stats = stats

    def on_disconnected(self, now: float, session_id: int, credentials_rejected: bool) -> list[Command]:
        """Handle a session that broke or could not be established."""
        if self.sessions.is_standby(session_id):
            self.sessions.fail_standby(now)
            return []
        if self.sessions.find_active(session_id) is None:
            return []
        if credentials_rejected:
            self.stats.refused += 1
        else:
            self.stats.breaks += 1
        return self.sessions.fail_active(now, credentials_rejected)

    def end_silent_session(self, now: float, session: SessionState) -> list[Command]:
        """End the active session, which has reached its timeout."""
        if session.phase is SessionPhase.CONNECTING:
            self.stats.breaks += 1
        else:
            self.stats.stalls += 1
        return self.sessions.fail_active(now)

    def is_standby_due(self, now: float) -> bool:
        """Return whether the active session has been silent for long enough to open a standby session."""
        return now >= self.sessions.standby_start_at(self.watched_list.confirmed_at)

    def open_standby(self, now: float) -> list[Command]:
        """Open a standby session with the next member."""
        self.stats.trials += 1
        return self.sessions.open_standby(now)

    def check_standby_timeout(self, now: float) -> None:
        """End the standby session if it has been silent for too long."""
        if self.sessions.standby is None:
            return
        if now >= self.sessions.standby_expires_at(self.watched_list.confirmed_at):
            self.drop_slow_standby()

    def drop_slow_standby(self) -> None:
        """End the standby session, which is no faster than the active one."""
        self.sessions.drop_slow_standby()
        self.stats.slow_for_all += 1

    def replace_by_faster_standby(
        self, now: float, standby: SessionState, revision: int, cluster_id: int
    ) -> bool:
        """Promote the standby session if the active one has been silent for much longer, or else end it.

        A standby session whose member returns an older revision of the same cluster counts as failed.

        Args:
            now: Time of the response to the standby session's handshake.
            standby: The standby session.
            revision: Revision that the member returned.
            cluster_id: Identity of the member's cluster; 0 if unknown.

        Returns:
            Whether the standby session has become the active one.
        """
        is_same_cluster = cluster_id in (0, self.watched_list.cluster_id)
        if revision < self.watched_list.revision and is_same_cluster:
            self.sessions.fail_standby(now)
            return False
        silence = now - self.sessions.active.waiting_since
        if MIN_STANDBY_SPEEDUP * (now - standby.started_at) > silence:
            self.drop_slow_standby()
            return False
        self.stats.stalls += 1
        self.sessions.promote_standby()
        return True
