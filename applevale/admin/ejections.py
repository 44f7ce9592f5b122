"""Engines taken out by hand, by the ids that operators use; and the text that carries them to a successor.

Invariants: an engine is banned from the first disable until one enable, however often either comes; only an
id that the list has named is banned or let back in. What was said last of an engine holds, whichever process
heard it, and at a tie the ban: two processes that join each other's words, in any order, end with the same
bans. The text is read back whole and checked, or not at all. No I/O and no clock.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from math import inf, isfinite, nextafter

from ..discovery.endpoints import Endpoint

FORM = 2  # of the text


class BanFileError(ValueError):
    """A text that is torn, foreign or of another form."""


@dataclass(frozen=True, order=True)
class Word:
    """What was said last of an engine. Ordered: the greater one holds."""

    at: float  # Unix time, s
    banned: bool


def name_of(engine: int) -> str:
    return f"s-{engine:08x}"


class Bans:
    def __init__(self) -> None:
        self.words: dict[int, Word] = {}
        self.banned: set[int] = set()  # by those words; one set for good: others look at it
        self.names: dict[str, int] = {}  # every id that the list ever named an engine by: instance, HOST:PORT

    def listed(self, members: tuple[Endpoint, ...]) -> None:
        for member in members:
            engine = member.entry.engine
            host, port = member.address
            self.names[name_of(engine)] = self.names[f"{host}:{port}"] = engine

    def find(self, name: str) -> int | None:
        """The engine that `name` means; None for one that was never listed."""
        return self.names.get(name.strip().lower()) if isinstance(name, str) else None

    def say(self, engine: int, banned: bool, now: float) -> bool:
        """Whether this changes anything. It holds over all said before, though another's clock ran ahead."""
        former = self.words.get(engine)
        at = now if former is None else max(now, nextafter(former.at, inf))
        return self._take(engine, Word(at, banned))

    def join(self, words: dict[int, Word]) -> list[int]:
        """Takes in what another process heard; the engines that are banned or back by it."""
        return [
            engine
            for engine, word in words.items()
            if (former := self.words.get(engine)) is None or former < word
            if self._take(engine, word)
        ]

    def _take(self, engine: int, word: Word) -> bool:
        self.words[engine] = word
        self.names.setdefault(name_of(engine), engine)  # another process had it in its list
        news = (engine in self.banned) is not word.banned
        (self.banned.add if word.banned else self.banned.discard)(engine)
        return news


def _sum(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def encode(words: dict[int, Word]) -> bytes:
    told = {name_of(engine): [word.at, word.banned] for engine, word in sorted(words.items())}
    body = json.dumps({"form": FORM, "words": told}, separators=(",", ":"))
    return json.dumps({"body": body, "sha256": _sum(body.encode())}).encode() + b"\n"


def _word(at: object, banned: object) -> Word:
    if not isinstance(at, float | int) or not isfinite(at) or not isinstance(banned, bool):
        raise ValueError(f"no time and ban: {str([at, banned])[:40]}")
    return Word(float(at), banned)


def decode(data: bytes) -> dict[int, Word]:
    """The words in a text that `encode` made; raises BanFileError naming what is wrong."""
    try:
        outer = json.loads(data)
        body = outer["body"]
        if _sum(body.encode()) != outer["sha256"]:
            raise BanFileError("sha256: the file is torn or was changed")
        inner = json.loads(body)
        if inner["form"] != FORM:
            raise BanFileError(f"form: {inner['form']!r} is not {FORM}")
        return {int(name.removeprefix("s-"), 16): _word(*told) for name, told in inner["words"].items()}
    except BanFileError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise BanFileError(f"not a file of bans: {type(error).__name__}: {error}") from None
