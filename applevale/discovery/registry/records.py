"""Records of engines under keys of a registry, and the list that they make.

One record is JSON or YAML: an object with the fields of `Record`. Invariants of `Ledger`:

- A value that cannot be used changes nothing: the engine keeps its last good record, and it is counted.
- An engine that was told stays told until its key is deleted, or holds a record of another engine.
- The same engine under two keys is the one with the later revision.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Annotated, Literal
from zlib import crc32

import msgspec

from ... import api
from ..endpoints import AttributeNames, Endpoint

MOST_VALUE = 64 * 1024  # bytes of one record: more is no record, and is not parsed
STATES = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


class Record(msgspec.Struct, forbid_unknown_fields=False):
    """What a value holds. Unknown fields are passed over: other programs may keep theirs there."""

    id: Annotated[str, msgspec.Meta(pattern=r"^s-[0-9a-f]{8}$")]
    address: Annotated[str, msgspec.Meta(max_length=64)]  # HOST:PORT, the host an IP address
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e11)] = 0.0  # Unix time, s; 0: long ago


class RecordError(ValueError):
    """A value that is no record; the text names the place."""


@dataclass(frozen=True)
class Entry:
    """One engine as the registry tells it."""

    key: str
    revision: int
    member: Endpoint
    value: bytes  # that told it


def _position(name: str, names: tuple[str, ...], key: str) -> int:
    if not name:
        return 0
    if name not in names:
        raise RecordError(f"{key}: {name[:40]!r} is not one of the settings' {key}s")
    return names.index(name)


def read_record(value: bytes, names: AttributeNames) -> Endpoint:
    """The member that a value tells of. Raises RecordError."""
    if len(value) > MOST_VALUE:
        raise RecordError(f"a value of {len(value)} bytes, over {MOST_VALUE}")
    try:
        if value.lstrip()[:1] == b"{":
            record = msgspec.json.decode(value, type=Record)
        else:
            record = msgspec.yaml.decode(value, type=Record)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise RecordError(str(error).replace("\n", " ")[:120]) from None
    except Exception as error:  # the YAML parser's own errors, and what it fails on by depth
        raise RecordError(f"{type(error).__name__}: {str(error)[:80]}".replace("\n", " ")) from None
    host, _, port = record.address.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise RecordError(f"address: {record.address!r} is not IP:PORT")
    try:
        address = str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise RecordError(f"address: {record.address!r} is not IP:PORT") from None
    return Endpoint(
        api.EngineEntry(
            engine=int(record.id[2:], 16),
            zone=_position(record.zone, names.zones, "zone"),
            kind=_position(record.kind, names.kinds, "kind"),
            cell=record.cell,
            size=record.weight,
            state=STATES[record.state],
            started=record.started,
        ),
        address,
    )


def digest(members: Iterable[Endpoint]) -> int:
    """A short figure of a list: equal for equal lists, in whatever order. To compare instances by."""
    lines = sorted(f"{one.entry.engine:08x} {one.entry.state.value} {one.address}" for one in members)
    return crc32("\n".join(lines).encode())


class Ledger:
    """The engines by key, as last told."""

    def __init__(self, names: AttributeNames):
        self.names = names
        self.entries: dict[str, Entry] = {}
        self.keys: dict[int, str] = {}  # engine -> the key that tells of it
        self.holders: dict[int, set[str]] = {}  # engine -> all keys that hold a record of it
        self.bad: dict[str, str] = {}  # keys whose present value cannot be used, and why
        self.bad_seen = 0

    def members(self) -> tuple[Endpoint, ...]:
        return tuple(self.entries[key].member for key in self.keys.values())

    def put(self, key: str, revision: int, value: bytes | None) -> list[Entry]:
        """One key as of `revision`; returns what that changes in the list."""
        self.bad.pop(key, None)
        if value is None:
            return self._drop(key, revision)
        try:
            member = read_record(value, self.names)
        except RecordError as error:
            self.bad[key] = str(error)
            self.bad_seen += 1
            former = self.entries.get(key)
            if former is not None:  # the revision moves on, the record stays
                self.entries[key] = replace(former, revision=revision)
            return []
        engine, former = member.entry.engine, self.entries.get(key)
        changed = []
        if former is not None and former.member.entry.engine != engine:
            changed = self._drop(key, revision)
        entry = Entry(key, revision, member, value)
        self.entries[key] = entry
        self.holders.setdefault(engine, set()).add(key)
        holder = self.keys.get(engine)
        if holder is not None and holder != key and self.entries[holder].revision > revision:
            return changed  # a later record of another key tells of it
        self.keys[engine] = key
        if former is None or former.member != member or holder != key:
            changed.append(entry)
        return changed

    def _drop(self, key: str, revision: int) -> list[Entry]:
        entry = self.entries.pop(key, None)
        if entry is None:
            return []
        engine = entry.member.entry.engine
        others = self.holders[engine]
        others.discard(key)
        if self.keys.get(engine) != key:
            return []
        del self.keys[engine]
        if others:
            heir = max((self.entries[other] for other in others), key=lambda one: one.revision)
            self.keys[engine] = heir.key
            return [heir]
        del self.holders[engine]
        gone = replace(entry.member, entry=replace(entry.member.entry, state=api.State.GONE))
        return [Entry(key, revision, gone, entry.value)]

    def replace(self, records: Iterable[tuple[str, int, bytes]]) -> tuple[Entry, ...]:
        """All keys as of one revision; returns the whole list. A value that cannot be used leaves what its
        key told before, if it told anything."""
        former, seen = self.entries, set()
        self.entries, self.keys, self.holders, self.bad = {}, {}, {}, {}
        for key, revision, value in records:
            seen.add(key)
            if not self.put(key, revision, value) and key in self.bad and key in former:
                kept = replace(former[key], revision=revision)
                self.entries[key] = kept
                self.holders.setdefault(kept.member.entry.engine, set()).add(key)
                self.keys.setdefault(kept.member.entry.engine, key)
        return tuple(self.entries[key] for key in self.keys.values())
