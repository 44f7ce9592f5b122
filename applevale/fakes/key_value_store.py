"""A store of keys with revisions, history, compaction and leases, behind both kinds of fake registry."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class KeyVersion:
    """A key as of one revision.

    Attributes:
        key: The key.
        revision: The revision that wrote this version.
        create_revision: The revision that created the key.
        value: The value, or None where the revision deleted the key.
    """

    key: bytes
    revision: int
    create_revision: int
    value: bytes | None


@dataclass(frozen=True)
class Commit:
    """A change, and when it was committed by the store's clock."""

    committed_at: float
    version: KeyVersion


class CompactedError(Exception):
    """What lies before the revision is no longer kept."""


class KeyValueStore:
    """Keys and values, each change of which has a revision.

    Invariants: `history` is in the order of revisions, and holds all behind `compacted_revision`;
    `sorted_keys` holds the keys of `current`.

    Attributes:
        revision: The revision of the last change.
        compacted_revision: The revision up to which the history is gone.
        cluster_id: The id of the cluster, which a restore may change.
        current: The latest version of each key that exists.
        commits: Every change ever made, also those that a restore undid.
        changed: Events that are set at each change.
    """

    def __init__(self, clock: Callable[[], float] = time.time):
        """Create an empty store whose commits have the times of that clock, in seconds."""
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
        """Write a key and return the revision; a lease deletes the key unless it is put again in time."""
        former_lease = self.leases.pop(key, None)
        if former_lease is not None:
            former_lease.cancel()
        if lease_seconds is not None:
            loop = asyncio.get_running_loop()
            self.leases[key] = loop.call_later(lease_seconds, self.delete, key)
        return self._commit(key, value)

    def delete(self, key: bytes) -> int:
        """Delete a key, if it exists, and return the revision."""
        return self._commit(key, None) if key in self.current else self.revision

    def _commit(self, key: bytes, value: bytes | None) -> int:
        self.revision += 1
        former = self.current.get(key)
        create_revision = former.create_revision if former else self.revision
        version = KeyVersion(key, self.revision, create_revision, value)
        self.history.append(version)
        self.history_revisions.append(self.revision)
        if value is None:
            del self.current[key]
            del self.sorted_keys[bisect_left(self.sorted_keys, key)]
        else:
            if former is None:
                insort(self.sorted_keys, key)
            self.current[key] = version
        self.commits.append(Commit(self.clock(), version))
        self.notify()
        return self.revision

    def notify(self) -> None:
        """Wake all that wait for a change."""
        for event in self.changed:
            event.set()

    def read_range(self, start: bytes, end: bytes, revision: int = 0) -> list[KeyVersion]:
        """Return the keys from `start` to before `end`, sorted, as of a revision.

        Args:
            start: The first key.
            end: The key behind the last one.
            revision: The revision to read at; 0 for the latest.

        Raises:
            CompactedError: If that revision is compacted.
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
        """Return all changes in the range from that revision on.

        Raises:
            CompactedError: If the revision is compacted.
        """
        if revision <= self.compacted_revision:
            raise CompactedError
        changes = self.history[bisect_left(self.history_revisions, revision) :]
        return [version for version in changes if start <= version.key < end]

    def compact(self, revision: int | None = None) -> None:
        """Forget the history up to that revision, by default all of it."""
        self.compacted_revision = self.revision if revision is None else revision
        cut = bisect_right(self.history_revisions, self.compacted_revision)
        for version in self.history[:cut]:
            self.compacted_state[version.key] = version
        del self.history[:cut]
        del self.history_revisions[:cut]

    def copy(self) -> KeyValueStore:
        """Return a backup of the state, without commits, leases and listeners."""
        backup = KeyValueStore(self.clock)
        backup._copy_state(self)
        return backup

    def restore(self, backup: KeyValueStore, cluster_id: int = 0) -> None:
        """Go back to a backup, under a new cluster id if one is given; later changes are lost."""
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
