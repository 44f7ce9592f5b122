"""Fake clients of one program: they send requests at a mean rate and record every answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgpack

from ..net.addresses import Address

KEY_INTERVAL_SECONDS = 0.06  # minimum interval between two loads with the same key
NEW_CONNECTION_KEY_INTERVAL_SECONDS = 0.25  # the same after the first request on a connection
MAX_RESENDS = 500  # per pool; resending after immediate rejections would otherwise never end
RECONNECT_INTERVAL_SECONDS = 0.1
ANSWER_GRACE_SECONDS = 0.3  # after a request's deadline; an answer that arrives later counts as lost
SETTLE_POLL_SECONDS = 0.02
READ_SIZE_BYTES = 65536
TABLE_GROUP_COUNT = 20

METHOD_LOAD = "load"
METHOD_LOOKUP = "lookup"
ANSWER_SERVED = "served"
ANSWER_REJECTED = "Full"
ANSWER_LATE = "late"


@dataclass
class SentRequest:
    """A request as a client wrote it, with its answers. Times are in seconds of the event loop's clock.

    Attributes:
        request_id: The id of the request, which engines see too.
        method: The method called.
        key: The order key of a load; 0 if the request has none.
        sent_at: When the request was written.
        deadline: When the client stops waiting for an answer.
        is_first: Whether this was the first request on its connection.
        answers: One entry for each answer: `served`, the name of an error, or `late` if the answer arrived
            after the deadline and the grace time.
        disconnected_at: When the connection was closed before the request had an answer; 0 if it was not.
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
    """What the clients of a pool send and how they behave.

    Attributes:
        rate: Mean number of requests per second over all connections.
        connection_count: Number of connections.
        timeout: Time allowed for each request, in seconds.
        load_share: Share of the requests that are loads, from 0 to 1.
        key_count: Number of different order keys of the loads.
        reconnect: Whether a closed connection is opened again, as the clients of the platform do.
        effort_ms: Work that each request declares, in milliseconds.
        resend_rejected: Whether a rejected request without a key is sent again at once, even if the program
            advises a delay.
    """

    rate: float
    connection_count: int = 4
    timeout: float = 3.0
    load_share: float = 0.2
    key_count: int = 5
    reconnect: bool = False
    effort_ms: float = 20.0
    resend_rejected: bool = False


class ClientConnection:
    """One connection of the pool, with the requests sent on it by message number."""

    def __init__(self, writer: asyncio.StreamWriter):
        """Create a connection that sends through `writer`."""
        self.writer = writer
        self.requests: dict[int, SentRequest] = {}
        self.last_number = 0

    def next_message_number(self) -> int:
        """Return the message number of the next request."""
        self.last_number += 1
        return self.last_number

    def record_disconnect(self, now: float) -> None:
        """Close the writer and mark the unanswered requests as disconnected."""
        self.writer.close()
        for request in self.requests.values():
            if not request.answers:
                request.disconnected_at = now
        self.requests = {}

    def replace_writer(self, writer: asyncio.StreamWriter) -> None:
        """Continue with a new TCP connection, on which message numbers start at 1 again."""
        self.writer = writer
        self.last_number = 0


class ClientPool:
    """Connections to one program, over which requests are sent at a mean rate.

    Some requests are loads with an order key. Loads with the same key are sent at a minimum interval, as on
    the platform.

    Attributes:
        sent_requests: All requests, in the order in which they were written.
        lost_connections: Number of connections that the program closed.
    """

    def __init__(self, address: Address, random: Random, profile: ClientProfile):
        """Prepare the pool; `start` opens its connections.

        Args:
            address: The address at which the program listens.
            random: Source of the times, methods, keys and connections of the requests.
            profile: What the clients send and how they behave.
        """
        self.address = address
        self.random = random
        self.profile = profile
        self.resend_limit = MAX_RESENDS if profile.resend_rejected else 0
        self.resend_count = 0
        self.sent_requests: list[SentRequest] = []
        self.lost_connections = 0
        self.connections: list[ClientConnection] = []
        self.readers: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open all connections and start to read answers."""
        for _ in range(self.profile.connection_count):
            reader, writer = await asyncio.open_connection(*self.address)
            connection = ClientConnection(writer)
            self.connections.append(connection)
            self.readers.append(asyncio.create_task(self._read(reader, connection)))

    async def run(self, until: float) -> None:
        """Send requests at random intervals until the event loop's clock reaches `until`."""
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
        """Write a request to a random open connection and return it; return None if no connection is open."""
        open_connections = [
            connection for connection in self.connections if not connection.writer.is_closing()
        ]
        if not open_connections:
            return None
        connection = self.random.choice(open_connections)
        number = connection.next_message_number()
        request_id = f"{self.random.getrandbits(64):016x}"
        now = asyncio.get_running_loop().time()
        request = SentRequest(request_id, method, key, now, now + self.profile.timeout, number == 1)
        parameters = [self._request_fields(request_id, key), self._random_statement(key)]
        connection.requests[number] = request
        self.sent_requests.append(request)
        connection.writer.write(msgpack.packb([0, number, method, parameters]))
        return request

    def _request_fields(self, request_id: str, key: int) -> dict[str, str]:
        fields = {
            "ref": request_id,
            "allow": f"{self.profile.timeout * 1000:.0f}",
            "effort": f"{self.profile.effort_ms:.0f}",
            "space": "4",
        }
        if key:
            fields["lookup"] = f"{key:x}"
        return fields

    def _random_statement(self, key: int) -> bytes:
        group = self.random.randint(1, TABLE_GROUP_COUNT)
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
            reader, writer = await self._reconnect()
            connection.replace_writer(writer)

    async def _reconnect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            try:
                return await asyncio.open_connection(*self.address)
            except OSError:  # The program is not running and may be started again.
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
        is_in_time = asyncio.get_running_loop().time() <= request.deadline + ANSWER_GRACE_SECONDS
        request.answers.append(answer if is_in_time else ANSWER_LATE)
        if answer == ANSWER_REJECTED and not request.key and self.resend_count < self.resend_limit:
            self.resend_count += 1
            self.send(request.method)

    async def settle(self) -> None:
        """Wait until each request has been answered or its deadline and the grace time have passed."""
        loop = asyncio.get_running_loop()
        while any(
            not request.answers and loop.time() < request.deadline + ANSWER_GRACE_SECONDS
            for request in self.sent_requests
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
        """Count the answers by name and the requests by failure.

        Returns:
            The number of answers by name, and the following numbers of requests: `requests` (all), `lost` (no
            answer in time), `cut` (connection closed before the answer), `twice` (more than one answer).
        """
        counts = Counter(answer for request in self.sent_requests for answer in request.answers)
        counts["requests"] = len(self.sent_requests)
        counts["lost"] = sum(
            not request.answers or ANSWER_LATE in request.answers for request in self.sent_requests
        )
        counts["cut"] = sum(request.disconnected_at > 0 for request in self.sent_requests)
        counts["twice"] = sum(len(request.answers) > 1 for request in self.sent_requests)
        return counts
