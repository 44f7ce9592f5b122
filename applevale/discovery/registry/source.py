"""The registry as a source of the list of engines."""

from __future__ import annotations

import time
from collections.abc import Callable
from math import inf

import msgspec

from ...observability.counters import Counters
from ...observability.events import log_event
from ..endpoints import AttributeNames, EndpointUpdate
from .commands import Publish
from .endpoint_table import EndpointTable
from .freshness import FreshnessReporter
from .session import Session
from .settings import RegistrySettings
from .snapshot import SnapshotError, SnapshotStore, SnapshotWriter
from .source_counters import SourceCounters
from .watcher import RegistryWatcher
from .watcher_driver import WatcherDriver

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
    """An `EndpointSource` that watches a registry.

    Attributes:
        settings: The registry's settings.
        counters: Counts what happens.
        table: The list as the registry has it.
        driver: What carries out the watcher's commands.
        freshness: What reports when the list turns stale or fresh.
        snapshots: What saves the list; None without a usable snapshot directory.
        update_count: Number of the last update that was published.
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

        `publish` is called with each update, once and in order, and `on_freshness_change` with whether the
        list is confirmed, when that has changed. `names` are those that records use for zones and kinds;
        the other parameters are those of `WatcherDriver`.

        Raises:
            RegistrySettingsError: The addresses or the TLS files can't be used.
        """
        self.settings = settings
        self.counters = counters
        self.table = EndpointTable(names)
        self.driver = WatcherDriver(
            settings,
            self.table,
            load_session_class(settings.kind),
            seed=seed,
            clock=clock,
            local_address=local_address,
            on_publish=self._publish,
            on_commands_executed=self._refresh,
        )
        self.freshness = FreshnessReporter(self.watcher, counters, on_freshness_change, clock())
        self.snapshots: SnapshotWriter | None = None
        self.update_count = 0
        self._source_counters = SourceCounters(counters, self.watcher, self.table)
        self._publish_update = publish
        self._clock = clock

    @property
    def watcher(self) -> RegistryWatcher:
        """The state machine that decides what to request."""
        return self.driver.watcher

    # --- The interface of a source ---

    def start(self) -> None:
        """Start from the snapshot, if there is one, and connect."""
        now = self._clock()
        self.freshness.start(now)
        if self.settings.snapshot:
            self._load_snapshot()
        self.driver.start(now)

    def is_fresh(self) -> bool:
        """Return whether the list is confirmed as of now; true also after an event loop that stood still."""
        return self.watcher.is_fresh(self._clock())

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
        self.driver.sessions.configure(settings)
        self.settings = settings
        if changed:
            log_event("registry", f"takes effect at the next start only: {', '.join(changed)}")
        self.driver.replace_members()

    def update_list_counters(self) -> None:
        """Set the counters that describe the list, which are worked out only when they are wanted."""
        self._source_counters.update_list()

    async def stop(self) -> None:
        """Close all sessions and save the snapshot."""
        await self.driver.stop()
        if self.snapshots is not None:
            self.snapshots.save(self._clock(), self.watcher.revision)
            self.snapshots.store.close()

    # --- Events of the driver ---

    def _publish(self, change: Publish) -> None:
        self.update_count += 1
        if self.snapshots is not None:
            self.snapshots.mark_changed()
        endpoints = tuple(entry.endpoint for entry in change.entries)
        self._publish_update(EndpointUpdate(self.update_count, change.is_snapshot, endpoints))

    def _refresh(self, now: float) -> float:
        """Update counters, freshness and the snapshot; return when the list turns stale at the earliest."""
        self._source_counters.update_events()
        is_fresh = self.freshness.update(now, self.settings.on_stale)
        if not is_fresh:
            return inf
        if self.snapshots is not None:
            self.snapshots.save_if_due(now, self.watcher.revision)
        return self.watcher.confirmed_at + self.settings.fresh + STALENESS_CHECK_MARGIN_SECONDS

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
            self.driver.restore(stored.revision, stored.records)
