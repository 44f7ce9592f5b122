"""The list of engines that the records under a registry's keys make.

Invariants:

- A value that can't be used changes nothing: its key keeps the last good record, and it is counted.
- An engine stays listed until its key is deleted, or has a record of another engine.
- An engine that has records under two keys is listed as the one with the later revision describes it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from zlib import crc32

from ... import api
from ..endpoints import AttributeNames, Endpoint
from .key_values import KeyValuePair, PairsByKey
from .records import RecordError, read_record


@dataclass(frozen=True)
class TableEntry:
    """One engine as a key describes it.

    Attributes:
        key: The key.
        revision: The revision that wrote the key last.
        endpoint: The engine.
        value: The record that describes it; it may be older than the revision.
    """

    key: str
    revision: int
    endpoint: Endpoint
    value: bytes


class EndpointTable:
    """The engines by key.

    Attributes:
        entries: The last good record of each key.
        invalid: Keys whose present value can't be used, and why.
        invalid_count: How many values could not be used so far.
    """

    def __init__(self, names: AttributeNames):
        """Build an empty table; `names` are those that records use."""
        self.names = names
        self.entries: dict[str, TableEntry] = {}
        self.invalid: dict[str, str] = {}
        self.invalid_count = 0
        self._listed_key: dict[int, str] = {}  # engine -> the key that it is listed by
        self._record_keys: dict[int, set[str]] = {}  # engine -> all keys with a record of it

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return all listed engines."""
        return tuple(entry.endpoint for entry in self._listed_entries())

    def pairs(self) -> list[KeyValuePair]:
        """Return all keys with their last good record."""
        return [KeyValuePair(entry.key, entry.revision, entry.value) for entry in self.entries.values()]

    def known_pairs(self) -> PairsByKey:
        """Return the list by key; keys whose value can't be used have revision 0 and no value."""
        pairs = {key: KeyValuePair(key, 0, b"") for key in self.invalid}
        for pair in self.pairs():
            pairs[pair.key] = pair
        return pairs

    def put(self, key: str, revision: int, value: bytes | None) -> list[TableEntry]:
        """Change one key as of `revision`, or delete it if `value` is None.

        Returns:
            The engines that are listed otherwise from now on.
        """
        self.invalid.pop(key, None)
        if value is None:
            return self._remove(key, revision)
        try:
            endpoint = read_record(value, self.names)
        except RecordError as error:
            self._reject(key, revision, str(error))
            return []
        return self._store(TableEntry(key, revision, endpoint, value))

    def replace(self, pairs: Iterable[KeyValuePair]) -> tuple[TableEntry, ...]:
        """Replace all keys as of one revision.

        A key whose value can't be used keeps its former record, if it has one.

        Returns:
            All listed engines.
        """
        former = self.entries
        self.entries = {}
        self.invalid = {}
        self._listed_key = {}
        self._record_keys = {}
        for key, revision, value in pairs:
            changed = self.put(key, revision, value)
            if not changed and key in self.invalid and key in former:
                self._keep(replace(former[key], revision=revision))
        return tuple(self._listed_entries())

    def _listed_entries(self) -> Iterable[TableEntry]:
        return (self.entries[key] for key in self._listed_key.values())

    def _reject(self, key: str, revision: int, reason: str) -> None:
        """Count a value that can't be used; the key's revision moves on, its record stays."""
        self.invalid[key] = reason
        self.invalid_count += 1
        former = self.entries.get(key)
        if former is not None:
            self.entries[key] = replace(former, revision=revision)

    def _keep(self, entry: TableEntry) -> None:
        """Take over an entry of the former list."""
        engine = entry.endpoint.entry.engine
        self.entries[entry.key] = entry
        self._record_keys.setdefault(engine, set()).add(entry.key)
        self._listed_key.setdefault(engine, entry.key)

    def _store(self, entry: TableEntry) -> list[TableEntry]:
        key = entry.key
        engine = entry.endpoint.entry.engine
        former = self.entries.get(key)
        changed = []
        if former is not None and former.endpoint.entry.engine != engine:
            changed = self._remove(key, entry.revision)
        self.entries[key] = entry
        self._record_keys.setdefault(engine, set()).add(key)
        listed_key = self._listed_key.get(engine)
        is_listed_by_other = listed_key is not None and listed_key != key
        if is_listed_by_other and self.entries[listed_key].revision > entry.revision:
            return changed
        self._listed_key[engine] = key
        if former is None or former.endpoint != entry.endpoint or listed_key != key:
            changed.append(entry)
        return changed

    def _remove(self, key: str, revision: int) -> list[TableEntry]:
        """Remove a key; its engine goes on by the latest other record of it, or is gone."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return []
        engine = entry.endpoint.entry.engine
        other_keys = self._record_keys[engine]
        other_keys.discard(key)
        if self._listed_key.get(engine) != key:
            return []
        del self._listed_key[engine]
        if other_keys:
            others = (self.entries[other_key] for other_key in other_keys)
            successor = max(others, key=lambda other: other.revision)
            self._listed_key[engine] = successor.key
            return [successor]
        del self._record_keys[engine]
        gone = replace(entry.endpoint.entry, state=api.State.GONE)
        return [TableEntry(key, revision, replace(entry.endpoint, entry=gone), entry.value)]


def endpoints_digest(endpoints: Iterable[Endpoint]) -> int:
    """Return a checksum to compare instances by: equal for equal lists, in whatever order."""
    rows = sorted(
        f"{endpoint.entry.engine:08x} {endpoint.entry.state.value} {endpoint.address}"
        for endpoint in endpoints
    )
    return crc32("\n".join(rows).encode())
