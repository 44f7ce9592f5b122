"""Types for the keys of a registry and their values.

They are tuples, because a stored snapshot holds each pair as an array `[key, revision, value]`.
"""

from __future__ import annotations

from typing import NamedTuple


class KeyValuePair(NamedTuple):
    """An existing key with its value and the revision at which it was last written."""

    key: str
    revision: int
    value: bytes


class KeyValueEvent(NamedTuple):
    """A change of one key at a revision; the value is None if the key was deleted."""

    key: str
    revision: int
    value: bytes | None


PairsByKey = dict[str, KeyValuePair]
