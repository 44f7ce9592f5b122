"""A store of keys with revisions, history, compaction and leases, behind both kinds of registry."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Version:
    key: bytes
    revision: int
    created: int
    value: bytes | None  # None: deleted


class Compacted(Exception):
    """What lies before the revision is no longer kept."""


class Store:
    """Invariants: `history` is in the order of revisions, and holds all behind `compacted`."""

    def __init__(self, clock: Callable[[], float] = time.time):
        self.clock = clock
        self.revision, self.compacted, self.cluster = 1, 0, 1
        self.history: list[Version] = []
        self.revisions: list[int] = []  # of the history, to search in
        self.keys: list[bytes] = []  # that exist now, sorted
        self.now: dict[bytes, Version] = {}
        self.base: dict[bytes, Version] = {}  # as of `compacted`
        self.commits: list[tuple[float, Version]] = []  # when each change was committed
        self.leases: dict[bytes, asyncio.TimerHandle] = {}
        self.changed: set[asyncio.Event] = set()

    def put(self, key: bytes, value: bytes, lease: float | None = None) -> int:
        """`lease`: s after which the key is deleted, unless it is put again."""
        held = self.leases.pop(key, None)
        if held is not None:
            held.cancel()
        if lease is not None:
            self.leases[key] = asyncio.get_running_loop().call_later(lease, self.delete, key)
        return self._commit(key, value)

    def delete(self, key: bytes) -> int:
        return self._commit(key, None) if key in self.now else self.revision

    def _commit(self, key: bytes, value: bytes | None) -> int:
        self.revision += 1
        former = self.now.get(key)
        version = Version(key, self.revision, former.created if former else self.revision, value)
        self.history.append(version)
        self.revisions.append(self.revision)
        if value is None:
            del self.now[key]
            del self.keys[bisect_left(self.keys, key)]
        else:
            if former is None:
                insort(self.keys, key)
            self.now[key] = version
        self.commits.append((self.clock(), version))
        self.wake()
        return self.revision

    def wake(self) -> None:
        for event in self.changed:
            event.set()

    def under(self, start: bytes, end: bytes, revision: int = 0) -> list[Version]:
        """The keys from `start` to before `end`, as of a revision (0: now). Raises Compacted."""
        if not revision or revision >= self.revision:
            found = self.keys[bisect_left(self.keys, start) : bisect_left(self.keys, end)]
            return [self.now[key] for key in found]
        if revision < self.compacted:
            raise Compacted
        then = dict(self.base)
        for version in self.history[: bisect_right(self.revisions, revision)]:
            then[version.key] = version
        return [then[key] for key in sorted(then) if start <= key < end and then[key].value is not None]

    def since(self, revision: int, start: bytes, end: bytes) -> list[Version]:
        """All changes from `revision` on. Raises Compacted."""
        if revision <= self.compacted:
            raise Compacted
        found = self.history[bisect_left(self.revisions, revision) :]
        return [version for version in found if start <= version.key < end]

    def compact(self, revision: int | None = None) -> None:
        self.compacted = self.revision if revision is None else revision
        cut = bisect_right(self.revisions, self.compacted)
        for version in self.history[:cut]:
            self.base[version.key] = version
        del self.history[:cut], self.revisions[:cut]

    def copy(self) -> Store:
        """The state of a backup."""
        made = Store(self.clock)
        made.revision, made.compacted = self.revision, self.compacted
        made.history, made.revisions = list(self.history), list(self.revisions)
        made.keys, made.now, made.base = list(self.keys), dict(self.now), dict(self.base)
        return made

    def restore(self, backup: Store, cluster: int = 0) -> None:
        """The store goes back to a backup, under a new id if one is given; what came since is lost."""
        self.cluster = cluster or self.cluster
        lost = [self.now[key] for key in self.keys] + [v for v in backup.now.values()]
        for name in ("revision", "compacted"):
            setattr(self, name, getattr(backup, name))
        self.history, self.revisions = list(backup.history), list(backup.revisions)
        self.keys, self.now, self.base = list(backup.keys), dict(backup.now), dict(backup.base)
        at = self.clock()
        for version in {version.key: version for version in lost}.values():
            present = self.now.get(version.key, Version(version.key, self.revision, 0, None))
            self.commits.append((at, present))
        self.wake()
