"""State machine that watches a registry and keeps a list of endpoints up to date.

No I/O and no clock. The driver reports what happened through the `on_...` methods, each with the time, and
carries out the commands that they return. Invariants:

- A change is published once, in the order of revisions. The revision decreases only with a snapshot that is
  taken for that of a restored registry.
- The list is confirmed as of the time at which a poll was sent whose response shows that the list was
  complete. It is never confirmed as of the time of the response, which may have been delayed.
- A published list remains until a better one is known; no failure empties it.
- Responses of a session (a connection to one member) are ignored once another session has replaced it.
- A session has at most one poll in flight. Polls are as frequent as the staleness bound requires; while the
  bound cannot be guaranteed they are rare, and the list counts as not confirmed.
- A working session is not abandoned because the service is slow for all clients. If it is silent for longer
  than usual, a standby session is opened with the next member. If the standby responds at least twice as
  fast, it takes over; otherwise all members are slow, the session stays, and the interval before the next
  standby session grows.
- A throttled request is repeated in the same session after a backoff.

A session goes through the phases connecting, reading (unless it can resume) and watching. A member that
returns an older state than one that was seen before is abandoned. Only when all members in a row have done
so, the registry is considered restored from a backup, and its list is taken over.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from .commands import Command, Handshake, Publish, ReadAll, Watch
from .endpoint_table import EndpointTable
from .pacing import LoopLagMonitor, RequestPacer, StandbyLimiter, WatcherConfig
from .sessions import MemberRotation, SessionPhase, SessionState, SessionSupervisor
from .stats import WatcherStats
from .synchronizer import ListSynchronizer
from .watched_list import WatchedList

STANDBY_SPEEDUP = 2  # a standby session takes over if it is faster by this factor


class RegistryWatcher:
    """Watches a registry over one active session at a time.

    Attributes:
        config: Timing parameters.
        watched_list: The watched list with its revision.
        pacer: Polls, backoff and timeouts, with the staleness guard.
        loop_lag: Lateness of the driver's event loop.
        sessions: The active session and the standby session.
        stats: Numbers of events.
        synchronizer: What keeps the list up to date over the active session.
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
            member_count: Number of addresses of the registry.
            table: The list that is kept up to date.
            resumable: Whether a watch can continue the list of an earlier session.
            config: Timing parameters.
            random: Source of jitter.
            last_member_index: Position of the member before the one that is tried first.
        """
        self.config = WatcherConfig() if config is None else config
        self.watched_list = WatchedList(table)
        self.pacer = RequestPacer(self.config, Random(0) if random is None else random)
        self.loop_lag = LoopLagMonitor(self.config.late_tick_threshold)
        self.sessions = SessionSupervisor(
            MemberRotation(member_count, last_member_index),
            self.pacer,
            self.loop_lag,
            StandbyLimiter(self.config),
        )
        self.stats = WatcherStats()
        self.synchronizer = ListSynchronizer(
            self.watched_list, self.sessions, self.stats, resumable=resumable
        )

    # --- state ----------------------------------------------------------------------------------------------

    @property
    def session(self) -> SessionState | None:
        """The active session; None during a backoff."""
        return self.sessions.active

    @property
    def standby_session(self) -> SessionState | None:
        """The session that is tried beside the active one."""
        return self.sessions.standby

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
        """Return the time at which `on_tick` is due at the latest."""
        return self.sessions.next_deadline(self.watched_list.confirmed_at)

    # --- events ---------------------------------------------------------------------------------------------

    def restore(self, revision: int, records: Iterable[tuple[str, int, bytes]]) -> list[Command]:
        """Publish a stored list, which is not confirmed; a watch is tried from its revision."""
        return [Publish(self.watched_list.restore(revision, records), is_snapshot=True)]

    def on_tick(self, now: float) -> list[Command]:
        """Do what is due: polls, delayed requests, timeouts and reconnects."""
        session = self.session
        if session is None:
            return self.sessions.connect(now) if now >= self.sessions.reconnect_at else []
        self.loop_lag.record_tick(now, self.next_deadline())
        is_silence_certain = now >= self.loop_lag.grace_until
        if is_silence_certain and now >= self.sessions.active_expires_at():
            return self._on_session_timeout(now, session)
        if is_silence_certain:
            self._check_standby_timeout(now)
        if now >= session.delayed_until:
            return [self.synchronizer.take_delayed_command(now, session)]
        if session.can_poll and now >= session.next_poll_at:
            return self.synchronizer.poll(now, session)
        if is_silence_certain and now >= self.sessions.standby_start_at(self.watched_list.confirmed_at):
            self.stats.trials += 1
            return self.sessions.open_standby(now)
        return []

    def on_connected(
        self, now: float, session_id: int, requested_at: float, revision: int, cluster_id: int = 0
    ) -> list[Command]:
        """Handle the response to a session's first read.

        With a known list the watch continues from its revision. Otherwise all is read; so it is from a
        cluster with another identity, which may be a restored backup.

        Args:
            now: Time of the response.
            session_id: Number of the session.
            requested_at: Time at which the read was sent.
            revision: The registry's revision.
            cluster_id: Identity of the member's cluster; 0 if it is not known.
        """
        self.loop_lag.record_event(now)
        if self.sessions.is_standby(session_id):
            return self._on_standby_connected(now, self.standby_session, requested_at, revision, cluster_id)
        session = self.sessions.find(session_id, SessionPhase.CONNECTING)
        if session is None:
            return []
        return self.synchronizer.begin_session(now, session, requested_at, revision, cluster_id)

    def on_throttled(
        self, now: float, session_id: int, retry_after: float = 0.0, is_watch: bool = False
    ) -> list[Command]:
        """Handle a request that the member refused because of its load; it is repeated after a backoff.

        Args:
            now: Time of the response.
            session_id: Number of the session, which remains usable.
            retry_after: Delay that the member asked for, in s.
            is_watch: Whether the request was the watch, which has ended.
        """
        self.loop_lag.record_event(now)
        if self.sessions.is_standby(session_id):
            self._drop_slow_standby()
            return []
        session = self.sessions.find(session_id)
        if session is None:
            return []
        self.stats.declined += 1
        retry_at = self.pacer.record_throttled(now, retry_after)
        if session.phase is not SessionPhase.WATCHING:
            is_handshake = session.phase is SessionPhase.CONNECTING
            session.delay(Handshake(session_id) if is_handshake else ReadAll(session_id), retry_at)
            session.last_progress_at = now
        elif is_watch:
            session.delay(Watch(session_id, self.watched_list.revision + 1), retry_at)
        else:
            session.cancel_poll()
            session.next_poll_at = max(retry_at, self.pacer.next_poll_at(now))
        return []

    def on_disconnected(
        self, now: float, session_id: int, credentials_rejected: bool = False
    ) -> list[Command]:
        """Handle a session that broke or did not come up."""
        if self.sessions.is_standby(session_id):
            self.sessions.fail_standby(now)
            return []
        if self.sessions.find(session_id) is None:
            return []
        if credentials_rejected:
            self.stats.refused += 1
        else:
            self.stats.breaks += 1
        return self.sessions.fail_active(now, credentials_rejected)

    def on_snapshot(
        self,
        now: float,
        session_id: int,
        requested_at: float,
        revision: int,
        records: Iterable[tuple[str, int, bytes]],
    ) -> list[Command]:
        """Handle the response to a full read.

        Args:
            now: Time of the response.
            session_id: Number of the session.
            requested_at: Time at which the read was sent.
            revision: Revision of the snapshot.
            records: Key, revision and value of every record.
        """
        self.loop_lag.record_event(now)
        session = self.sessions.find(session_id, SessionPhase.READING)
        if session is None:
            return []
        return self.synchronizer.apply_snapshot(now, session, requested_at, revision, records)

    def on_events(
        self,
        now: float,
        session_id: int,
        revision: int,
        events: Iterable[tuple[str, int, bytes | None]],
    ) -> list[Command]:
        """Handle events of the watch, or a progress notification if there are none.

        Args:
            now: Time of the notification.
            session_id: Number of the session.
            revision: Revision up to which the watch has delivered all events.
            events: Key, revision and value of each change; the value of a deleted key is None.
        """
        self.loop_lag.record_event(now)
        session = self.sessions.find(session_id, SessionPhase.WATCHING)
        if session is None:
            return []
        return self.synchronizer.apply_events(now, session, revision, events)

    def on_revision(self, now: float, session_id: int, requested_at: float, revision: int) -> list[Command]:
        """Handle the response to a poll.

        Args:
            now: Time of the response.
            session_id: Number of the session.
            requested_at: Time at which the poll was sent.
            revision: The registry's revision.
        """
        self.loop_lag.record_event(now)
        session = self.sessions.find(session_id, SessionPhase.WATCHING)
        if session is None:
            return []
        return self.synchronizer.handle_poll_response(now, session, requested_at, revision)

    def on_compacted(self, now: float, session_id: int) -> list[Command]:
        """Handle a watch that cannot continue because the events after its revision were compacted."""
        self.loop_lag.record_event(now)
        session = self.sessions.find(session_id, SessionPhase.WATCHING)
        if session is None:
            return []
        self.stats.compactions += 1
        self.watched_list.snapshot_required = True
        return self.synchronizer.read_snapshot(now, session)

    def replace_members(self, now: float, member_count: int) -> list[Command]:
        """Connect to other members; the list and its revision stay."""
        return self.sessions.replace_members(now, member_count)

    # --- timeouts and the standby session -------------------------------------------------------------------

    def _on_session_timeout(self, now: float, session: SessionState) -> list[Command]:
        if session.phase is SessionPhase.CONNECTING:
            self.stats.breaks += 1
        else:
            self.stats.stalls += 1
        return self.sessions.fail_active(now)

    def _on_standby_connected(
        self, now: float, standby: SessionState, requested_at: float, revision: int, cluster_id: int
    ) -> list[Command]:
        """Let the standby session take over if the active one has been silent for much longer."""
        is_same_cluster = cluster_id in (0, self.watched_list.cluster_id)
        if revision < self.watched_list.revision and is_same_cluster:
            self.sessions.fail_standby(now)
            return []
        silence = now - self.session.waiting_since
        if STANDBY_SPEEDUP * (now - standby.started_at) > silence:
            self._drop_slow_standby()
            return []
        self.stats.stalls += 1
        self.sessions.promote_standby()
        return self.synchronizer.begin_session(now, standby, requested_at, revision, cluster_id)

    def _check_standby_timeout(self, now: float) -> None:
        if self.standby_session is None:
            return
        if now >= self.sessions.standby_expires_at(self.watched_list.confirmed_at):
            self._drop_slow_standby()

    def _drop_slow_standby(self) -> None:
        self.sessions.drop_slow_standby()
        self.stats.slow_for_all += 1
