"""A key-value store with revisions, history, compaction and leases; the back end of both fake registries."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class KeyVersion:
    """The state of a key after one change.

    Attributes:
        key: The key.
        revision: The revision of the change.
        create_revision: The revision that created the key.
        value: The value, or None if the change deleted the key.
    """

    key: bytes
    revision: int
    create_revision: int
    value: bytes | None


@dataclass(frozen=True)
class Commit:
    """A change of a key, with the time of its commit in seconds of the store's clock."""

    committed_at: float
    version: KeyVersion


class CompactedError(Exception):
    """The history at the requested revision has been compacted."""


class KeyValueStore:
    """Keys and values; each change has a revision of its own.

    Invariants: `history` holds all changes after `compacted_revision`, sorted by revision;
    `sorted_keys` holds the keys of `current`.

    Attributes:
        revision: The revision of the last change.
        compacted_revision: The last revision whose history has been dropped.
        cluster_id: The id of the cluster, which a restore may change.
        current: The latest version of each existing key.
        commits: Every change ever made, including those that a restore undid.
        changed: Events of the waiting readers, set at each change.
    """

    def __init__(self, clock: Callable[[], float] = time.time):
        """Create an empty store; `clock` returns the commit times, in seconds."""
        self.clock = clock
        self.revision = 1
        self.compacted_revision = 0
        self.cluster_id = 1
        self.history: list[KeyVersion] = []
        self.history_revisions: list[int] = []
        self.sorted_keys: list[bytes] = []
        self.current: dict[bytes, KeyVersion] = {}
        self.compacted_state: dict[bytes, KeyVersion] = {}
        self.commits: list[Commit] = []
        self.leases: dict[bytes, asyncio.TimerHandle] = {}
        self.changed: set[asyncio.Event] = set()

    def put(self, key: bytes, value: bytes, lease_seconds: float | None = None) -> int:
        """Write a key and return the revision; a lease deletes the key unless it is written again in time."""
        previous_lease = self.leases.pop(key, None)
        if previous_lease is not None:
            previous_lease.cancel()
        if lease_seconds is not None:
            loop = asyncio.get_running_loop()
            self.leases[key] = loop.call_later(lease_seconds, self.delete, key)
        return self._commit(key, value)

    def delete(self, key: bytes) -> int:
        """Delete a key if it exists; return the revision of the store."""
        return self._commit(key, None) if key in self.current else self.revision

    def _commit(self, key: bytes, value: bytes | None) -> int:
        self.revision += 1
        previous = self.current.get(key)
        create_revision = previous.create_revision if previous else self.revision
        version = KeyVersion(key, self.revision, create_revision, value)
        self.history.append(version)
        self.history_revisions.append(self.revision)
        if value is None:
            del self.current[key]
            del self.sorted_keys[bisect_left(self.sorted_keys, key)]
        else:
            if previous is None:
                insort(self.sorted_keys, key)
            self.current[key] = version
        self.commits.append(Commit(self.clock(), version))
        self.notify()
        return self.revision

    def notify(self) -> None:
        """Wake all readers that wait for a change."""
        for event in self.changed:
            event.set()

    def read_range(self, start: bytes, end: bytes, revision: int = 0) -> list[KeyVersion]:
        """Return the keys in a range as of a revision, sorted by key.

        Args:
            start: First key of the range.
            end: End of the range, exclusive.
            revision: Revision to read at; 0 for the latest.

        Raises:
            CompactedError: If the revision has been compacted.
        """
        if not revision or revision >= self.revision:
            first = bisect_left(self.sorted_keys, start)
            keys = self.sorted_keys[first : bisect_left(self.sorted_keys, end)]
            return [self.current[key] for key in keys]
        if revision < self.compacted_revision:
            raise CompactedError
        state = dict(self.compacted_state)
        for version in self.history[: bisect_right(self.history_revisions, revision)]:
            state[version.key] = version
        return [state[key] for key in sorted(state) if start <= key < end and state[key].value is not None]

    def changes_since(self, revision: int, start: bytes, end: bytes) -> list[KeyVersion]:
        """Return all changes with at least the given revision whose keys are in a range.

        Raises:
            CompactedError: If the revision has been compacted.
        """
        if revision <= self.compacted_revision:
            raise CompactedError
        changes = self.history[bisect_left(self.history_revisions, revision) :]
        return [version for version in changes if start <= version.key < end]

    def compact(self, revision: int | None = None) -> None:
        """Drop the history up to and including a revision, by default all of it."""
        self.compacted_revision = self.revision if revision is None else revision
        kept_from = bisect_right(self.history_revisions, self.compacted_revision)
        for version in self.history[:kept_from]:
            self.compacted_state[version.key] = version
        del self.history[:kept_from]
        del self.history_revisions[:kept_from]

    def copy(self) -> KeyValueStore:
        """Return a copy of the state without commits, leases and waiting readers."""
        backup = KeyValueStore(self.clock)
        backup._copy_state(self)
        return backup

    def restore(self, backup: KeyValueStore, cluster_id: int = 0) -> None:
        """Restore the state of a backup, under a new cluster id if one is given; later changes are lost."""
        self.cluster_id = cluster_id or self.cluster_id
        affected = [self.current[key] for key in self.sorted_keys]
        affected += backup.current.values()
        self._copy_state(backup)
        restored_at = self.clock()
        for key in dict.fromkeys(version.key for version in affected):
            present = self.current.get(key, KeyVersion(key, self.revision, 0, None))
            self.commits.append(Commit(restored_at, present))
        self.notify()

    def _copy_state(self, other: KeyValueStore) -> None:
        self.revision = other.revision
        self.compacted_revision = other.compacted_revision
        self.history = list(other.history)
        self.history_revisions = list(other.history_revisions)
        self.sorted_keys = list(other.sorted_keys)
        self.current = dict(other.current)
        self.compacted_state = dict(other.compacted_state)
