"""The watched list: its entries, the revision up to which it is complete, and its last confirmation."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from .endpoint_table import EndpointTable, TableEntry
from .key_values import KeyValueEvent, KeyValuePair


@dataclass
class AppliedEvents:
    """Result of applying the events of a watch.

    Attributes:
        last_revision: Revision of the last event that was applied, or that of the list.
        entries: The entries that changed.
        duplicates: Number of events that were ignored because the list already contained them.
        in_order: False if a revision was lower than the one before it; the rest of the events was dropped.
    """

    last_revision: int
    entries: list[TableEntry] = field(default_factory=list)
    duplicates: int = 0
    in_order: bool = True


@dataclass
class WatchedList:
    """The entries of the registry as of one revision.

    The revision decreases only when a snapshot of a restored registry is taken over.

    Attributes:
        table: The entries by key.
        revision: Revision up to which the list is complete; 0 before the first snapshot.
        confirmed_at: Time of a request whose response showed that the list was complete. It is
            never the time of the response, which may have been delayed.
        cluster_id: Identity of the cluster that the revisions belong to; 0 if unknown.
        cluster_changed: Whether the active session's member belongs to another cluster, with
            revisions of its own.
        snapshot_required: Whether a watch cannot continue from `revision`.
    """

    table: EndpointTable
    revision: int = 0
    confirmed_at: float = -inf
    cluster_id: int = 0
    cluster_changed: bool = False
    snapshot_required: bool = False

    @property
    def can_resume(self) -> bool:
        """Whether a watch can continue from `revision`."""
        return bool(self.revision) and not self.snapshot_required

    def restore(self, revision: int, records: Iterable[KeyValuePair]) -> tuple[TableEntry, ...]:
        """Take over a stored list, which is not confirmed; return its entries."""
        self.revision = revision
        return self.table.replace(records)

    def replace(
        self, revision: int, requested_at: float, records: Iterable[KeyValuePair]
    ) -> tuple[TableEntry, ...]:
        """Take over a snapshot requested at `requested_at`; return its entries."""
        self.cluster_changed = False
        self.snapshot_required = False
        self.revision = revision
        self.confirm(requested_at)
        return self.table.replace(records)

    def apply(self, events: Iterable[KeyValueEvent]) -> AppliedEvents:
        """Apply the events of a watch up to the first that is out of order. `revision` stays as it is."""
        applied = AppliedEvents(self.revision)
        for key, revision, value in events:
            if revision <= self.revision:
                applied.duplicates += 1
                continue
            if revision < applied.last_revision:
                applied.in_order = False
                break
            applied.last_revision = revision
            applied.entries += self.table.put(key, revision, value)
        return applied

    def confirm(self, requested_at: float) -> None:
        """Record that the list was complete at `requested_at`."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def record_cluster(self, cluster_id: int) -> None:
        """Record the cluster that the active session's member belongs to; 0 if it is not known.

        A snapshot is required from another cluster, which may be a backup that was restored.
        """
        self.cluster_changed = bool(cluster_id and self.cluster_id and cluster_id != self.cluster_id)
        if self.cluster_changed:
            self.snapshot_required = True
            self.cluster_id = cluster_id
        self.cluster_id = self.cluster_id or cluster_id
