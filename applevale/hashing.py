"""Hashes that do not depend on the process, unlike `hash`."""

from __future__ import annotations

from hashlib import blake2b


def stable_hash(*parts: int) -> int:
    """Return a 64-bit hash of integers that is the same on every instance."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")
