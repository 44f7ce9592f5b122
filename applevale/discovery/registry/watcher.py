"""State machine that watches a registry and keeps a list of endpoints up to date.

The module does no I/O and reads no clock. The driver reports events and their times through the `on_...`
methods, and executes the commands that they return. Invariants:

- Each change is published once, in the order of revisions. The revision decreases only if a snapshot shows
  that the registry was restored.
- When the response to a poll shows that the list was complete, the list is confirmed as of the time at which
  that poll was sent. The time of the response is not used, since the response may have been delayed.
- A published list stays until a newer one is known. No failure empties it.
- Responses of a session (a connection to one member) are ignored once another session has replaced it.
- A session has at most one poll in flight. Polls are as frequent as the staleness bound requires. While the
  bound cannot be guaranteed, polls are rare and the list counts as not confirmed.
- A working session is not abandoned merely because the service is slow for all clients. If a session is
  silent for longer than usual, a standby session is opened with the next member. If the standby session
  responds at least twice as fast, it takes over. Otherwise all members are slow: the active session stays,
  and the interval before the next standby session grows.
- A throttled request is retried in the same session after a backoff.

A session goes through the phases connecting, reading (unless it can resume) and watching. A session is ended
if its member returns an older state than one that was seen before. Once all members have done so, with no
up-to-date member in between, the registry counts as restored from a backup, and its state is adopted.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from .commands import Command, Publish
from .endpoint_table import EndpointTable
from .failover import FailoverController
from .key_values import KeyValueEvent, KeyValuePair
from .loop_lag import LoopLagMonitor
from .member_rotation import MemberRotation
from .pacing import RequestPacer
from .request_scheduler import RequestScheduler
from .session_state import SessionPhase, SessionState
from .session_supervisor import SessionSupervisor
from .standby_limiter import StandbyLimiter
from .stats import WatcherStats
from .synchronizer import ListSynchronizer
from .watched_list import WatchedList
from .watcher_config import WatcherConfig


class RegistryWatcher:
    """Watches a registry over one active session at a time.

    The `on_...` methods return the commands to execute. Their common parameters are `now`, the time of the
    event, `session_id`, the number of the session, and `requested_at`, the time at which the request of a
    response was sent.

    Attributes:
        config: Timing parameters.
        watched_list: The watched list with its revision.
        pacer: Timing of polls, backoff and timeouts, with the staleness guard.
        loop_lag: Lateness of the event loop.
        sessions: The active session and the standby session.
        stats: Counts of events.
        requests: Sends and retries the requests of the active session.
        failover: Handles timeouts of sessions and takeovers by the standby session.
        synchronizer: Keeps the list up to date over the active session.
    """

    def __init__(
        self,
        member_count: int,
        table: EndpointTable,
        *,
        resumable: bool = True,
        config: WatcherConfig | None = None,
        random: Random | None = None,
        last_member_index: int = -1,
    ):
        """Create a watcher that has no session yet; the first `on_tick` opens one.

        Args:
            member_count: Number of the registry's members.
            table: Receives the list that is kept up to date.
            resumable: Whether a watch can continue the list of an earlier session.
            config: Timing parameters.
            random: Source of all jitter.
            last_member_index: Index of the member before the one that is tried first; -1 for the first
                member.
        """
        self.config = WatcherConfig() if config is None else config
        self.stats = WatcherStats()
        self.watched_list = WatchedList(table)
        self.pacer = RequestPacer(self.config, Random(0) if random is None else random)
        self.loop_lag = LoopLagMonitor(self.config.late_tick_threshold)
        rotation = MemberRotation(member_count, last_member_index)
        standby_limiter = StandbyLimiter(self.config)
        self.sessions = SessionSupervisor(rotation, self.pacer, self.loop_lag, standby_limiter)
        self.requests = RequestScheduler(self.watched_list, self.pacer, self.stats)
        self.failover = FailoverController(self.watched_list, self.sessions, self.stats)
        self.synchronizer = ListSynchronizer(
            self.watched_list, self.sessions, self.requests, self.stats, resumable=resumable
        )

    # --- State ----------------------------------------------------------------------------------------------

    @property
    def session(self) -> SessionState | None:
        """The active session; None during a backoff."""
        return self.sessions.active

    @property
    def open_sessions(self) -> set[int]:
        """Numbers of the sessions that have not ended."""
        return self.sessions.open_ids

    @property
    def revision(self) -> int:
        """Revision up to which the list is complete; 0 before the first snapshot."""
        return self.watched_list.revision

    @property
    def confirmed_at(self) -> float:
        """Time as of which the list was last confirmed."""
        return self.watched_list.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the staleness bound is guaranteed and the list was confirmed within it."""
        return (
            self.pacer.guard.is_guaranteed
            and now - self.watched_list.confirmed_at <= self.config.max_staleness
        )

    def next_deadline(self) -> float:
        """Return the time by which `on_tick` has to be called."""
        return self.sessions.next_deadline(self.watched_list.confirmed_at)

    # --- Events ---------------------------------------------------------------------------------------------

    def restore(self, revision: int, records: Iterable[KeyValuePair]) -> list[Command]:
        """Publish a stored list, which is not confirmed; the first session resumes from its revision."""
        return [Publish(self.watched_list.restore(revision, records), is_snapshot=True)]

    def on_tick(self, now: float) -> list[Command]:
        """Execute what is due: polls, delayed requests, timeouts and reconnects."""
        session = self.session
        if session is None:
            return self.sessions.connect(now) if now >= self.sessions.reconnect_at else []
        self.loop_lag.record_tick(now, self.next_deadline())
        is_grace_over = now >= self.loop_lag.grace_until
        if is_grace_over and now >= self.sessions.active_expires_at():
            return self.failover.end_silent_session(now, session)
        if is_grace_over:
            self.failover.check_standby_timeout(now)
        if now >= session.delayed_until:
            return [self.requests.take_delayed_command(now, session)]
        if session.can_poll and now >= session.next_poll_at:
            return self.requests.poll(now, session)
        if is_grace_over and self.failover.is_standby_due(now):
            return self.failover.open_standby(now)
        return []

    def on_connected(
        self, now: float, session_id: int, requested_at: float, revision: int, cluster_id: int = 0
    ) -> list[Command]:
        """Handle the response to a session's first read.

        If a list is known the watch continues from its revision. A snapshot is read if there is no list, or
        if the cluster's identity has changed, since that cluster may be a restored backup. `cluster_id` is 0
        if the identity is unknown.
        """
        self.loop_lag.record_event(now)
        session = self.sessions.find_active(session_id, SessionPhase.CONNECTING)
        if self.sessions.is_standby(session_id):
            standby = self.sessions.standby
            is_promoted = self.failover.replace_by_faster_standby(now, standby, revision, cluster_id)
            session = standby if is_promoted else None
        if session is None:
            return []
        return self.synchronizer.begin_session(now, session, requested_at, revision, cluster_id)

    def on_throttled(
        self, now: float, session_id: int, retry_after: float = 0.0, is_watch: bool = False
    ) -> list[Command]:
        """Handle a request that the member rejected because of its load; it is retried after a backoff.

        The member asked for a delay of `retry_after` seconds. If `is_watch`, the request was the watch, which
        has then ended. The session remains usable.
        """
        self.loop_lag.record_event(now)
        if self.sessions.is_standby(session_id):
            self.failover.drop_slow_standby()
            return []
        session = self.sessions.find_active(session_id)
        if session is not None:
            self.requests.repeat_throttled(now, session, retry_after, is_watch)
        return []

    def on_disconnected(
        self, now: float, session_id: int, credentials_rejected: bool = False
    ) -> list[Command]:
        """Handle a session that broke or could not be established."""
        return self.failover.on_disconnected(now, session_id, credentials_rejected)

    def on_snapshot(
        self,
        now: float,
        session_id: int,
        requested_at: float,
        revision: int,
        records: Iterable[KeyValuePair],
    ) -> list[Command]:
        """Handle the response to a full read, which returned all records as of `revision`."""
        self.loop_lag.record_event(now)
        session = self.sessions.find_active(session_id, SessionPhase.READING)
        if session is None:
            return []
        return self.synchronizer.apply_snapshot(now, session, requested_at, revision, records)

    def on_events(
        self,
        now: float,
        session_id: int,
        revision: int,
        events: Iterable[KeyValueEvent],
    ) -> list[Command]:
        """Handle events of the watch, or a progress notification if `events` is empty.

        The watch has delivered all events up to `revision`.
        """
        self.loop_lag.record_event(now)
        session = self.sessions.find_active(session_id, SessionPhase.WATCHING)
        if session is None:
            return []
        return self.synchronizer.apply_events(now, session, revision, events)

    def on_revision(self, now: float, session_id: int, requested_at: float, revision: int) -> list[Command]:
        """Handle the response to a poll, which returned the registry's revision."""
        self.loop_lag.record_event(now)
        session = self.sessions.find_active(session_id, SessionPhase.WATCHING)
        if session is None:
            return []
        return self.synchronizer.handle_poll_response(now, session, requested_at, revision)

    def on_compacted(self, now: float, session_id: int) -> list[Command]:
        """Handle a watch that cannot continue, because the events after its revision were compacted."""
        self.loop_lag.record_event(now)
        session = self.sessions.find_active(session_id, SessionPhase.WATCHING)
        if session is None:
            return []
        self.stats.compactions += 1
        self.watched_list.snapshot_required = True
        return self.requests.read_snapshot(now, session)

    def replace_members(self, now: float, member_count: int) -> list[Command]:
        """Connect to a new set of members; the list and its revision stay."""
        return self.sessions.replace_members(now, member_count)
