"""A stand-in engine: answers wants after a while, and keeps what arrived and when."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import hiredis

from ..engines.resp import encode_array

ROWS = b"1\tstation\t2.5\n2\tstation\t3.5\n"
MOST_BYTES = 65536


@dataclass(frozen=True)
class Arrival:
    at: float  # Unix time, s
    ref: bytes
    lane: bytes
    caller: str = ""  # the address that it came from


class StandinEngine:
    """`took`: the range of s that a want takes; `toil`: the ms of work that it is told to have been; `out`:
    the ids that run now."""

    def __init__(
        self,
        random: Random,
        took: tuple[float, float] = (0.01, 0.06),
        clock: Callable[[], float] = time.time,
        toil: int = 12,
    ):
        self.random, self.took, self.clock, self.toil = random, took, clock, toil
        self.arrivals: list[Arrival] = []
        self.connects: list[tuple[float, str]] = []  # when, and the address of the caller
        self.out: set[bytes] = set()
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        running: dict[bytes, asyncio.Task] = {}
        self.writers.add(writer)
        caller = (writer.get_extra_info("peername") or ("",))[0]
        self.connects.append((self.clock(), caller))
        try:
            while data := await reader.read(MOST_BYTES):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    self._take(command, writer, running, caller)
        except OSError:
            pass
        finally:
            for ref, task in running.items():
                task.cancel()
                self.out.discard(ref)
            self.writers.discard(writer)
            writer.transport.abort()

    def _take(self, command: list[bytes], writer: asyncio.StreamWriter, running: dict, caller: str) -> None:
        word, tag, *rest = command
        if word == b"want":
            lane = rest[0].partition(b"lane=")[2].partition(b",")[0]
            self.arrivals.append(Arrival(self.clock(), tag, lane, caller))
            self.out.add(tag)
            task = asyncio.create_task(self._run(tag, writer))
            running[tag] = task
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            task.add_done_callback(lambda _: running.pop(tag, None))
        elif word == b"never_mind" and tag in running:
            running[tag].cancel()
            self.out.discard(tag)
        elif word in (b"there", b"busy"):
            writer.write(encode_array(tag, b"PONG", b"rep=inflight:%d;util:0.2;x1:0.1" % len(self.out), b""))

    async def _run(self, tag: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.random.uniform(*self.took))
        self.out.discard(tag)
        writer.write(
            encode_array(
                tag,
                b"HIT",
                b"sheets=1,toil=%d,room=4,rep=inflight:%d;util:0.2;x1:0.1" % (self.toil, len(self.out)),
                ROWS,
            )
        )
