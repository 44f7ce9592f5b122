"""Engines taken out by hand, by the ids that operators use; and the file that carries them to a successor.

Invariants: an engine is banned from the first disable until one enable, however often either comes; only
an id that the list has named is banned or let back in; the file is read back whole and checked, or not at
all.
No I/O and no clock.
"""

from __future__ import annotations

import hashlib
import json

from ..sources.members import Member

FORM = 1  # of the file


class BanFileError(ValueError):
    """A file that is torn, foreign or of another form."""


def name_of(engine: int) -> str:
    return f"s-{engine:08x}"


class Bans:
    def __init__(self, banned: frozenset[int] = frozenset()) -> None:
        self.banned: set[int] = set(banned)
        self.names: dict[str, int] = {}  # every id of an engine that the list ever named: instance, HOST:PORT

    def listed(self, members: tuple[Member, ...]) -> None:
        for member in members:
            engine = member.entry.engine
            host, port = member.address
            self.names[name_of(engine)] = self.names[f"{host}:{port}"] = engine

    def find(self, name: str) -> int | None:
        """The engine that `name` means; None for one that was never listed."""
        return self.names.get(name.strip().lower()) if isinstance(name, str) else None

    def disable(self, engine: int) -> bool:
        """Whether this is news."""
        new = engine not in self.banned
        self.banned.add(engine)
        return new

    def enable(self, engine: int) -> bool:
        new = engine in self.banned
        self.banned.discard(engine)
        return new


def _sum(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def encode(banned: set[int] | frozenset[int]) -> bytes:
    body = json.dumps({"form": FORM, "banned": sorted(map(name_of, banned))}, separators=(",", ":"))
    return json.dumps({"body": body, "sha256": _sum(body.encode())}).encode() + b"\n"


def decode(data: bytes) -> frozenset[int]:
    """The banned engines in a file that `encode` wrote; raises BanFileError naming what is wrong."""
    try:
        outer = json.loads(data)
        body = outer["body"]
        if _sum(body.encode()) != outer["sha256"]:
            raise BanFileError("sha256: the file is torn or was changed")
        inner = json.loads(body)
        if inner["form"] != FORM:
            raise BanFileError(f"form: {inner['form']!r} is not {FORM}")
        return frozenset(int(name.removeprefix("s-"), 16) for name in inner["banned"])
    except BanFileError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BanFileError(f"not a file of bans: {type(error).__name__}: {error}") from None
