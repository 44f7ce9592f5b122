"""The last list and its revision in an embedded store (LMDB), for a start while the registry is down."""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import lmdb
import msgspec

from ...observability.events import log_event
from .key_values import KeyValuePair

FORMAT_VERSION = 1
MAX_STORE_BYTES = 64 << 20  # 100,000 engines
DIGEST_BYTES = 16
MIN_SAVE_INTERVAL_SECONDS = 1.0
_KEY = b"list"


class SnapshotError(ValueError):
    """A store that can't be used, or a snapshot that is torn, foreign or of another format."""


class _Document(msgspec.Struct):
    """The stored form."""

    format_version: int = msgspec.field(name="form")
    registry: str  # identifies the registry and the prefix
    revision: int
    records: list[KeyValuePair]


@dataclass(frozen=True)
class StoredSnapshot:
    """A list as of a revision."""

    revision: int
    records: list[KeyValuePair]


class SnapshotStore:
    """A store of one snapshot, which is replaced in one transaction; a digest detects a torn one."""

    def __init__(self, directory: str, registry: str):
        """Open the store.

        Args:
            directory: Where the store's files are; created if need be.
            registry: Identifies the registry; a snapshot of another one is not loaded.

        Raises:
            SnapshotError: There can be no store in `directory`.
        """
        self.registry = registry
        try:
            os.makedirs(directory, exist_ok=True)
            self.environment = lmdb.open(directory, map_size=MAX_STORE_BYTES, max_dbs=0, metasync=True)
        except (OSError, lmdb.Error) as error:
            raise SnapshotError(f"{directory}: {error}") from None

    def save(self, revision: int, records: Iterable[KeyValuePair]) -> None:
        """Replace the snapshot.

        Raises:
            SnapshotError: It can't be written; the former one stays.
        """
        document = _Document(FORMAT_VERSION, self.registry, revision, list(records))
        body = msgspec.msgpack.encode(document)
        try:
            with self.environment.begin(write=True) as transaction:
                transaction.put(_KEY, _digest(body) + body)
        except lmdb.Error as error:
            raise SnapshotError(str(error)) from None

    def load(self) -> StoredSnapshot | None:
        """Return the snapshot; None if there is none.

        Raises:
            SnapshotError: The snapshot can't be trusted.
        """
        try:
            with self.environment.begin() as transaction:
                raw = transaction.get(_KEY)
        except lmdb.Error as error:
            raise SnapshotError(str(error)) from None
        if raw is None:
            return None
        document = _decode(raw)
        if (document.format_version, document.registry) != (FORMAT_VERSION, self.registry):
            raise SnapshotError(
                f"of form {document.format_version} and of {document.registry!r}, not {self.registry!r}"
            )
        return StoredSnapshot(document.revision, document.records)

    def close(self) -> None:
        """Close the store."""
        self.environment.close()


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def _decode(raw: bytes) -> _Document:
    body = raw[DIGEST_BYTES:]
    if _digest(body) != raw[:DIGEST_BYTES]:
        raise SnapshotError("torn: its digest does not fit")
    try:
        return msgspec.msgpack.decode(body, type=_Document)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"foreign: {error}") from None


class SnapshotWriter:
    """Saves changed lists to a store, at a limited rate; a failure is logged."""

    def __init__(self, store: SnapshotStore, read_records: Callable[[], list[KeyValuePair]]):
        """`read_records` returns the list as it is now."""
        self.store = store
        self.read_records = read_records
        self.has_changes = False
        self.last_saved_at = -MIN_SAVE_INTERVAL_SECONDS

    def mark_changed(self) -> None:
        """Note that the list differs from the saved one."""
        self.has_changes = True

    def save_if_due(self, now: float, revision: int) -> None:
        """Save a list that has changed, unless one was saved just before."""
        if now - self.last_saved_at >= MIN_SAVE_INTERVAL_SECONDS:
            self.save(now, revision)

    def save(self, now: float, revision: int) -> None:
        """Save a list that has changed and has a revision."""
        if not self.has_changes or not revision:
            return
        self.last_saved_at = now
        self.has_changes = False
        try:
            self.store.save(revision, self.read_records())
        except SnapshotError as error:
            log_event("registry", f"the snapshot was not written: {error}")
