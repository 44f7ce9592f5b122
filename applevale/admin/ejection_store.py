"""The file in $TMPDIR by which the bans of one process reach the next, and one that runs beside it.

Invariants: the file is written whole or not at all; a file that cannot be trusted is told in one line and
changes nothing; what is in memory and the file end up the same, whichever of two processes wrote last.
"""

from __future__ import annotations

import os

from ..observability.events import log_event
from .ejections import BanFileError, Bans, decode, encode

Stamp = tuple[int, int, int]


def _stamp(found: os.stat_result) -> Stamp:
    return found.st_ino, found.st_mtime_ns, found.st_size


class SharedBans:
    def __init__(self, path: str, bans: Bans) -> None:
        self.path, self.bans = path, bans
        self.seen: Stamp | None = None  # of the file that was read or written last

    def look(self) -> list[int]:
        """Joins what another process wrote since the last look; the engines banned or back by it."""
        try:
            stamp = _stamp(os.stat(self.path))
        except OSError:
            return []
        if stamp == self.seen:
            return []
        self.seen = stamp
        try:
            with open(self.path, "rb") as file:
                words = decode(file.read())
        except (OSError, BanFileError) as error:
            log_event(
                "bans", f"{self.path}: {error}; the bans stay as they are here: {len(self.bans.banned)}"
            )
            return []
        news = self.bans.join(words)
        if words != self.bans.words:  # guards what was said here and overwritten by one that had not read it
            self.write()
        return news

    def say(self, engine: int, banned: bool, now: float) -> list[int]:
        """A call of an operator, over all that the file tells; the engines banned or back now."""
        news = self.look()
        if self.bans.say(engine, banned, now):
            news = [one for one in news if one != engine] + [engine]
        self.write()
        return news

    def write(self) -> None:
        try:
            new = f"{self.path}.{os.getpid()}"  # guards against two processes that write at once
            with open(new, "wb") as file:
                file.write(encode(self.bans.words))
                file.flush()
                stamp = _stamp(os.fstat(file.fileno()))  # of this file: the path may be another's in a moment
            os.replace(new, self.path)
        except OSError as error:
            log_event("bans", f"{self.path}: {error}")
            return
        self.seen = stamp
