"""Fake clients of one program: a steady load, and a record of every answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgpack

from ..net.addresses import Address

KEY_INTERVAL_SECONDS = 0.06  # between two requests of a key
NEW_CONNECTION_KEY_INTERVAL_SECONDS = 0.25  # behind the first request of a connection
MAX_REPEATS = 500  # of one pool: an immediate repeat of an immediate rejection has no other end
RECONNECT_INTERVAL_SECONDS = 0.1
LATE_AFTER_SECONDS = 0.3  # behind a request's deadline, from when on its answer counts as lost
SETTLE_POLL_SECONDS = 0.02
READ_SIZE_BYTES = 65536
TABLE_GROUPS = 20

METHOD_LOAD = "load"
METHOD_LOOKUP = "lookup"
ANSWER_SERVED = "served"
ANSWER_REJECTED = "Full"
ANSWER_LATE = "late"


@dataclass
class SentRequest:
    """A request as a client wrote it, and what came of it. Times are of the event loop's clock, in seconds.

    Attributes:
        request_id: The id that engines see, too.
        method: The method called.
        key: The key of a load; 0 for none.
        sent_at: When it was written.
        deadline: When its client gives up.
        is_first: Whether it was the first request on its connection.
        answers: `served` or the name of an error, one for each answer; `late` for one that came too late.
        disconnected_at: When its connection was closed before it had an answer; 0 if it was not.
    """

    request_id: str
    method: str
    key: int
    sent_at: float
    deadline: float
    is_first: bool
    answers: list[str] = field(default_factory=list)
    disconnected_at: float = 0.0


@dataclass(frozen=True)
class ClientProfile:
    """What the clients of a pool send, and how they behave.

    Attributes:
        rate: Requests a second, over all connections.
        connection_count: How many connections there are.
        timeout: Seconds that a request may take.
        load_share: The share of loads among the requests.
        key_count: How many keys the loads have.
        reconnect: Whether a closed connection is opened again, as a client of the platform does.
        effort_ms: The work that each request is declared to be.
        repeat_rejected: Whether a rejected request is sent again at once, whatever the program advises.
    """

    rate: float
    connection_count: int = 4
    timeout: float = 3.0
    load_share: float = 0.2
    key_count: int = 5
    reconnect: bool = False
    effort_ms: float = 20.0
    repeat_rejected: bool = False


class ClientConnection:
    """One connection of the pool: its writer, and the requests sent on it by their message number."""

    def __init__(self, writer: asyncio.StreamWriter):
        """Send on `writer`, without any request yet."""
        self.writer = writer
        self.requests: dict[int, SentRequest] = {}
        self.last_number = 0

    def next_number(self) -> int:
        """Return the message number of the next request."""
        self.last_number += 1
        return self.last_number

    def record_disconnect(self, now: float) -> None:
        """Close the writer and mark the requests that have no answer."""
        self.writer.close()
        for request in self.requests.values():
            if not request.answers:
                request.disconnected_at = now
        self.requests = {}

    def replace_writer(self, writer: asyncio.StreamWriter) -> None:
        """Continue on a new connection, whose message numbers start again."""
        self.writer = writer
        self.last_number = 0


class ClientPool:
    """Connections to one program, with requests at a rate on them.

    Some requests are loads with a key. Loads of one key are sent some time apart, as the platform's are.

    Attributes:
        sent: All requests, in the order in which they were written.
        lost_connections: Connections that the program closed.
    """

    def __init__(self, address: Address, random: Random, profile: ClientProfile):
        """Prepare the pool; `start` opens its connections.

        Args:
            address: Where the program listens.
            random: Draws the times, kinds, keys and connections of the requests.
            profile: What the clients send, and how they behave.
        """
        self.address = address
        self.random = random
        self.profile = profile
        self.repeat_limit = MAX_REPEATS if profile.repeat_rejected else 0
        self.repeat_count = 0
        self.sent: list[SentRequest] = []
        self.lost_connections = 0
        self.connections: list[ClientConnection] = []
        self.readers: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open all connections and begin to read answers."""
        for _ in range(self.profile.connection_count):
            reader, writer = await asyncio.open_connection(*self.address)
            connection = ClientConnection(writer)
            self.connections.append(connection)
            self.readers.append(asyncio.create_task(self._read(reader, connection)))

    async def run(self, until: float) -> None:
        """Send requests at random intervals until that time by the event loop's clock."""
        loop = asyncio.get_running_loop()
        earliest_by_key: dict[int, float] = {}
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(self.profile.rate))
            is_load = self.random.random() < self.profile.load_share
            key = self.random.randint(1, self.profile.key_count) if is_load else 0
            if is_load and loop.time() < earliest_by_key.get(key, 0.0):
                continue
            request = self.send(METHOD_LOAD if is_load else METHOD_LOOKUP, key)
            if request is not None:
                interval = NEW_CONNECTION_KEY_INTERVAL_SECONDS if request.is_first else KEY_INTERVAL_SECONDS
                earliest_by_key[key] = request.sent_at + interval

    def send(self, method: str, key: int = 0) -> SentRequest | None:
        """Write a request to a random connection; return None if none is open."""
        open_connections = [
            connection for connection in self.connections if not connection.writer.is_closing()
        ]
        if not open_connections:
            return None
        connection = self.random.choice(open_connections)
        number = connection.next_number()
        request_id = f"{self.random.getrandbits(64):016x}"
        now = asyncio.get_running_loop().time()
        request = SentRequest(request_id, method, key, now, now + self.profile.timeout, number == 1)
        parameters = [self._fields(request_id, key), self._statement(key)]
        connection.requests[number] = request
        self.sent.append(request)
        connection.writer.write(msgpack.packb([0, number, method, parameters]))
        return request

    def _fields(self, request_id: str, key: int) -> dict[str, str]:
        fields = {
            "ref": request_id,
            "allow": f"{self.profile.timeout * 1000:.0f}",
            "effort": f"{self.profile.effort_ms:.0f}",
            "space": "4",
        }
        if key:
            fields["lookup"] = f"{key:x}"
        return fields

    def _statement(self, key: int) -> bytes:
        group = self.random.randint(1, TABLE_GROUPS)
        verb = "insert into" if key else "select * from"
        return f"{verb} air_{group}.x".encode()

    async def _read(self, reader: asyncio.StreamReader, connection: ClientConnection) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._read_answers(reader, connection)
            self.lost_connections += 1
            connection.record_disconnect(loop.time())
            if not self.profile.reconnect:
                return
            reader, writer = await self._open_again()
            connection.replace_writer(writer)

    async def _open_again(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            try:
                return await asyncio.open_connection(*self.address)
            except OSError:  # the program has ended, and may be started again
                await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)

    async def _read_answers(self, reader: asyncio.StreamReader, connection: ClientConnection) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                unpacker.feed(data)
                for _, number, error, _ in unpacker:
                    request = connection.requests.get(number)
                    if request is not None:
                        self._record_answer(request, error[0] if error else ANSWER_SERVED)
        except OSError:
            pass

    def _record_answer(self, request: SentRequest, answer: str) -> None:
        is_in_time = asyncio.get_running_loop().time() <= request.deadline + LATE_AFTER_SECONDS
        request.answers.append(answer if is_in_time else ANSWER_LATE)
        if answer == ANSWER_REJECTED and not request.key and self.repeat_count < self.repeat_limit:
            self.repeat_count += 1
            self.send(request.method)

    async def settle(self) -> None:
        """Wait until each request has its answer, or its time has passed."""
        loop = asyncio.get_running_loop()
        while any(
            not request.answers and loop.time() < request.deadline + LATE_AFTER_SECONDS
            for request in self.sent
        ):
            await asyncio.sleep(SETTLE_POLL_SECONDS)

    async def stop(self) -> None:
        """Close all connections."""
        for task in self.readers:
            task.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        for connection in self.connections:
            connection.writer.close()

    def stats(self) -> Counter:
        """Count the answers by their name, and the requests by what went wrong.

        Returns:
            Besides the answers: `requests`; `lost`, those without an answer in time; `cut`, those of the lost
            whose connection was closed; `twice`, those with more than one answer.
        """
        counts = Counter(answer for request in self.sent for answer in request.answers)
        counts["requests"] = len(self.sent)
        counts["lost"] = sum(not request.answers or ANSWER_LATE in request.answers for request in self.sent)
        counts["cut"] = sum(request.disconnected_at > 0 for request in self.sent)
        counts["twice"] = sum(len(request.answers) > 1 for request in self.sent)
        return counts
