"""Synchronization of the watched list with the registry.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from .commands import Command, Publish, RequestProgress, Watch
from .key_values import KeyValueEvent, KeyValuePair
from .request_scheduler import RequestScheduler
from .session_state import SessionState
from .session_supervisor import SessionSupervisor
from .stats import WatcherStats
from .watched_list import WatchedList


class ListSynchronizer:
    """Updates and confirms the watched list from the responses of the active session.

    Attributes:
        watched_list: The watched list with its revision.
        sessions: The active session and the standby session.
        pacer: Polls and backoff, with the staleness guard.
        loop_lag: Lateness of the event loop.
        requests: Sends the requests of the active session.
        stats: Counts of events.
        resumable: Whether a watch can continue the list of an earlier session.
    """

    def __init__(
        self,
        watched_list: WatchedList,
        sessions: SessionSupervisor,
        requests: RequestScheduler,
        stats: WatcherStats,
        *,
        resumable: bool,
    ):
        """Create a synchronizer of `watched_list`.

        The arguments are not copied: the other components of the registry watcher use the same objects.
        """
        self.watched_list = watched_list
        self.sessions = sessions
        self.requests = requests
        self.pacer = sessions.pacer
        self.loop_lag = sessions.loop_lag
        self.stats = stats
        self.resumable = resumable

    def begin_session(
        self, now: float, session: SessionState, requested_at: float, revision: int, cluster_id: int
    ) -> list[Command]:
        """Start to watch in a session that has completed its handshake.

        The watch continues from the list's revision if that is possible; otherwise a snapshot is read first.

        Args:
            now: Time of the response.
            session: The active session.
            requested_at: Time at which the handshake was sent.
            revision: Current revision of the registry.
            cluster_id: Identity of the member's cluster; 0 if it is not known.
        """
        session.last_progress_at = now
        session.cancel_delayed_command()
        self._record_response(now - requested_at)
        self.pacer.guard.record_handshake(now - requested_at)
        self.watched_list.record_cluster(cluster_id)
        if not self.resumable or not self.watched_list.can_resume:
            return self.requests.read_snapshot(now, session)
        session.resume(self.watched_list.revision)
        watch = Watch(session.session_id, self.watched_list.revision + 1)
        return [watch, *self._observe_revision(now, session, requested_at, revision)]

    def handle_poll_response(
        self, now: float, session: SessionState, requested_at: float, revision: int
    ) -> list[Command]:
        """Handle the response to a poll that was sent at `requested_at`."""
        self._record_response(now - requested_at)
        return self._observe_revision(now, session, requested_at, revision)

    def apply_snapshot(
        self,
        now: float,
        session: SessionState,
        requested_at: float,
        revision: int,
        records: Iterable[KeyValuePair],
    ) -> list[Command]:
        """Replace the list by a snapshot and watch from its revision, unless the member lags.

        An older revision is accepted only from another cluster, or if all members lag: the registry has
        then been restored from a backup.
        """
        is_older = revision < self.watched_list.revision
        if is_older and not self.watched_list.cluster_changed and not self._record_lag(session):
            return self._abandon_lagging_member(now, session)
        if is_older or self.watched_list.cluster_changed:
            self.stats.restored += 1
        self.stats.full_reads += 1
        entries = self.watched_list.replace(revision, requested_at, records)
        self.sessions.rotation.record_success()
        had_timely_response = self.pacer.guard.had_timely_response
        next_poll_at = self.pacer.next_poll_at(requested_at) if had_timely_response else now
        session.begin_watching(now, revision, next_poll_at)
        return [Publish(entries, is_snapshot=True), Watch(session.session_id, revision + 1)]

    def apply_events(
        self,
        now: float,
        session: SessionState,
        revision: int,
        events: Iterable[KeyValueEvent],
    ) -> list[Command]:
        """Apply events of the watch, which has delivered all changes up to `revision`.

        If events are out of order some may be missing, so the session ends and a snapshot is required.
        """
        applied = self.watched_list.apply(events)
        self.stats.duplicates += applied.duplicates
        commands: list[Command] = []
        if applied.entries:
            commands.append(Publish(tuple(applied.entries), is_snapshot=False))
        if not applied.in_order:
            self.stats.gaps += 1
            self.stats.breaks += 1
            self.watched_list.snapshot_required = True
            return commands + self.sessions.fail_active(now)
        if revision < self.watched_list.revision and not applied.entries:
            return []  # The member lags, but its watch need not have lost an event.
        self.watched_list.revision = max(self.watched_list.revision, applied.last_revision, revision)
        session.watch_revision = max(session.watch_revision, self.watched_list.revision)
        self._confirm_if_caught_up(now, session)
        return commands

    def _record_response(self, duration: float) -> None:
        """Record the duration of a response to a short read.

        If recent responses are fast, the limiter of standby sessions is reset.
        """
        self.pacer.record_response(duration)
        if self.pacer.are_responses_fast:
            self.sessions.standby_limiter.reset()

    def _observe_revision(
        self, now: float, session: SessionState, requested_at: float, revision: int
    ) -> list[Command]:
        """Handle a revision returned by a read that was sent at `requested_at`.

        If the watch is behind that revision, a progress notification is requested.
        """
        if revision < self.watched_list.revision:
            return self._abandon_lagging_member(now, session)
        self._evaluate_staleness(now, session, requested_at)
        session.poll_sent_at = inf
        session.next_poll_at = self.pacer.next_poll_at(requested_at)
        session.observe_revision(requested_at, revision)
        self._confirm_if_caught_up(now, session)
        if session.watch_revision >= session.observed_revision:
            return []
        session.unconfirmed_since = min(session.unconfirmed_since, requested_at)
        return [RequestProgress(session.session_id)]

    def _evaluate_staleness(self, now: float, session: SessionState, requested_at: float) -> None:
        """Report the response to the staleness guard, unless this event loop may have delayed it."""
        if not self.loop_lag.is_punctual(now, self.pacer.config.max_staleness):
            return
        staleness = now - self.watched_list.confirmed_at
        self.stats.given_up += self.pacer.record_staleness(
            now, now - requested_at, staleness, session.has_confirmed
        )

    def _confirm_if_caught_up(self, now: float, session: SessionState) -> None:
        """Confirm the list if the watch has delivered all changes up to the polled revision."""
        if not session.is_caught_up:
            return
        if session.is_resuming:
            session.is_resuming = False
            self.stats.resumes += 1
        self.watched_list.confirm(session.observed_revision_polled_at)
        self.sessions.rotation.record_success()
        session.record_confirmation(now)

    def _record_lag(self, session: SessionState) -> bool:
        """Record that the session's member lags, and return whether all members do."""
        return self.sessions.rotation.record_lag(session.member_index)

    def _abandon_lagging_member(self, now: float, session: SessionState) -> list[Command]:
        """End a session whose member returned an older state: its changes would be outdated.

        If all members have done so, the registry was restored, and a snapshot is required.
        """
        if self._record_lag(session):
            self.watched_list.snapshot_required = True
        self.stats.lagging += 1
        return self.sessions.fail_active(now)
