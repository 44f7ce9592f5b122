"""The registry as a source of the list of engines: carries out the commands of the watcher."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from ...observability.counters import Counters
from ...observability.events import log_event
from ..endpoints import AttributeNames, EndpointUpdate
from .commands import (
    Command,
    Connect,
    Handshake,
    PollRevision,
    Publish,
    ReadAll,
    RequestProgress,
    Watch,
)
from .endpoint_table import EndpointTable, TableEntry, endpoints_digest
from .freshness import FreshnessReporter
from .key_values import KeyValueEvent, KeyValuePair, PairsByKey
from .session import Session
from .session_pool import SessionPool
from .settings import RegistrySettings
from .snapshot import SnapshotError, SnapshotStore, SnapshotWriter
from .watcher import RegistryWatcher
from .watcher_config import WatcherConfig

FIXED_SETTINGS = ("kind", "prefix", "fresh", "snapshot")  # those that a reload can't change
STALENESS_CHECK_MARGIN_SECONDS = 0.001  # behind the time at which the list turns stale


def load_session_class(kind: str) -> type[Session]:
    """Return the class for a kind of registry.

    Only its own library is imported: each costs time and memory at the start.
    """
    if kind == "etcd":
        from .etcd import EtcdSession

        return EtcdSession
    from .consul import ConsulSession

    return ConsulSession


class RegistrySource:
    """An `EndpointSource` that watches a registry, and the listener of the sessions with its members.

    Attributes:
        table: The list as the registry has it.
        watcher: The state machine that decides what to request.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        names: AttributeNames,
        counters: Counters,
        publish: Callable[[EndpointUpdate], None],
        on_freshness_change: Callable[[bool], None],
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
        local_address: str = "",
    ):
        """Build the source; nothing is requested before `start`.

        Args:
            settings: The registry's settings.
            names: The names that records use for zones and kinds.
            counters: Counts what happens.
            publish: Called with each update, once and in order.
            on_freshness_change: Called with whether the list is confirmed, when that has changed.
            seed: Seeds all random delays.
            clock: A monotonic clock, in s.
            local_address: The address that connections bind; empty for the system's choice.

        Raises:
            RegistrySettingsError: The addresses or the TLS files can't be used.
        """
        self.settings = settings
        self.counters = counters
        self.publish = publish
        self.clock = clock
        session_class = load_session_class(settings.kind)
        self.sessions = SessionPool(settings, session_class, self, clock, local_address)
        self.table = EndpointTable(names)
        random = Random(seed)
        member_count = len(self.sessions.addresses)
        self.watcher = RegistryWatcher(
            member_count,
            self.table,
            random=random,
            config=WatcherConfig(max_staleness=settings.fresh),
            last_member_index=random.randrange(member_count),  # instances begin with different members
        )
        self.timer: asyncio.TimerHandle | None = None
        self.update_count = 0
        self.freshness = FreshnessReporter(self.watcher, counters, on_freshness_change, clock())
        self.snapshots: SnapshotWriter | None = None
        self.is_stopped = False

    # --- The interface of a source ---

    def start(self) -> None:
        """Start from the snapshot, if there is one, and connect."""
        now = self.clock()
        self.freshness.start(now)
        if self.settings.snapshot:
            self._load_snapshot()
        self._execute(self.watcher.on_tick(now))

    def is_fresh(self) -> bool:
        """Return whether the list is confirmed as of now; true also after an event loop that stood still."""
        return self.watcher.is_fresh(self.clock())

    def may_start_work(self) -> bool:
        """Return whether new work may be sent to listed engines."""
        return self.settings.on_stale == "serve" or self.is_fresh()

    def reconfigure(self, target: RegistrySettings) -> None:
        """Use other addresses and credentials; the list, its revision and its freshness stay.

        Raises:
            RegistrySettingsError: The addresses or the TLS files can't be used; nothing has changed.
        """
        fixed = {key: getattr(self.settings, key) for key in FIXED_SETTINGS}
        changed = [key for key, value in fixed.items() if getattr(target, key) != value]
        settings = msgspec.structs.replace(target, **fixed)
        self.sessions.configure(settings)
        self.settings = settings
        if changed:
            log_event("registry", f"takes effect at the next start only: {', '.join(changed)}")
        self._execute(self.watcher.replace_members(self.clock(), len(self.sessions.addresses)))

    def update_list_counters(self) -> None:
        """Set the counters that describe the list, which are worked out only when they are wanted."""
        endpoints = self.table.endpoints()
        self.counters["registry_revision"] = self.watcher.revision
        self.counters["registry_members"] = len(endpoints)
        self.counters["registry_digest"] = endpoints_digest(endpoints)

    async def stop(self) -> None:
        """Close all sessions and save the snapshot."""
        self.is_stopped = True
        if self.timer is not None:
            self.timer.cancel()
        await self.sessions.close()
        if self.snapshots is not None:
            self.snapshots.save(self.clock(), self.watcher.revision)
            self.snapshots.store.close()

    # --- The listener of sessions ---

    def on_connected(self, session_id: int, requested_at: float, revision: int, cluster_id: int = 0) -> None:
        """Handle the first response of a session."""
        now = self.clock()
        self._execute(self.watcher.on_connected(now, session_id, requested_at, revision, cluster_id))

    def on_throttled(self, session_id: int, retry_after: float, is_watch: bool) -> None:
        """Handle a request that was rejected because of the member's load."""
        self._execute(self.watcher.on_throttled(self.clock(), session_id, retry_after, is_watch))

    def on_disconnected(self, session_id: int, reason: str, credentials_rejected: bool = False) -> None:
        """Handle the end of a session."""
        if session_id in self.sessions:
            log_event("registry", f"{self.sessions.member_name(session_id)}: {reason}")
        self._execute(self.watcher.on_disconnected(self.clock(), session_id, credentials_rejected))

    def on_snapshot(
        self, session_id: int, requested_at: float, revision: int, records: Iterable[KeyValuePair]
    ) -> None:
        """Handle all keys as of one revision."""
        self._execute(self.watcher.on_snapshot(self.clock(), session_id, requested_at, revision, records))

    def on_events(self, session_id: int, revision: int, events: Iterable[KeyValueEvent]) -> None:
        """Handle what a watch delivers."""
        self._execute(self.watcher.on_events(self.clock(), session_id, revision, events))

    def on_revision(self, session_id: int, requested_at: float, revision: int) -> None:
        """Handle the response to a poll."""
        self._execute(self.watcher.on_revision(self.clock(), session_id, requested_at, revision))

    def on_compacted(self, session_id: int) -> None:
        """Handle a watch whose next events are no longer stored."""
        member = self.sessions.member_name(session_id)
        log_event("registry", f"{member}: compacted behind {self.watcher.revision}, all is read anew")
        self._execute(self.watcher.on_compacted(self.clock(), session_id))

    # --- Execution of the watcher's commands ---

    def _execute(self, commands: list[Command]) -> None:
        if self.is_stopped:
            return
        for command in commands:
            self._execute_command(command)
        self.sessions.close_except(self.watcher.open_sessions)
        self._refresh()

    def _execute_command(self, command: Command) -> None:
        match command:
            case Connect(session_id=session_id, member_index=member_index):
                self.sessions.open(session_id, member_index)
            case Handshake(session_id=session_id):
                self.sessions[session_id].handshake()
            case ReadAll(session_id=session_id):
                self.sessions[session_id].read_all()
            case Watch(session_id=session_id, start_revision=start_revision):
                self.sessions[session_id].watch(start_revision, self._known_pairs)
            case PollRevision(session_id=session_id, sent_at=requested_at):
                self.sessions[session_id].poll_revision(requested_at)
            case RequestProgress(session_id=session_id):
                self.sessions[session_id].request_progress()
            case Publish(entries=entries, is_snapshot=is_full):
                self._publish(entries, is_full)

    def _publish(self, entries: tuple[TableEntry, ...], is_full: bool) -> None:
        self.update_count += 1
        if self.snapshots is not None:
            self.snapshots.mark_changed()
        endpoints = tuple(entry.endpoint for entry in entries)
        self.publish(EndpointUpdate(self.update_count, is_full, endpoints))

    def _known_pairs(self) -> PairsByKey:
        """Return the published list by key; keys whose value can't be used have revision 0."""
        pairs = {key: KeyValuePair(key, 0, b"") for key in self.table.invalid}
        for pair in self.table.pairs():
            pairs[pair.key] = pair
        return pairs

    def _refresh(self) -> None:
        """Update counters, freshness and the snapshot after commands, and set the timer."""
        now = self.clock()
        for name, count in vars(self.watcher.stats).items():
            self.counters[f"registry_{name}"] = count
        self.counters["registry_bad_records"] = self.table.invalid_count
        is_fresh = self.freshness.update(now, self.settings.on_stale)
        if self.snapshots is not None and is_fresh:
            self.snapshots.save_if_due(now, self.watcher.revision)
        self._set_timer(now, is_fresh)

    def _set_timer(self, now: float, is_fresh: bool) -> None:
        due_at = self.watcher.next_deadline()
        if is_fresh:
            stale_at = self.watcher.confirmed_at + self.settings.fresh
            due_at = min(due_at, stale_at + STALENESS_CHECK_MARGIN_SECONDS)
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(0.0, due_at - now), self._on_timer)

    def _on_timer(self) -> None:
        self._execute(self.watcher.on_tick(self.clock()))

    def _load_snapshot(self) -> None:
        """Publish the list of the snapshot, which is not confirmed."""
        registry = f"{self.settings.kind}:{self.settings.prefix}"
        try:
            store = SnapshotStore(self.settings.snapshot, registry)
            self.snapshots = SnapshotWriter(store, self.table.pairs)
            stored = store.load()
        except SnapshotError as error:
            self.counters["registry_snapshot_bad"] += 1
            log_event("registry", f"the snapshot is ignored: {error}")
            return
        if stored is not None:
            self.counters["registry_snapshot_used"] += 1
            log_event("registry", f"starts from the snapshot of revision {stored.revision}, not confirmed")
            self._execute(self.watcher.restore(stored.revision, stored.records))
