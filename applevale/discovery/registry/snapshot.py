"""The last list and its revision in an embedded store (LMDB), for a start while the registry is away."""

from __future__ import annotations

import hashlib
import os
from collections.abc import Iterable
from dataclasses import dataclass

import lmdb
import msgspec

FORM = 1
SIZE = 64 << 20  # bytes that the store may grow to: 100,000 engines


class SnapshotError(ValueError):
    """Torn, foreign or of another form: it is told and ignored."""


class _Stored(msgspec.Struct):
    form: int
    registry: str  # of which registry and prefix
    revision: int
    records: list[tuple[str, int, bytes]]


@dataclass(frozen=True)
class Kept:
    revision: int
    records: list[tuple[str, int, bytes]]


class Snapshot:
    """One list, replaced as a whole in one transaction; a digest tells one that is torn."""

    def __init__(self, folder: str, registry: str):
        """Raises SnapshotError if there can be no store in `folder`."""
        self.registry = registry
        try:
            os.makedirs(folder, exist_ok=True)
            self.store = lmdb.open(folder, map_size=SIZE, max_dbs=0, metasync=True)
        except (OSError, lmdb.Error) as error:
            raise SnapshotError(f"{folder}: {error}") from None

    def keep(self, revision: int, records: Iterable[tuple[str, int, bytes]]) -> None:
        """Raises SnapshotError if it cannot be written; the former one stays."""
        body = msgspec.msgpack.encode(_Stored(FORM, self.registry, revision, list(records)))
        try:
            with self.store.begin(write=True) as transaction:
                transaction.put(b"list", hashlib.blake2b(body, digest_size=16).digest() + body)
        except lmdb.Error as error:
            raise SnapshotError(str(error)) from None

    def load(self) -> Kept | None:
        """What was kept; None if nothing was. Raises SnapshotError."""
        try:
            with self.store.begin() as transaction:
                raw = transaction.get(b"list")
        except lmdb.Error as error:
            raise SnapshotError(str(error)) from None
        if raw is None:
            return None
        digest, body = raw[:16], raw[16:]
        if hashlib.blake2b(body, digest_size=16).digest() != digest:
            raise SnapshotError("torn: its digest does not fit")
        try:
            stored = msgspec.msgpack.decode(body, type=_Stored)
        except msgspec.MsgspecError as error:
            raise SnapshotError(f"foreign: {error}") from None
        if (stored.form, stored.registry) != (FORM, self.registry):
            raise SnapshotError(f"of form {stored.form} and of {stored.registry!r}, not {self.registry!r}")
        return Kept(stored.revision, stored.records)

    def close(self) -> None:
        self.store.close()
