"""Storage of the last list in an embedded database (LMDB), to start from while the registry is down."""

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
MAX_STORE_BYTES = 64 << 20  # Enough for 100,000 engines.
DIGEST_BYTES = 16
MIN_SAVE_INTERVAL_SECONDS = 1.0
_KEY = b"list"


class SnapshotError(ValueError):
    """The store is unusable, or its snapshot is torn, has another format or belongs to another registry."""


class _Document(msgspec.Struct):
    """The stored form of a snapshot; `registry` identifies the registry and the key prefix."""

    format_version: int = msgspec.field(name="form")
    registry: str
    revision: int
    records: list[KeyValuePair]


@dataclass(frozen=True)
class StoredSnapshot:
    """A stored list with its revision."""

    revision: int
    records: list[KeyValuePair]


class SnapshotStore:
    """Stores one snapshot. It is replaced in one transaction, and a digest detects a torn one.

    Attributes:
        registry: Identifies the registry; a snapshot of another one is not loaded.
        environment: LMDB environment of the store.
    """

    def __init__(self, directory: str, registry: str):
        """Open the store.

        Args:
            directory: Directory of the store's files, which is created if it does not exist.
            registry: Identifies the registry; a snapshot of another one is not loaded.

        Raises:
            SnapshotError: The store cannot be opened.
        """
        self.registry = registry
        try:
            os.makedirs(directory, exist_ok=True)
            self.environment = lmdb.open(directory, map_size=MAX_STORE_BYTES, max_dbs=0, metasync=True)
        except (OSError, lmdb.Error) as error:
            raise SnapshotError(f"{directory}: the store cannot be opened: {error}") from None

    def save(self, revision: int, records: Iterable[KeyValuePair]) -> None:
        """Replace the snapshot.

        Raises:
            SnapshotError: The snapshot cannot be written; the previous one stays.
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
            SnapshotError: The snapshot cannot be read, is torn, has another format or belongs to another
                registry.
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
                f"the snapshot has format {document.format_version} and belongs to {document.registry!r}; "
                f"format {FORMAT_VERSION} of {self.registry!r} is needed"
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
        raise SnapshotError("the snapshot is torn: its digest does not match")
    try:
        return msgspec.msgpack.decode(body, type=_Document)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"the snapshot is in an unknown format: {error}") from None


class SnapshotWriter:
    """Saves the changed list to a store at a limited rate, and logs failures.

    Attributes:
        store: Store to which the list is saved.
        read_records: Returns the current list.
        has_changes: Whether the list differs from the saved one.
        last_saved_at: Time of the last save, in s.
    """

    def __init__(self, store: SnapshotStore, read_records: Callable[[], list[KeyValuePair]]):
        """Create a writer that has saved nothing yet.

        Args:
            store: Store to which the list is saved.
            read_records: Returns the current list.
        """
        self.store = store
        self.read_records = read_records
        self.has_changes = False
        self.last_saved_at = -MIN_SAVE_INTERVAL_SECONDS

    def mark_changed(self) -> None:
        """Record that the list differs from the saved one."""
        self.has_changes = True

    def save_if_due(self, now: float, revision: int) -> None:
        """Save the list if it has changed and the last save was long enough ago.

        Args:
            now: Current time, in s.
            revision: Revision of the list; 0 if it has none.
        """
        if now - self.last_saved_at >= MIN_SAVE_INTERVAL_SECONDS:
            self.save(now, revision)

    def save(self, now: float, revision: int) -> None:
        """Save the list immediately if it has changed and has a revision."""
        if not self.has_changes or not revision:
            return
        self.last_saved_at = now
        self.has_changes = False
        try:
            self.store.save(revision, self.read_records())
        except SnapshotError as error:
            log_event("registry", f"the snapshot was not saved: {error}")
