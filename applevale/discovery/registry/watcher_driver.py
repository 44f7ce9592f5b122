"""Driver of a registry watcher: reports events and timers to it, and executes its commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from ...observability.events import log_event
from .commands import Command, Connect, Handshake, PollRevision, Publish, ReadAll, RequestProgress, Watch
from .endpoint_table import EndpointTable
from .key_values import KeyValueEvent, KeyValuePair
from .session import Session
from .session_pool import SessionPool
from .settings import RegistrySettings
from .watcher import RegistryWatcher
from .watcher_config import WatcherConfig


def create_watcher(
    settings: RegistrySettings, table: EndpointTable, member_count: int, seed: int
) -> RegistryWatcher:
    """Create the watcher of a registry.

    The first member is random, so that instances with different seeds spread over the members.
    """
    random = Random(seed)
    return RegistryWatcher(
        member_count,
        table,
        random=random,
        config=WatcherConfig(max_staleness=settings.fresh),
        last_member_index=random.randrange(member_count),
    )


class WatcherDriver:
    """Reports responses of sessions and the time to a watcher, and executes its commands.

    It is the `SessionListener` of its sessions.

    Attributes:
        table: List that the watcher keeps up to date.
        sessions: Open sessions.
        watcher: State machine that decides what to request.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        table: EndpointTable,
        session_class: type[Session],
        *,
        seed: int,
        clock: Callable[[], float],
        local_address: str,
        on_publish: Callable[[Publish], None],
        on_commands_executed: Callable[[float], float],
    ):
        """Create a driver without sessions; `start` opens the first one.

        Args:
            settings: Settings of the registry.
            table: List that the watcher keeps up to date.
            session_class: Class for the kind of registry.
            seed: Seed of all random delays and of the choice of the first member.
            clock: Monotonic clock, in s.
            local_address: Local address that connections bind to; empty to let the system choose.
            on_publish: Called with each change of the list, once and in order.
            on_commands_executed: Called with the current time after each event. Returns the time by which it
                has to be called again.

        Raises:
            RegistrySettingsError: The addresses or the TLS files are invalid.
        """
        self.table = table
        self.sessions = SessionPool(settings, session_class, self, clock, local_address)
        self.watcher = create_watcher(settings, table, len(self.sessions.addresses), seed)
        self._clock = clock
        self._on_publish = on_publish
        self._on_commands_executed = on_commands_executed
        self._timer: asyncio.TimerHandle | None = None
        self._is_stopped = False

    def start(self, now: float) -> None:
        """Open the first session."""
        self._execute(self.watcher.on_tick(now))

    def restore(self, revision: int, records: Iterable[KeyValuePair]) -> None:
        """Start from a stored list, which is not confirmed."""
        self._execute(self.watcher.restore(revision, records))

    def replace_members(self) -> None:
        """Connect to the members with which the pool has been configured."""
        self._execute(self.watcher.replace_members(self._clock(), len(self.sessions.addresses)))

    async def stop(self) -> None:
        """Close all sessions; later events have no effect."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        await self.sessions.close()

    # --- Methods of SessionListener ---

    def on_connected(self, session_id: int, requested_at: float, revision: int, cluster_id: int = 0) -> None:
        """Handle the first response of a session."""
        now = self._clock()
        self._execute(self.watcher.on_connected(now, session_id, requested_at, revision, cluster_id))

    def on_throttled(self, session_id: int, retry_after: float, is_watch: bool) -> None:
        """Handle a request that was rejected because of the member's load."""
        self._execute(self.watcher.on_throttled(self._clock(), session_id, retry_after, is_watch))

    def on_disconnected(self, session_id: int, reason: str, credentials_rejected: bool = False) -> None:
        """Log and handle the failure of a session."""
        if session_id in self.sessions:
            log_event("registry", f"{self.sessions.member_name(session_id)}: {reason}")
        self._execute(self.watcher.on_disconnected(self._clock(), session_id, credentials_rejected))

    def on_snapshot(
        self, session_id: int, requested_at: float, revision: int, records: Iterable[KeyValuePair]
    ) -> None:
        """Handle a full read, which returned all keys as of `revision`."""
        self._execute(self.watcher.on_snapshot(self._clock(), session_id, requested_at, revision, records))

    def on_events(self, session_id: int, revision: int, events: Iterable[KeyValueEvent]) -> None:
        """Handle events of a watch."""
        self._execute(self.watcher.on_events(self._clock(), session_id, revision, events))

    def on_revision(self, session_id: int, requested_at: float, revision: int) -> None:
        """Handle the response to a poll."""
        self._execute(self.watcher.on_revision(self._clock(), session_id, requested_at, revision))

    def on_compacted(self, session_id: int) -> None:
        """Log and handle a watch that ended because its next events were compacted."""
        member = self.sessions.member_name(session_id)
        log_event(
            "registry",
            f"{member}: events after revision {self.watcher.revision} were compacted; reading all records",
        )
        self._execute(self.watcher.on_compacted(self._clock(), session_id))

    # --- Execution of the watcher's commands ---

    def _execute(self, commands: list[Command]) -> None:
        """Execute commands, close ended sessions and set the timer; do nothing once stopped."""
        if self._is_stopped:
            return
        for command in commands:
            self._execute_command(command)
        self.sessions.close_except(self.watcher.open_sessions)
        now = self._clock()
        due_at = self._on_commands_executed(now)
        self._set_timer(now, min(due_at, self.watcher.next_deadline()))

    def _execute_command(self, command: Command) -> None:
        match command:
            case Connect(session_id=session_id, member_index=member_index):
                self.sessions.open(session_id, member_index)
            case Handshake(session_id=session_id):
                self.sessions[session_id].handshake()
            case ReadAll(session_id=session_id):
                self.sessions[session_id].read_all()
            case Watch(session_id=session_id, start_revision=start_revision):
                self.sessions[session_id].watch(start_revision, self.table.known_pairs)
            case PollRevision(session_id=session_id, sent_at=requested_at):
                self.sessions[session_id].poll_revision(requested_at)
            case RequestProgress(session_id=session_id):
                self.sessions[session_id].request_progress()
            case Publish():
                self._on_publish(command)

    def _set_timer(self, now: float, due_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, due_at - now), self._on_timer)

    def _on_timer(self) -> None:
        self._execute(self.watcher.on_tick(self._clock()))
