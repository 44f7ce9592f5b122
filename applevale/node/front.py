"""The clients' protocol: MessagePack-RPC over TCP, in front of the broker."""

from __future__ import annotations

import asyncio
import socket
from math import ceil, isfinite

import msgpack

from .. import interface as api
from .broker import Broker, Failed, Query, Refused, Served
from .counters import Counters
from .driver import Driver
from .log import say
from .outbox import Outbox
from .statement import table_group

MOST_MESSAGE = 256 * 1024  # bytes of one message
MOST_OPEN = 32  # requests on one connection
MOST_HELD = 64 * 1024 * 1024  # bytes of statements and answers, over all connections
STALL = 30.0  # s after which a client that takes in nothing has lost its connection: no one waits longer
RECEIVE = 16384


class BadMessage(ValueError):
    """Not this protocol: ends the connection."""


class BadField(ValueError):
    """A request that cannot be used: answered with an error."""


def reply(number: int, error: list | None, result: list | None) -> bytes:
    return msgpack.packb([1, number, error, result])


def _number(fields: dict, name: str, default: float | None = None) -> float:
    raw = fields.get(name)
    if raw is None and default is not None:
        return default
    try:
        value = float(raw)
    except (TypeError, ValueError):
        raise BadField(f"{name}: {str(raw)[:40]!r}") from None
    if not isfinite(value) or value < 0:
        raise BadField(f"{name}: {value}")
    return value


def read_query(classes: dict[str, int], specs: tuple[api.ClassSpec, ...], method: str, params: list,
               now: float) -> Query:
    """The request in a call; raises BadField with what is wrong."""
    if method not in classes:
        raise BadField(f"unknown class {method[:40]!r}")
    if len(params) != 2 or not isinstance(params[0], dict) or not isinstance(params[1], bytes):
        raise BadField("fields and a body are needed")
    fields, statement = params
    cls = classes[method]
    ref = fields.get("ref")
    if not isinstance(ref, str) or not ref.isalnum() or not ref.isascii() or len(ref) > 64:
        raise BadField("ref")
    try:
        key = int(str(fields.get("lookup", "0")), 16)
    except ValueError:
        raise BadField("lookup") from None
    if specs[cls].ordered and not 0 < key < 2**64:
        raise BadField("lookup: missing or out of range")
    return Query(
        ref=ref.encode(),
        cls=cls,
        statement=statement,
        arrived=now,
        allow=_number(fields, "allow") / 1000,
        key=key if specs[cls].ordered else 0,
        work=_number(fields, "effort", 0.0) / 1000,
        memory_mb=_number(fields, "space", 0.0),
        tables=table_group(statement),
        client_retry=fields.get("dup") == "1",
    )


class Front:
    """Accepts connections; each is a task of its own, and so is each request."""

    def __init__(self, broker: Broker, driver: Driver, settings: api.Settings, most: int, counters: Counters):
        self.broker, self.driver, self.settings, self.counters = broker, driver, settings, counters
        self.classes = {spec.name: at for at, spec in enumerate(settings.classes)}
        self.most = most  # connections at a time
        self.connections: dict[Connection, asyncio.Task] = {}
        self.room = asyncio.Event()
        self.ready = False  # what a probe is told
        self.open = 0  # requests without an answer
        self.held = 0  # bytes

    async def accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while len(self.connections) >= self.most:  # the rest waits in the system's queue
                self.room.clear()
                await self.room.wait()
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:  # guards against a caller that has gone, or no descriptor being free
                say("accept", str(error))
                await asyncio.sleep(0.01)
                continue
            self.counters["connections"] += 1
            connection = Connection(self, sock)
            self.connections[connection] = asyncio.create_task(connection.run())

    def closed(self, connection: Connection) -> None:
        del self.connections[connection]
        self.room.set()

    def relieve(self) -> None:
        """Over the bound on memory, the client that takes in least loses its connection."""
        slow = max(self.connections, key=lambda connection: connection.outbox.size)
        self.counters["slow_clients_closed"] += 1
        slow.stop("its answers pile up")


class Connection:
    def __init__(self, front: Front, sock: socket.socket):
        self.front, self.sock, self.counters = front, sock, front.counters
        self.outbox = Outbox(sock, STALL, self.stop)
        self.calls: dict[int, tuple[asyncio.Task, Query]] = {}

    def stop(self, why: str) -> None:
        say("client", why)
        task = self.front.connections.get(self)
        if task is not None:
            task.cancel()

    async def run(self) -> None:
        """Reads messages until the connection ends. What goes wrong on it stops here."""
        try:
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._read()
        except OSError:
            self.counters["connections_reset"] += 1
        except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
            self.counters["bad_messages"] += 1
            say("client", f"{type(error).__name__}: {error}")
        finally:
            for task, _ in self.calls.values():  # a client that hangs up has given all of its requests up
                task.cancel()
            try:
                await self.outbox.close()
            finally:
                self.front.held -= self.outbox.size
                self.sock.close()
                self.front.closed(self)

    async def _read(self) -> None:
        loop, buffer = asyncio.get_running_loop(), bytearray(RECEIVE)
        unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MOST_MESSAGE, read_size=RECEIVE,
                                    max_array_len=64, max_map_len=64)
        while size := await loop.sock_recv_into(self.sock, buffer):
            now = self.front.driver.now()
            unpacker.feed(memoryview(buffer)[:size])
            for message in unpacker:
                self.take(message, now)

    def take(self, message: object, now: float) -> None:
        match message:
            case [0, int(number), "probe", [dict()]]:
                self.counters["probed"] += 1
                self.send(reply(number, None, [self.front.ready, {}]))
            case [0, int(number), str(method), list(params)]:
                if isinstance(number, bool) or number in self.calls:
                    raise BadMessage(f"message id {number} is in use")
                self.call(number, method, params, now)
            case [2, "giveUp", [int(number)]]:
                self.counters["given_up"] += 1
                call = self.calls.get(number)
                if call is not None:  # else its answer is on its way
                    task, query = call
                    spent = now - query.arrived
                    say("client", f"gave call {number} up after {spent:.3f} of {query.allow:.3f} s")
                    task.cancel()
            case _:
                raise BadMessage(f"not a call: {str(message)[:80]}")

    def call(self, number: int, method: str, params: list, now: float) -> None:
        front = self.front
        try:
            query = read_query(front.classes, front.settings.classes, method, params, now)
        except BadField as error:
            self.counters["bad_requests"] += 1
            say("request", str(error))
            self.send(reply(number, ["Error", {}], None))
            return
        self.counters["taken_" + method] += 1
        if len(self.calls) >= MOST_OPEN or front.held > MOST_HELD:
            self.counters["over_bounds"] += 1
            self.answer(number, Refused(front.settings.max_retry_after))
            return
        front.open += 1
        front.held += len(query.statement)
        self.calls[number] = asyncio.create_task(self.serve(number, query)), query

    async def serve(self, number: int, query: Query) -> None:
        try:
            self.answer(number, await self.front.broker.serve(query))
        except asyncio.CancelledError:
            self.counters["clients_gone"] += 1
            raise
        except Exception as error:  # guards the client's answer against our own faults
            self.counters["broker_errors"] += 1
            say("broker", f"{type(error).__name__}: {error}")
            self.answer(number, Failed())
        finally:
            self.release(number, query)

    def release(self, number: int, query: Query) -> None:
        del self.calls[number]
        self.front.open -= 1
        self.front.held -= len(query.statement)

    def answer(self, number: int, answer: Served | Refused | Failed) -> None:
        self.counters["answered_" + type(answer).__name__.lower()] += 1
        match answer:
            case Served(rows=rows):
                self.send(reply(number, None, [rows, {}]))
            case Refused(retry_in=after):
                advice = {"cooldown": str(ceil(after * 1000))} if after > 0 else {}
                self.send(reply(number, ["Full", advice], None))
            case Failed():
                self.send(reply(number, ["Error", {}], None))

    def send(self, data: bytes) -> None:
        if self.outbox.closed:
            return
        self.front.held += len(data)
        self.outbox.put(data, lambda: self.sent(len(data)))
        if self.front.held > 2 * MOST_HELD:
            self.front.relieve()

    def sent(self, size: int) -> None:
        self.front.held -= size
