"""What every source of the engine list tells: its members, and how they have changed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .. import api


@dataclass(frozen=True)
class Names:
    """What positions in records mean."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True)
class Member:
    entry: api.EngineEntry
    address: tuple[str, int]


@dataclass(frozen=True)
class Change:
    number: int
    whole: bool
    members: tuple[Member, ...]


class Source(Protocol):
    """Where the engine list comes from. Tells each `Change` once and in order, to whom it was made for; a
    failure empties no list. `fresh` says whether what was told is still held to be true."""

    def start(self) -> None:
        """Follows from now on."""

    def move(self, to: object) -> None:
        """Follows it elsewhere, from the last change told; `to` is the source's own form of where."""

    def fresh(self) -> bool: ...

    async def stop(self) -> None: ...
