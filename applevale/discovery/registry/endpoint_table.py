"""The engine list, derived from the records of a registry.

Invariants:

- An invalid value does not change the list: its key keeps the last valid record. Invalid values are counted.
- An engine stays listed until its key is deleted or holds a record of another engine.
- If several keys hold a record of the same engine, the one with the highest revision is listed.
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
    """The valid record of one key.

    Attributes:
        key: Key in the registry.
        revision: Revision at which the key was last written.
        endpoint: Engine that the record describes.
        value: Encoded record. It is older than `revision` if an invalid value was written after it.
    """

    key: str
    revision: int
    endpoint: Endpoint
    value: bytes


class EndpointTable:
    """Engines by the keys of their records.

    Attributes:
        names: Names of zones and machine kinds that records may use.
        entries: Last valid record of each key.
        invalid_reasons: Reason why the current value is invalid, by key.
        invalid_count: Number of invalid values so far.
    """

    def __init__(self, names: AttributeNames):
        """Create an empty table; `names` are those that records may use."""
        self.names = names
        self.entries: dict[str, TableEntry] = {}
        self.invalid_reasons: dict[str, str] = {}
        self.invalid_count = 0
        self._listed_key: dict[int, str] = {}  # Key of the record that is listed, by engine.
        self._record_keys: dict[int, set[str]] = {}  # All keys that hold a record, by engine.

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return all listed engines."""
        return tuple(entry.endpoint for entry in self._listed_entries())

    def pairs(self) -> list[KeyValuePair]:
        """Return all keys with their last valid record."""
        return [KeyValuePair(entry.key, entry.revision, entry.value) for entry in self.entries.values()]

    def known_pairs(self) -> PairsByKey:
        """Return the last valid record by key; keys that never had one have revision 0 and no value."""
        pairs = {key: KeyValuePair(key, 0, b"") for key in self.invalid_reasons}
        for pair in self.pairs():
            pairs[pair.key] = pair
        return pairs

    def put(self, key: str, revision: int, value: bytes | None) -> list[TableEntry]:
        """Set one key as of `revision`, or delete it if `value` is None.

        Returns:
            The entries of engines whose listing has changed; a removed engine has the state GONE.
        """
        self.invalid_reasons.pop(key, None)
        if value is None:
            return self._remove(key, revision)
        try:
            endpoint = read_record(value, self.names)
        except RecordError as error:
            self._reject(key, revision, str(error))
            return []
        return self._store(TableEntry(key, revision, endpoint, value))

    def replace(self, pairs: Iterable[KeyValuePair]) -> tuple[TableEntry, ...]:
        """Replace all keys by those of a snapshot.

        A key with an invalid value keeps its previous record, if it has one.

        Returns:
            The entries of all listed engines.
        """
        previous = self.entries
        self.entries = {}
        self.invalid_reasons = {}
        self._listed_key = {}
        self._record_keys = {}
        for key, revision, value in pairs:
            changed = self.put(key, revision, value)
            if not changed and key in self.invalid_reasons and key in previous:
                self._carry_over(replace(previous[key], revision=revision))
        return tuple(self._listed_entries())

    def _listed_entries(self) -> Iterable[TableEntry]:
        return (self.entries[key] for key in self._listed_key.values())

    def _reject(self, key: str, revision: int, reason: str) -> None:
        """Record an invalid value. The key keeps its record, but takes the new revision."""
        self.invalid_reasons[key] = reason
        self.invalid_count += 1
        previous = self.entries.get(key)
        if previous is not None:
            self.entries[key] = replace(previous, revision=revision)

    def _carry_over(self, entry: TableEntry) -> None:
        """Add an entry of the previous list."""
        engine = entry.endpoint.entry.engine_id
        self.entries[entry.key] = entry
        self._record_keys.setdefault(engine, set()).add(entry.key)
        self._listed_key.setdefault(engine, entry.key)

    def _store(self, entry: TableEntry) -> list[TableEntry]:
        """Store a valid record, and return the entries of engines whose listing has changed."""
        key = entry.key
        engine = entry.endpoint.entry.engine_id
        previous = self.entries.get(key)
        changed = []
        if previous is not None and previous.endpoint.entry.engine_id != engine:
            changed = self._remove(key, entry.revision)
        self.entries[key] = entry
        self._record_keys.setdefault(engine, set()).add(key)
        listed_key = self._listed_key.get(engine)
        is_listed_by_other = listed_key is not None and listed_key != key
        if is_listed_by_other and self.entries[listed_key].revision > entry.revision:
            return changed
        self._listed_key[engine] = key
        if previous is None or previous.endpoint != entry.endpoint or listed_key != key:
            changed.append(entry)
        return changed

    def _remove(self, key: str, revision: int) -> list[TableEntry]:
        """Remove a key. Its engine stays listed if another key holds a record of it."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return []
        engine = entry.endpoint.entry.engine_id
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
        removed_engine = replace(entry.endpoint.entry, state=api.EngineState.GONE)
        return [TableEntry(key, revision, replace(entry.endpoint, entry=removed_engine), entry.value)]


def endpoints_digest(endpoints: Iterable[Endpoint]) -> int:
    """Return a checksum for comparing the lists of instances; the order of endpoints does not matter."""
    rows = sorted(
        f"{endpoint.entry.engine_id:08x} {endpoint.entry.state.value} {endpoint.address}"
        for endpoint in endpoints
    )
    return crc32("\n".join(rows).encode())
