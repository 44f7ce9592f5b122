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
        last_revision: Revision of the last event that was applied; that of the list if there was none.
        entries: The entries that changed.
        duplicates: Number of events that were ignored because the list already contained them.
        in_order: Whether the revisions never decreased; otherwise the remaining events were dropped.
    """

    last_revision: int
    entries: list[TableEntry] = field(default_factory=list)
    duplicates: int = 0
    in_order: bool = True


@dataclass
class WatchedList:
    """The entries of the registry as of one revision.

    The revision decreases only if a snapshot of a restored registry replaces the list.

    Attributes:
        table: The entries by key.
        revision: Revision up to which the list is complete; 0 before the first snapshot.
        confirmed_at: Time of the latest request whose response showed that the list was complete.
            The time of the response is not used, since the response may have been delayed.
        cluster_id: Identity of the cluster to which `revision` belongs; 0 if unknown.
        cluster_changed: Whether the active session's member belongs to another cluster than the
            list, so that its revisions cannot be compared.
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
        """Replace the list by a stored one, which is not confirmed; return its entries."""
        self.revision = revision
        return self.table.replace(records)

    def replace(
        self, revision: int, requested_at: float, records: Iterable[KeyValuePair]
    ) -> tuple[TableEntry, ...]:
        """Replace the list by a snapshot that was requested at `requested_at`; return its entries."""
        self.cluster_changed = False
        self.snapshot_required = False
        self.revision = revision
        self.confirm(requested_at)
        return self.table.replace(records)

    def apply(self, events: Iterable[KeyValueEvent]) -> AppliedEvents:
        """Apply the events of a watch up to the first one out of order, without advancing `revision`."""
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
        """Record the cluster of the active session's member; 0 if unknown.

        If the cluster has changed, it may be a restored backup, and a snapshot is required.
        """
        self.cluster_changed = bool(cluster_id and self.cluster_id and cluster_id != self.cluster_id)
        if self.cluster_changed:
            self.snapshot_required = True
            self.cluster_id = cluster_id
        self.cluster_id = self.cluster_id or cluster_id
