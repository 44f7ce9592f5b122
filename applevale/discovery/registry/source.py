"""Source of the engine list that watches a registry."""

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

FIXED_SETTINGS = ("kind", "prefix", "fresh", "snapshot")  # A reload cannot change these.
STALENESS_CHECK_MARGIN_SECONDS = 0.001  # Delay of the check after the list turns stale.


def load_session_class(kind: str) -> type[Session]:
    """Return the session class for a kind of registry.

    Only the library of that kind is imported, since each costs time and memory at the start.
    """
    if kind == "etcd":
        from .etcd import EtcdSession

        return EtcdSession
    from .consul import ConsulSession

    return ConsulSession


class RegistrySource:
    """An `EndpointSource` that watches a registry.

    Attributes:
        settings: Settings of the registry.
        counters: Counters of the process; the source sets those whose names begin with `registry_`.
        table: Engine list as stored in the registry.
        driver: Executes the commands of the watcher.
        freshness: Reports when the list turns stale or fresh.
        snapshots: Saves the list; None without a usable snapshot directory.
        update_count: Number of updates published so far.
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
        """Create the source; it sends no request before `start`.

        Args:
            settings: Settings of the registry.
            names: Names of zones and machine kinds that records may use.
            counters: Counters of the process.
            publish: Called with each update, once and in order.
            on_freshness_change: Called with whether the list is fresh, after each change.
            seed: Seed of all random delays and of the choice of the first member.
            clock: Monotonic clock, in s.
            local_address: Local address that connections bind to; empty to let the system choose.

        Raises:
            RegistrySettingsError: The addresses or the TLS files are invalid.
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
        """State machine that decides what to request."""
        return self.driver.watcher

    # --- Methods of EndpointSource ---

    def start(self) -> None:
        """Publish the stored snapshot, if there is one, and connect."""
        now = self._clock()
        self.freshness.start(now)
        if self.settings.snapshot:
            self._load_snapshot()
        self.driver.start(now)

    def is_fresh(self) -> bool:
        """Return whether the list is fresh.

        The clock is read anew, so that the result is correct even after a stall of the event loop.
        """
        return self.watcher.is_fresh(self._clock())

    def list_age(self) -> float:
        """Return the seconds since the list was last confirmed; infinite if it never was."""
        return self._clock() - self.watcher.confirmed_at

    def may_send_requests(self) -> bool:
        """Return whether new requests may be sent to listed engines."""
        return self.settings.on_stale == "serve" or self.is_fresh()

    def reconfigure(self, target: RegistrySettings) -> None:
        """Replace the addresses, the credentials and other settings that are not fixed.

        The list, its revision and its freshness stay.

        Raises:
            RegistrySettingsError: The addresses or the TLS files are invalid; nothing has changed.
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
        """Set the counters that describe the list, which are computed on demand only."""
        self._source_counters.update_list()

    async def stop(self) -> None:
        """Close all sessions and save the snapshot."""
        await self.driver.stop()
        if self.snapshots is not None:
            self.snapshots.save(self._clock(), self.watcher.revision)
            self.snapshots.store.close()

    # --- Callbacks of the driver ---

    def _publish(self, change: Publish) -> None:
        self.update_count += 1
        if self.snapshots is not None:
            self.snapshots.mark_changed()
        endpoints = tuple(entry.endpoint for entry in change.entries)
        self._publish_update(EndpointUpdate(self.update_count, change.is_snapshot, endpoints))

    def _refresh(self, now: float) -> float:
        """Update counters, freshness and the stored snapshot.

        Returns:
            The time by which freshness has to be checked again; infinite while the list is stale.
        """
        self._source_counters.update_events()
        is_fresh = self.freshness.update(now, self.settings.on_stale)
        if not is_fresh:
            return inf
        if self.snapshots is not None:
            self.snapshots.save_if_due(now, self.watcher.revision)
        return self.watcher.confirmed_at + self.settings.fresh + STALENESS_CHECK_MARGIN_SECONDS

    def _load_snapshot(self) -> None:
        """Publish the list of the stored snapshot, which is not confirmed."""
        registry = f"{self.settings.kind}:{self.settings.prefix}"
        try:
            store = SnapshotStore(self.settings.snapshot, registry)
            self.snapshots = SnapshotWriter(store, self.table.pairs)
            stored = store.load()
        except SnapshotError as error:
            self.counters["registry_snapshot_bad"] += 1
            log_event("registry", f"the stored snapshot is ignored: {error}")
            return
        if stored is not None:
            self.counters["registry_snapshot_used"] += 1
            log_event(
                "registry",
                f"starting from the stored snapshot of revision {stored.revision}, which is not confirmed",
            )
            self.driver.restore(stored.revision, stored.records)
