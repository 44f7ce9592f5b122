"""What workload managers tell each other of engines. No I/O and no clock.

Each meets most engines seldom, so what one hears from an engine is news to all. And all that know the same go
to the same engine before its next report can show it, so each tells what it sends there. Invariants:

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
from random import Random

from .. import api

SPEND = 0.03  # of a request's worth is the most that the news of it may cost, and
SENDS_SPEND = 0.025  # the part of it for sends: where it does not suffice, a share is told for all of them
FULL_BYTES = 256.0  # delivered for each request, at which the settings' price is due in full
MOST_ROOM = 64.0  # bytes that may be saved up
RENEW = 0.4  # s after which an engine is told of though its load is the same
LEAST = 0.1  # s between two reports of an engine
CHANGE = 0.25  # of the figure told last, and
STEP = 2.0  # queries or 1% of a share: the least that counts as a change
HOLD = 0.2  # s for which reports wait for a send to share its datagram: 0.2 s of a late send were too much
LEAST_BYTES = 16  # that a datagram is charged for, as measured, however short it is
MOST_BYTES = 64  # of a datagram; the protocol has 256
HEAD = struct.Struct(">BB")  # VERSION, and how many sends follow; behind them come reports
SENT = struct.Struct(">HB")  # an engine's mark, and the threads that were sent there
MARK = struct.Struct(">H")  # of a report; then a byte for each figure
VERSION = 2
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

    def __init__(self, columns: tuple[str, ...], peers: int, price: float, seed: int = 0):
        # Where the number of queries is told, the module goes by it and not by how busy the cores are.
        wanted = ("active", "waiting", "memory_used") if "active" in columns else tuple(BYTES)
        self.columns = columns
        self.places = [at for at, name in enumerate(columns) if name in wanted and name in BYTES]
        self.size = MARK.size + len(self.places)  # of a report
        # Bytes for each answer, of which each is delivered to all peers.
        bytes_for_all = FULL_BYTES / max(price, 1e-9) / max(1, peers)
        self.earned, self.room = SPEND * bytes_for_all, MOST_ROOM
        self.share = min(1.0, SENDS_SPEND * bytes_for_all / LEAST_BYTES)  # of the sends are told
        self.random = Random(seed)
        self.told: dict[int, Told] = {}
        self.marked: dict[int, list[int]] = {}
        self.sends: dict[int, int] = {}  # threads by engine, and
        self.reports: dict[int, bytes] = {}  # figures by engine, that wait for the next datagram

    def listed(self, engines: Iterable[int]) -> None:
        """The engines that the list names; of others nothing is kept."""
        self.marked = {}
        for engine in engines:
            self.marked.setdefault(mark(engine), []).append(engine)
        named = {engine for those in self.marked.values() for engine in those}
        self.told = {engine: told for engine, told in self.told.items() if engine in named}

    def sent(self, engine: int, threads: int) -> bool:
        """An attempt has left; returns whether that is to be told at once: of few, each counts for more."""
        if self.random.random() >= self.share:
            return False
        self.sends[engine] = min(self.sends.get(engine, 0) + round(threads / self.share), 255)
        return True

    def answered(self, now: float, engine: int, report: tuple[float, ...]) -> None:
        """An engine has told its load, which may be news to the peers."""
        self.room = min(self.room + self.earned, MOST_ROOM)
        if len(report) != len(self.columns) or not self.places:
            return
        figures = bytes(self._byte(at, report[at]) for at in self.places)
        last = self.told.get(engine)
        if last is not None:
            since = now - last.at
            if since < LEAST or (since < RENEW and not self._changed(last.figures, figures)):
                return
        self.told[engine] = Told(now, figures)
        self.reports[engine] = figures

    def waiting(self) -> int:
        """Bytes of what waits to be told; 0: nothing does."""
        return SENT.size * len(self.sends) + self.size * len(self.reports)

    def datagram(self) -> bytes | None:
        """All that waits, as far as one datagram holds it and where it can be paid; else it is dropped."""
        sends = list(self.sends.items())[: (MOST_BYTES - HEAD.size) // SENT.size]
        room = MOST_BYTES - HEAD.size - SENT.size * len(sends)
        reports = list(self.reports.items())[: room // self.size]
        self.sends, self.reports = {}, {}
        data = HEAD.pack(VERSION, len(sends))
        data += b"".join(SENT.pack(mark(engine), threads) for engine, threads in sends)
        data += b"".join(MARK.pack(mark(engine)) + figures for engine, figures in reports)
        cost = max(LEAST_BYTES, len(data))
        if self.room < cost or len(data) == HEAD.size:
            return None
        self.room -= cost
        return data

    def heard(self, now: float, data: bytes) -> list[api.PeerLoadReport]:
        """A peer's datagram as events; raises NewsError."""
        if len(data) < HEAD.size or data[0] != VERSION:
            raise NewsError(f"{len(data)} bytes that are no news of engines")
        middle = HEAD.size + SENT.size * data[1]
        if middle > len(data) or (len(data) - middle) % self.size:
            raise NewsError(f"{len(data)} bytes that do not fit {data[1]} sends")
        sends = SENT.iter_unpack(data[HEAD.size : middle])
        events = [
            api.PeerLoadReport(engine, (), threads)
            for which, threads in sends
            for engine in self.marked.get(which, ())
        ]
        for at in range(middle, len(data), self.size):
            engines = self.marked.get(MARK.unpack_from(data, at)[0], ())
            figures = data[at + MARK.size : at + self.size]
            self.told.update((engine, Told(now, figures)) for engine in engines)
            events += [api.PeerLoadReport(engine, self._report(figures)) for engine in engines]
        return events

    def _report(self, figures: bytes) -> tuple[float, ...]:
        report = [-1.0] * len(self.columns)
        for at, byte in zip(self.places, figures):
            report[at] = -1.0 if byte == UNTOLD else byte / BYTES[self.columns[at]]
        return tuple(report)

    def _byte(self, at: int, value: float) -> int:
        return UNTOLD if value < 0 else min(MOST, round(value * BYTES[self.columns[at]]))

    @staticmethod
    def _changed(former: bytes, figures: bytes) -> bool:
        return any(abs(a - b) > max(STEP, CHANGE * a) for a, b in zip(former, figures))
