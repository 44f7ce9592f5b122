"""Scheduling of the requests of a registry watcher's active session, including retries.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from .commands import Command, Handshake, PollRevision, ReadAll, Watch
from .pacing import RequestPacer
from .session_state import SessionPhase, SessionState
from .stats import WatcherStats
from .watched_list import WatchedList


class RequestScheduler:
    """Sends requests over the active session, after a backoff if the service is slow or throttles requests.

    Attributes:
        watched_list: The watched list with its revision; read only.
        pacer: Timing of polls and backoff.
        stats: Counts of events.
    """

    def __init__(self, watched_list: WatchedList, pacer: RequestPacer, stats: WatcherStats):
        """Create a scheduler. The watcher and its other parts share all objects."""
        self.watched_list = watched_list
        self.pacer = pacer
        self.stats = stats

    def poll(self, now: float, session: SessionState) -> list[Command]:
        """Poll the registry's revision."""
        session.record_poll(now, self.pacer.random.random())
        return [PollRevision(session.session_id, now)]

    def read_snapshot(self, now: float, session: SessionState) -> list[Command]:
        """Read all records, after a delay if the service is slow or throttles requests."""
        session.phase = SessionPhase.READING
        session.last_progress_at = now
        session.cancel_poll()
        command = ReadAll(session.session_id)
        delay = self.pacer.snapshot_delay()
        if not delay:
            return [command]
        session.delay_command(command, now + delay)
        return []

    def take_delayed_command(self, now: float, session: SessionState) -> Command:
        """Return the delayed command of a session at the end of its backoff."""
        command = session.take_delayed_command()
        if isinstance(command, Watch):  # The list may have advanced during the backoff.
            return self._watch(session)
        session.started_at = now
        session.last_progress_at = now
        return command

    def repeat_throttled(self, now: float, session: SessionState, retry_after: float, is_watch: bool) -> None:
        """Schedule a retry of a request that the member throttled.

        Args:
            now: Time of the response.
            session: The active session, which remains usable.
            retry_after: Delay that the member asked for, in s.
            is_watch: Whether the request was the watch, which has ended.
        """
        self.stats.declined += 1
        retry_at = self.pacer.record_throttled(now, retry_after)
        if session.phase is not SessionPhase.WATCHING:
            session.delay_command(self._opening_request(session), retry_at)
            session.last_progress_at = now
        elif is_watch:
            session.delay_command(self._watch(session), retry_at)
        else:
            session.cancel_poll()
            session.next_poll_at = max(retry_at, self.pacer.next_poll_at(now))

    def _watch(self, session: SessionState) -> Watch:
        return Watch(session.session_id, self.watched_list.revision + 1)

    def _opening_request(self, session: SessionState) -> Command:
        """Return the request whose response a session needs before it can watch."""
        if session.phase is SessionPhase.CONNECTING:
            return Handshake(session.session_id)
        return ReadAll(session.session_id)
