"""Scripted clients: a steady load, and a record of every answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgpack

APART, APART_NEW = 0.06, 0.25  # s between two requests of a key; behind the first one of a new connection
MOST_REPEATS = 500  # in all: what is refused at once and asked for at once has no other end
REOPEN = 0.1  # s between two tries to open a connection
LATE = 0.3  # s behind a client's patience after which an answer counts as lost


@dataclass
class Sent:
    ref: str
    method: str
    key: int
    at: float  # when it was written, by the loop's clock
    due: float  # by the same clock
    first: bool  # on its connection
    answers: list[str] = field(default_factory=list)  # "served", "Full" or another error
    cut: float = 0.0  # when its connection was closed before it had an answer


class Clients:
    """Connections to one program, requests at a rate, loads with keys among them, apart as the platform's."""

    def __init__(
        self,
        address: tuple[str, int],
        random: Random,
        rate: float,
        connections: int = 4,
        allow: float = 3.0,
        loads: float = 0.2,
        keys: int = 5,
        again: bool = False,
        effort: float = 20.0,
        repeat: bool = False,
    ):
        """`effort`: ms of work that each request is said to be; `repeat`: what is refused is asked for again
        at once, with no heed to advice."""
        self.address, self.random, self.rate, self.allow = address, random, rate, allow
        self.again = again  # a closed connection is opened anew, as a platform's client does
        self.effort, self.repeat, self.repeats = effort, repeat, 0
        self.loads, self.keys, self.count = loads, keys, connections
        self.sent: list[Sent] = []
        self.lost_connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.open: list[dict[int, Sent]] = []
        self.numbers: list[int] = []
        self.readers: list[asyncio.Task] = []

    async def start(self) -> None:
        for at in range(self.count):
            reader, writer = await asyncio.open_connection(*self.address)
            self.writers.append(writer)
            self.open.append({})
            self.numbers.append(0)
            self.readers.append(asyncio.create_task(self._read(reader, at)))

    async def run(self, until: float) -> None:
        """Sends until then, by the loop's clock; the time between two requests scatters."""
        loop = asyncio.get_running_loop()
        next_of: dict[int, float] = {}
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(self.rate))
            load = self.random.random() < self.loads
            key = self.random.randint(1, self.keys) if load else 0
            if load and loop.time() < next_of.get(key, 0.0):
                continue
            sent = self.send("load" if load else "lookup", key)
            if sent is not None:
                next_of[key] = sent.at + (APART_NEW if sent.first else APART)

    def send(self, method: str, key: int = 0) -> Sent | None:
        """None where no connection is open to send on."""
        live = [at for at, writer in enumerate(self.writers) if not writer.is_closing()]
        if not live:
            return None
        at = self.random.choice(live)
        self.numbers[at] += 1
        number = self.numbers[at]
        ref = f"{self.random.getrandbits(64):016x}"
        loop = asyncio.get_running_loop()
        sent = Sent(ref, method, key, loop.time(), loop.time() + self.allow, number == 1)
        fields = {
            "ref": ref,
            "allow": f"{self.allow * 1000:.0f}",
            "effort": f"{self.effort:.0f}",
            "space": "4",
        }
        if key:
            fields["lookup"] = f"{key:x}"
        group = self.random.randint(1, 20)
        statement = f"{'insert into' if key else 'select * from'} air_{group}.x".encode()
        self.open[at][number] = sent
        self.sent.append(sent)
        self.writers[at].write(msgpack.packb([0, number, method, [fields, statement]]))
        return sent

    async def _read(self, reader: asyncio.StreamReader, at: int) -> None:
        while True:
            await self._read_one(reader, at)
            self.lost_connections += 1
            self.writers[at].close()
            for sent in self.open[at].values():
                if not sent.answers:
                    sent.cut = asyncio.get_running_loop().time()
            self.open[at] = {}
            if not self.again:
                return
            self.numbers[at] = 0
            while True:
                try:
                    reader, self.writers[at] = await asyncio.open_connection(*self.address)
                    break
                except OSError:  # its program has ended; it may be started again
                    await asyncio.sleep(REOPEN)

    async def _read_one(self, reader: asyncio.StreamReader, at: int) -> None:
        unpacker, loop = msgpack.Unpacker(), asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                unpacker.feed(data)
                for _, number, error, _ in unpacker:
                    sent = self.open[at].get(number)
                    if sent is not None:
                        word = error[0] if error else "served"
                        sent.answers.append(word if loop.time() <= sent.due + LATE else "late")
                        if word == "Full" and not sent.key and self.repeats < MOST_REPEATS * self.repeat:
                            self.repeats += 1
                            self.send(sent.method)
        except OSError:
            pass

    async def settle(self) -> None:
        """Waits until each request has its answer, or its time has gone by."""
        loop = asyncio.get_running_loop()
        while any(not sent.answers and loop.time() < sent.due + LATE for sent in self.sent):
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        for task in self.readers:
            task.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        for writer in self.writers:
            writer.close()

    def figures(self) -> Counter:
        """Requests without exactly one answer in time, and the answers by word."""
        found = Counter(word for sent in self.sent for word in sent.answers)
        found["requests"] = len(self.sent)
        found["lost"] = sum(not sent.answers or "late" in sent.answers for sent in self.sent)
        found["cut"] = sum(sent.cut > 0 for sent in self.sent)  # of the lost: closed unanswered
        found["twice"] = sum(len(sent.answers) > 1 for sent in self.sent)
        return found
