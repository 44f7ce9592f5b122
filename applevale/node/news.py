"""What workload managers tell each other of engines. No I/O and no clock.

Each meets most engines seldom, so what one hears from an engine is news to all. And all that know the same go
to the same engine before its next report can show it, so each tells what it sends. Invariants:

- Only figures are told, never a verdict: a wrong or lying peer shifts a load, which fades within seconds and
  is bounded in the module, and rests no engine.
- A report is told on when the load has changed, or once no one told of the engine for a while; what a peer
  told counts as told. So this traffic follows the engines, not the number of their clients.
- What is told costs at most SPEND of the worth of the own requests.
- A datagram that is no news, or of an engine that the list does not name, changes nothing.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from .. import interface as api

SPEND = 0.012  # of a request's worth is the most that the news of it may cost
FULL_BYTES = 256.0  # delivered for each request, at which the settings' price is due in full
MOST_ROOM = 64.0  # bytes that may be saved up
RENEW = 0.4  # s after which an engine is told of though its load is the same
LEAST = 0.1  # s between two reports of an engine
CHANGE = 0.25  # of the figure told last, and
STEP = 2.0  # queries or 1% of a share: the least that counts as a change
SENT = struct.Struct(">HB")  # an engine's mark, and the threads that were sent there
HEAD = struct.Struct(">HBB")  # mark, VERSION, how many figures; then a byte for each
VERSION = 1
# What is told, and how often its unit goes into a byte; 255 stands for what is not told.
BYTES = {"active": 1, "waiting": 1, "cpu": 100, "disk_busy": 100, "memory_used": 100}
MOST, UNTOLD = 254, 255


class NewsError(ValueError):
    """A datagram that is no news."""


@dataclass(frozen=True)
class Told:
    at: float
    figures: bytes


def mark(engine: int) -> int:
    """Two bytes for an engine; where two engines share one, what is told of either counts for both."""
    return (engine ^ engine >> 16) & 0xFFFF


class News:
    """What was told lately, and what the own telling may still cost."""

    def __init__(self, columns: tuple[str, ...], peers: int, price: float):
        # Where the number of queries is told, the module goes by it and not by how busy the cores are.
        wanted = ("active", "waiting", "memory_used") if "active" in columns else tuple(BYTES)
        self.columns = columns
        self.places = [at for at, name in enumerate(columns) if name in wanted and name in BYTES]
        self.size = HEAD.size + len(self.places)
        # Bytes for each own request, of which each is delivered to all peers.
        self.earned = SPEND / max(price, 1e-9) * FULL_BYTES / max(1, peers)
        self.room = MOST_ROOM
        self.told: dict[int, Told] = {}
        self.marked: dict[int, list[int]] = {}

    def listed(self, engines: Iterable[int]) -> None:
        """The engines that the list names; of others nothing is kept."""
        self.marked = {}
        for engine in engines:
            self.marked.setdefault(mark(engine), []).append(engine)
        named = {engine for those in self.marked.values() for engine in those}
        self.told = {engine: told for engine, told in self.told.items() if engine in named}

    def sent(self, engine: int, threads: int) -> bytes | None:
        """An attempt has left: the datagram that tells it, where it can be paid."""
        self.room = min(self.room + self.earned, MOST_ROOM)
        return SENT.pack(mark(engine), min(threads, 255)) if self._paid(SENT.size) else None

    def answered(self, now: float, engine: int, report: tuple[float, ...]) -> bytes | None:
        """An engine has told its load: the datagram for the peers, where it is news to them."""
        if len(report) != len(self.columns) or not self.places:
            return None
        figures = bytes(self._byte(at, report[at]) for at in self.places)
        last = self.told.get(engine)
        if last is not None:
            since = now - last.at
            if since < LEAST or (since < RENEW and not self._changed(last.figures, figures)):
                return None
        if not self._paid(self.size):
            return None
        self.told[engine] = Told(now, figures)
        return HEAD.pack(mark(engine), VERSION, len(figures)) + figures

    def heard(self, now: float, data: bytes) -> list[api.PeerNews]:
        """A peer's datagram as events; raises NewsError."""
        if len(data) == SENT.size:
            which, threads = SENT.unpack(data)
            return [api.PeerNews(engine, (), threads) for engine in self.marked.get(which, ())]
        if len(data) != self.size or data[2:4] != bytes((VERSION, len(self.places))):
            raise NewsError(f"{len(data)} bytes that are no news of an engine")
        figures, report = data[HEAD.size :], [-1.0] * len(self.columns)
        for at, byte in zip(self.places, figures):
            report[at] = -1.0 if byte == UNTOLD else byte / BYTES[self.columns[at]]
        engines = self.marked.get(HEAD.unpack_from(data)[0], ())
        self.told.update((engine, Told(now, figures)) for engine in engines)
        return [api.PeerNews(engine, tuple(report)) for engine in engines]

    def _paid(self, size: int) -> bool:
        if self.room < size:
            return False
        self.room -= size
        return True

    def _byte(self, at: int, value: float) -> int:
        return UNTOLD if value < 0 else min(MOST, round(value * BYTES[self.columns[at]]))

    @staticmethod
    def _changed(former: bytes, figures: bytes) -> bool:
        return any(abs(a - b) > max(STEP, CHANGE * a) for a, b in zip(former, figures))
