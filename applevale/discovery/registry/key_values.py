"""Keys of a registry with their values, as sessions read and watch them.

The types are tuples, so that a snapshot stores a pair as the array `[key, revision, value]`.
"""

from __future__ import annotations

from typing import NamedTuple


class KeyValuePair(NamedTuple):
    """A key that exists, with its value and the revision that wrote it."""

    key: str
    revision: int
    value: bytes


class KeyValueEvent(NamedTuple):
    """A change of one key at a revision; the value of a deleted key is None."""

    key: str
    revision: int
    value: bytes | None


PairsByKey = dict[str, KeyValuePair]
