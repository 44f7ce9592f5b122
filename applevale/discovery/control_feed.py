"""The control feed: the numbered changes of the engine list, from the configuration and over TCP."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
import struct
from collections.abc import Callable
from math import inf, isfinite

from .. import api
from ..observability.counters import Counters
from ..observability.events import log_event
from .endpoints import Change, Member, Names

HEAD = struct.Struct(">IQB")  # length of all that follows it, number, kind
RECORD = struct.Struct(">IIHBBBHIQ")
NOTHING, WHOLE, CHANGED = 0, 1, 2
MOST_FRAME = 1 << 20  # bytes: 38,000 engines
SILENCE = 1.8  # s without a whole frame, of which one comes each second, until the connection is given up
REST = (0.05, 0.4)  # s between two tries to connect: first, and the most it doubles to
STATES = {0: api.State.READY, 1: api.State.DRAINING, 2: api.State.GONE}
WORDS = {"in_service": api.State.READY, "terminating": api.State.DRAINING, "terminated": api.State.GONE}


class FeedError(ValueError):
    """An event that cannot be read."""


def parse_known(raw: object, names: Names) -> tuple[Change, ...]:
    """The events of the start, as JSON."""
    try:
        changes = tuple(_event(item, names) for item in raw["events"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FeedError(f"{type(error).__name__}: {error}") from None
    for former, later in zip(changes, changes[1:]):
        if later.number <= former.number or not (later.whole or later.number == former.number + 1):
            raise FeedError(f"events: {later.number} comes after {former.number}")
    return changes


def _event(item: dict, names: Names) -> Change:
    members = item["members"]
    number = int(item["n"])
    # The first event carries the whole list whether or not it is marked so.
    return Change(
        number,
        bool(members.get("reset")) or number == 1,
        tuple(_member(one, names) for one in members["instances"]),
    )


def _member(one: dict, names: Names) -> Member:
    host, _, port = one["hostPort"].rpartition(":")
    weight = float(one.get("weight", 1))
    if not isfinite(weight) or weight < 0:
        raise FeedError(f"weight: {weight!r}")
    entry = api.EngineEntry(
        engine=int(one["instanceId"].removeprefix("s-"), 16),
        zone=names.zones.index(one["zone"]) if "zone" in one else 0,
        kind=names.kinds.index(one["machineType"]) if "machineType" in one else 0,
        cell=int(one.get("cell", 0)),
        size=weight,
        state=WORDS[one["lifecycle"]],
        started=int(one.get("startedAtMs", 0)) / 1000,
    )
    return Member(entry, (str(ipaddress.ip_address(host)), int(port)))


class Frames:
    """Cuts the feed's bytes into changes; holds at most one frame that is not whole yet."""

    def __init__(self, names: Names):
        self.names, self.data = names, bytearray()

    def feed(self, data: bytes | memoryview) -> list[Change]:
        self.data += data
        found = []
        while len(self.data) >= HEAD.size:
            length, number, kind = HEAD.unpack_from(self.data)
            end = 4 + length
            size = end - HEAD.size
            if size < 0 or length > MOST_FRAME or size % RECORD.size or kind > CHANGED or (size and not kind):
                raise FeedError(f"frame of length {length}, kind {kind}")
            if len(self.data) < end:
                break
            records = RECORD.iter_unpack(bytes(self.data[HEAD.size : end]))
            members = tuple(self._member(*record) for record in records)
            found.append(Change(number, kind == WHOLE, members))
            del self.data[:end]
        return found

    def _member(self, number, host, port, state, zone, kind, cell, weight, started) -> Member:
        if state not in STATES or zone >= max(1, len(self.names.zones)) or kind >= len(self.names.kinds):
            raise FeedError(f"record of engine {number:08x}: state {state}, zone {zone}, kind {kind}")
        entry = api.EngineEntry(number, zone, kind, cell, weight / 1000, STATES[state], started / 1000)
        return Member(entry, (str(ipaddress.ip_address(host)), port))


class Feed:
    """Follows the feed for as long as the program runs, and tells each change once, in order."""

    def __init__(
        self,
        last: int,
        names: Names,
        counters: Counters,
        tell: Callable[[Change], None],
        address: tuple[str, int] | None = None,
    ):
        self.last, self.names, self.counters, self.tell = last, names, counters, tell
        self.address = address
        self.task: asyncio.Task | None = None
        self.heard = -inf  # by the loop's clock

    def start(self) -> None:
        self.move(self.address)

    def move(self, to: tuple[str, int] | None) -> None:
        """Follows it at `to` from now on, from the last event told; None follows it no more."""
        if self.task is not None and (to is None or to != self.address):
            self.task.cancel()
            self.task = None
        self.address = to
        if to is not None and self.task is None:
            self.task = asyncio.create_task(self._follow())

    def fresh(self) -> bool:
        """Whether a frame came lately; without an address the list is what is known."""
        return self.address is None or asyncio.get_running_loop().time() - self.heard <= SILENCE

    async def stop(self) -> None:
        self.move(None)

    async def _follow(self) -> None:
        rest = REST[0]
        while True:
            before = self.counters["feed_frames"]
            try:
                await self._connection()
            except (OSError, FeedError) as error:
                log_event("feed", f"{type(error).__name__}: {error}")
            self.counters["feed_breaks"] += 1
            rest = REST[0] if self.counters["feed_frames"] > before else min(rest * 2, REST[1])
            await asyncio.sleep(rest)

    async def _connection(self) -> None:
        loop, frames, buffer = asyncio.get_running_loop(), Frames(self.names), bytearray(16384)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            async with asyncio.timeout(SILENCE):
                await loop.sock_connect(sock, self.address)
                # On a new connection the number of the last event makes the feed tell what was missed.
                await loop.sock_sendall(sock, struct.pack(">Q", self.last))
            while True:
                # Guards against a feed that keeps the connection but says nothing, or half a frame for ever.
                async with asyncio.timeout(SILENCE):
                    changes: list[Change] = []
                    while not changes:
                        size = await loop.sock_recv_into(sock, buffer)
                        if size == 0:
                            raise FeedError("closed by the other side")
                        changes = frames.feed(memoryview(buffer)[:size])
                self.heard = loop.time()
                for change in changes:
                    self.take(change)

    def take(self, change: Change) -> None:
        self.counters["feed_frames"] += 1
        if change.number <= self.last:
            return
        if not change.members and not change.whole:  # nothing new, but under a number that was never told
            raise FeedError(f"at {change.number}, though {self.last} was the last one told")
        if not change.whole and change.number != self.last + 1:
            raise FeedError(f"event {change.number} came after {self.last}")
        self.last = change.number
        self.counters["feed_events"] += 1
        self.tell(change)
