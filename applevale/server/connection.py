"""The clients' protocol: MessagePack-RPC over TCP, in front of the broker."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import ceil, nan

import msgpack

from .. import api
from ..admin.draining import CROSSING, TAKES, Drain
from ..admin.metrics import Figures
from ..dispatch.arrival_order import Source
from ..dispatch.event_loop_driver import EventLoopDriver
from ..net.write_queue import Outbox
from ..observability.counters import Counters
from ..observability.events import log_event
from ..requests.handler import Broker, Failed, Query, Refused, Served
from .statement import table_group

MOST_MESSAGE = 256 * 1024  # bytes of one message
MOST_OPEN = 32  # requests on one connection
STALL = 30.0  # s after which a client that takes in nothing has lost its connection: no one waits longer
RECEIVE = 4096  # bytes, for each connection: some stay for good
UNFINISHED = 2.0  # s for the first message, and for each further one once it has begun
LEAVE = 0.5  # s for a client to read what it was sent last, before its connection is closed
PENANCE = (0.05, 1.0)  # s for which a connection is not read after a bad request: first, and the most
LONGEST = 1.1  # times a class's deadline that a client may be patient: more is no figure of this class
MOST_EFFORT, MOST_SPACE = 1e8, 1e7  # ms and MB: far beyond any engine, and still harmless figures
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_REF = re.compile(r"[0-9a-fA-F]{16}")
_TOKEN = re.compile(r"[0-9A-Za-z_.:-]{0,128}")  # as it is passed on among an engine's fields
_UNPRINTABLE = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")


OUTCOME = {Served: "success", Refused: "overload", Failed: "error"}  # as the figures name them


class BadMessage(ValueError):
    """Not this protocol: ends the connection."""


class BadField(ValueError):
    """A request that cannot be used: answered with an error."""


def reply(number: int, error: list | None, result: list | None) -> bytes:
    return msgpack.packb([1, number, error, result])


def _number(fields: dict, name: str, most: float, default: float | None = None) -> float:
    raw = fields.get(name)
    if raw is None and default is not None:
        return default
    try:
        value = float(raw) if isinstance(raw, str) else nan
    except ValueError:
        value = nan
    if not 0 <= value <= most:  # guards the estimates of all against one figure
        raise BadField(f"{name}: {str(raw)[:40]!r}")
    return value


def _key(fields: dict) -> int:
    try:
        key = int(fields.get("lookup", ""), 16)
    except (TypeError, ValueError):
        key = 0
    if not 0 < key < 2**64:
        raise BadField("lookup: missing or out of range")
    return key


def _idempotency_key(fields: dict) -> str:
    """By which engines know a repeat of a request; without one they go by its id."""
    key = fields.get("replay", "")
    if not isinstance(key, str) or not _TOKEN.fullmatch(key):
        raise BadField("replay")
    return key


def _check_statement(statement: bytes) -> None:
    """Guards the links that requests share: an engine closes one on what it cannot read."""
    try:
        text = statement.decode()
    except UnicodeDecodeError:
        raise BadField("a statement that is no text") from None
    if not text.strip() or _UNPRINTABLE.search(text):
        raise BadField("a statement that is no text")


@dataclass(frozen=True)
class Names:
    """What the settings name, by its place there."""

    specs: tuple[api.ClassSpec, ...]
    classes: dict[str, int]
    tenants: dict[str, int]

    @classmethod
    def of(cls, settings: api.Settings) -> Names:
        return cls(
            settings.classes,
            {spec.name: at for at, spec in enumerate(settings.classes)},
            {tenant.name: at for at, tenant in enumerate(settings.tenants)},
        )

    def tenant(self, fields: dict) -> int:
        name = fields.get("project")
        if not self.tenants or name is None:
            return 0
        if not isinstance(name, str) or name not in self.tenants:
            raise BadField(f"project: {str(name)[:40]!r}")
        return self.tenants[name]


def read_query(
    names: Names, method: str, params: list, now: float, gone: Callable[[], bool] = lambda: False
) -> Query:
    """The request in a call; raises BadField with what is wrong."""
    if method not in names.classes:
        raise BadField(f"unknown class {method[:40]!r}")
    if len(params) != 2 or not isinstance(params[0], dict) or not isinstance(params[1], bytes):
        raise BadField("fields and a body are needed")
    fields, statement = params
    cls = names.classes[method]
    spec = names.specs[cls]
    ref = fields.get("ref")
    if not isinstance(ref, str) or not _REF.fullmatch(ref):
        raise BadField("ref")
    allow = _number(fields, "allow", spec.deadline * LONGEST * 1000) / 1000
    work = _number(fields, "effort", MOST_EFFORT, 0.0) / 1000
    memory = _number(fields, "space", MOST_SPACE, 0.0)
    key = _key(fields) if spec.ordered else 0
    _check_statement(statement)
    return Query(
        ref.encode(),
        cls,
        statement,
        now,
        allow,
        names.tenant(fields),
        key,
        work,
        memory,
        table_group(statement),
        fields.get("dup") == "1",
        gone=gone,
        idempotency_key=_idempotency_key(fields),
    )


class Front:
    """Accepts connections; each is a task of its own, and so is each request."""

    def __init__(
        self,
        broker: Broker,
        driver: EventLoopDriver,
        settings: api.Settings,
        most: int,
        most_held: int,
        counters: Counters,
    ):
        self.broker, self.driver, self.settings, self.counters = broker, driver, settings, counters
        self.names = Names.of(settings)
        self.most = most  # connections at a time
        self.most_held = most_held  # bytes of messages, statements and answers, over all connections
        self.connections: dict[Connection, asyncio.Task] = {}
        # Connections that are owed nothing, by when that began: without a whole message yet, and others.
        self.silent: dict[Connection, float] = {}
        self.idle: dict[Connection, float] = {}
        self.room = asyncio.Event()
        self.ready = False  # what a probe is told
        self.refs: set[bytes] = set()  # of the requests without an answer
        self.held = 0  # bytes
        self.source = Source()  # the listener's
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task | None = None
        self.draining = Drain()  # whether clients are sent elsewhere
        self.figures: Figures | None = None
        driver.source_listings.append(self.inlet)

    @property
    def open(self) -> int:
        """Requests without an answer."""
        return len(self.refs)

    async def accept(self, listener: socket.socket) -> None:
        self.listener = listener
        queue = select.poll()
        queue.register(listener, select.POLLIN)
        while True:
            asked = self.driver.now()
            while len(self.connections) >= self.most and not (self.silent or self.idle):
                self.room.clear()  # all are owed an answer: the rest waits in the system's queue
                await self.room.wait()
            try:
                await self._waiting(listener)
                sock, _ = listener.accept()
            except BlockingIOError:  # the caller has gone
                continue
            except OSError as error:  # guards against no descriptor being free
                log_event("accept", str(error))
                await asyncio.sleep(0.01)
                continue
            self.take(sock, asked, not queue.poll(0))  # else more connections wait in the system's queue

    @staticmethod
    async def _waiting(listener: socket.socket) -> None:
        """Until a caller waits. Guards the one that is accepted in the turn of the shutdown: it would be lost
        with the result of a cancelled accept, and so is left in the system's queue."""
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        loop.add_reader(listener, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            loop.remove_reader(listener)

    def take(self, sock: socket.socket, asked: float, emptied: bool) -> None:
        self.counters["connections"] += 1
        now = asyncio.get_running_loop().time()
        if len(self.connections) >= self.most:
            self.make_room(now)
        connection = Connection(
            self, sock, self.source.record_read(asked, self.driver.arrival_order.polled_at, emptied)
        )
        self.silent[connection] = now
        self.connections[connection] = asyncio.create_task(connection.run())
        if self.draining.on:
            self.close_silent(connection, now)

    def shut(self) -> None:
        """Takes no more connections. Guards those that wait in the system's queue: closed with the listener,
        they would be reset, so they are taken first; from then on the kernel gives new ones to a second
        process on the same address, if there is one."""
        listener, self.listener = self.listener, None
        if self.accepting is not None:
            self.accepting.cancel()
        if listener is None:
            return
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # none is left, or it has gone already
                break
            sock.setblocking(False)
            self.take(sock, self.driver.now(), False)
        listener.close()

    def inlet(self) -> list[tuple[Source, bool]]:
        """The sockets, and whether there is something to read."""
        sources = {one.sock.fileno(): one.source for one in self.connections}
        if self.listener is not None:
            sources[self.listener.fileno()] = self.source
        sources.pop(-1, None)  # one that is being closed
        poll = select.poll()
        for number in sources:
            poll.register(number, select.POLLIN)
        return [(sources[number], True) for number, _ in poll.poll(0)]

    def make_room(self, now: float) -> None:
        """Closes a connection that is owed nothing. Guards against clients that stay for good after one
        request, and against crowds that say nothing: behind them, requests of others were not even read."""
        silent = [one for one, since in self.silent.items() if now - since >= CROSSING]
        owed_nothing = [*silent, *self.idle, *self.silent]
        # One whose next request lies unread goes last of all: its client would be reset.
        one = next((one for one in owed_nothing if not one.pending()), next(iter(owed_nothing), None))
        if one is not None:
            self.counters["connections_evicted"] += 1
            one.stop("")

    def rests(self, connection: Connection) -> None:
        """Keeps the order in which connections came to be owed nothing."""
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        if connection in self.connections and not (connection.calls or connection.outbox.size):
            loop = asyncio.get_running_loop()
            self.idle[connection] = loop.time()
            self.room.set()
            if self.draining.on:  # guards the drain: no client is held on an idle connection
                loop.call_soon(self.close_idle, connection)

    def close_idle(self, connection: Connection) -> None:
        """Closes it if nothing is owed on it still. Guards the answer that a request's end writes just after
        its call is released: closed at the release, the connection would take that answer with it."""
        if connection not in self.connections:
            return
        owed = bool(connection.calls or connection.outbox.size)
        if self.draining.closes(owed, owed or connection.pending()):
            connection.stop("")

    def close_silent(self, connection: Connection, accepted: float) -> None:
        """Guards a client that connected before it could know of the drain: its request may be on its way."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.draining.wait(accepted, loop.time()), self.close_idle, connection)

    def drain(self, takes: float = TAKES) -> None:
        """Sends clients elsewhere; what is owed is answered, and what comes within `takes` s is taken."""
        self.counters["drains"] += 1
        self.draining.begin(asyncio.get_running_loop().time() + takes)
        for connection in list(self.idle):
            self.close_idle(connection)
        for connection, accepted in self.silent.items():
            self.close_silent(connection, accepted)

    def undrain(self) -> None:
        self.draining.end()

    def closed(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        self.rests(connection)
        self.room.set()

    def hold(self, size: int) -> None:
        """Over the bound on memory, the client that holds most of it loses its connection."""
        self.held += size
        if self.held > self.most_held and self.connections:
            slow = max(self.connections, key=lambda one: one.outbox.size + one.unread)
            self.counters["slow_clients_closed"] += 1
            slow.stop("it holds too much memory")


class Connection:
    def __init__(self, front: Front, sock: socket.socket, since: float):
        self.front, self.sock, self.counters = front, sock, front.counters
        self.source, self.since = Source(since), since  # since: of what was read last
        self.leaving: set[Query] = set()  # keyed ones whose answers are not yet written
        self.outbox = Outbox(sock, STALL, self.stop)
        self.calls: dict[int, tuple[asyncio.Task, Query]] = {}
        self.last = -1  # number of the last call: they count up
        self.last_whole = 0  # where in the stream the last whole message ended
        self.unread = 0  # bytes of a message that is not whole
        # What was read last. Invariant: its first byte is 0 unless something was read into it that the task
        # has not taken yet; no message begins with 0.
        self.buffer = bytearray(RECEIVE)
        self.faults = 0
        self.unfinished = False  # its time to end a message is over
        self.poll = select.poll()
        self.poll.register(sock, select.POLLIN | select.POLLRDHUP)

    def seen(self) -> int:
        """What the system knows of the socket, read or not; of a closed one its number may be another's."""
        return select.POLLHUP if self.sock.fileno() < 0 else sum(event for _, event in self.poll.poll(0))

    def pending(self) -> bool:
        """Whether the client has begun a message that is not taken yet. Guards a request that crossed the
        close of a drain: closed with it unread, or read while its task still had to run, its client would
        never have an answer."""
        return bool(self.unread or self.buffer[0] or self.seen())

    def gone(self) -> bool:
        """Whether the client has hung up. Guards engines against work for no one: after a loop that stood
        still, or behind bad requests, the end of the connection may lie unread."""
        return bool(self.seen() & GONE)

    def penance(self) -> float:
        """s for which nothing is read after bad requests: with requests open no longer than their client's
        leaving may go unnoticed."""
        return min(PENANCE[0] * self.faults, PENANCE[0] if self.calls else PENANCE[1])

    def stop(self, why: str) -> None:
        if why:
            log_event("client", why)
        self.front.held -= self.outbox.drop() + self.unread
        self.unread = 0
        task = self.front.connections.pop(self, None)
        self.front.rests(self)
        if task is not None:
            task.cancel()

    async def run(self) -> None:
        """Reads messages until the connection ends. What goes wrong on it stops here."""
        try:
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._read()
        except asyncio.CancelledError:
            if not self.unfinished:
                raise
            asyncio.current_task().uncancel()
            self.counters["unfinished_messages"] += 1
            await self._leave()
        except OSError:
            self.counters["connections_reset"] += 1
        except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
            self.counters["bad_messages"] += 1
            log_event("client", f"{type(error).__name__}: {str(error)[:80]}")
            await self._leave()
        finally:
            self._give_up()
            try:
                await self.outbox.close()
            finally:
                self.front.held -= self.outbox.size + self.unread
                self.sock.close()
                for query in list(self.leaving):
                    self.left(query)
                self.front.closed(self)

    def _give_up(self) -> None:
        """A client that hangs up has given all of its requests up."""
        for task, _ in self.calls.values():
            task.cancel()

    async def _leave(self) -> None:
        """Sends what is left and waits a little for the client to read it and hang up: closed with bytes
        unread, the connection is reset, which can take an answer with it."""
        self._give_up()
        loop, buffer = asyncio.get_running_loop(), bytearray(RECEIVE)
        try:
            async with asyncio.timeout(LEAVE):
                await self.outbox.flush()
                self.sock.shutdown(socket.SHUT_WR)
                for _ in range(MOST_MESSAGE // RECEIVE):  # no more: who floods may be reset
                    if not await loop.sock_recv_into(self.sock, buffer):
                        break
        except (OSError, TimeoutError):
            pass

    async def _read(self) -> None:
        loop, buffer = asyncio.get_running_loop(), self.buffer
        unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=MOST_MESSAGE, read_size=RECEIVE, max_array_len=64, max_map_len=64
        )
        fed, due = 0, loop.time() + UNFINISHED
        while True:
            asked = self.front.driver.now()
            # Guards against clients that say nothing, or never end what they say.
            limit = None if due is None else loop.call_at(due, self._overdue, asyncio.current_task())
            try:
                size = await loop.sock_recv_into(self.sock, buffer)
            finally:
                if limit is not None:
                    limit.cancel()
            if not size:
                return
            now = self.front.driver.now()
            self.since = self.source.record_read(
                asked, self.front.driver.arrival_order.polled_at, size < RECEIVE
            )
            fed += size
            unpacker.feed(memoryview(buffer)[:size])
            buffer[0] = 0
            taken = 0
            for message in unpacker:
                taken = unpacker.tell()
                self.take(message, now)
            if taken:
                due, self.last_whole = None, taken
                self.front.rests(self)
            unread = fed - self.last_whole
            self.front.hold(unread - self.unread)
            self.unread = unread
            if unread > MOST_MESSAGE:  # guards against arrays in arrays, which no other bound counts
                raise BadMessage("a message without end")
            if unread and due is None:
                due = loop.time() + UNFINISHED
            if self.faults:
                await asyncio.sleep(self.penance())

    def _overdue(self, reading: asyncio.Task) -> None:
        """Guards the message whose end came in this very turn, or while the loop stood still: it is read."""
        if not (self.buffer[0] or self.seen()):
            self.unfinished = True
            reading.cancel()

    def take(self, message: object, now: float) -> None:
        match message:
            case [0, int(number), "probe", [dict()]]:
                self.counters["probed"] += 1
                self.count(number)
                self.send(reply(number, None, [self.front.ready, {}]))
            case [0, int(number), str(method), list(params)]:
                self.count(number)
                self.call(number, method, params, now)
            case [2, "giveUp", [int(number)]]:
                self.counters["given_up"] += 1
                call = self.calls.get(number)
                if call is not None:  # else its answer is on its way
                    task, query = call
                    spent = now - query.arrived
                    log_event("client", f"gave call {number} up after {spent:.3f} of {query.allow:.3f} s")
                    task.cancel()
                    self.release(number)
            case _:
                raise BadMessage(f"not a call: a {type(message).__name__}")

    def count(self, number: int) -> None:
        """Guards against two calls under one number: an answer would not tell which it is for."""
        if isinstance(number, bool) or not self.last < number < 2**32:
            raise BadMessage("the message ids do not count up")
        self.last = number

    def call(self, number: int, method: str, params: list, now: float) -> None:
        front = self.front
        # Guards against floods before they cost anything: at such a client's own count it has more open.
        if len(self.calls) >= MOST_OPEN:
            self.counters["over_bounds"] += 1
            raise BadMessage(f"over {MOST_OPEN} open requests")
        try:
            query = read_query(front.names, method, params, now, self.gone)
            if query.ref in front.refs:  # guards the open request: an engine would take this for a copy
                raise BadField("ref: of an open request")
        except BadField as error:
            self.counters["bad_requests"] += 1
            self.faults += 1
            log_event("request", str(error))
            self.send(reply(number, ["Error", {}], None))
            return
        if query.key and not front.driver.arrival_order.is_in_order(query.key, self.source, self.since, now):
            self.counters["unsure_order"] += 1
            query = replace(query, unsure=True)
        self.counters["taken_" + method] += 1
        front.refs.add(query.ref)
        task = asyncio.create_task(self.serve(number, query))
        # Guards against leaks: a task that is cancelled before its first step runs no `finally`.
        task.add_done_callback(lambda task: self.ended(number, task, query))
        self.calls[number] = task, query
        front.hold(len(query.statement))

    async def serve(self, number: int, query: Query) -> None:
        front = self.front
        try:
            if front.draining.refuses(asyncio.get_running_loop().time()):
                self.counters["drain_refused"] += 1
                answer = front.broker.turn_away()
            else:
                answer = await front.broker.serve(query)
        except Exception as error:  # guards the client's answer against our own faults
            self.counters["broker_errors"] += 1
            log_event("broker", f"{type(error).__name__}: {error}")
            answer = Failed()
        self.release(number)
        self.answer(number, answer, query)

    def ended(self, number: int, task: asyncio.Task, query: Query) -> None:
        self.counters["clients_gone"] += task.cancelled()
        if query not in self.leaving:  # no answer is on its way
            self.front.broker.answered(query)
        self.release(number)

    def release(self, number: int) -> None:
        """The request is answered, or no longer wanted."""
        call = self.calls.pop(number, None)
        if call is not None:
            self.front.refs.discard(call[1].ref)
            self.front.held -= len(call[1].statement)
            self.front.rests(self)

    def answer(self, number: int, answer: Served | Refused | Failed, query: Query) -> None:
        self.counters["answered_" + type(answer).__name__.lower()] += 1
        if self.front.figures is not None:
            self.front.figures.answered(query.cls, OUTCOME[type(answer)])
        match answer:
            case Served(rows=rows):
                self.send(reply(number, None, [rows, {}]), query)
            case Refused(retry_in=after):
                advice = {"cooldown": str(ceil(after * 1000))} if after > 0 else {}
                self.send(reply(number, ["Full", advice], None), query)
            case Failed():
                self.send(reply(number, ["Error", {}], None), query)

    def send(self, data: bytes, query: Query | None = None) -> None:
        if not self.outbox.closed:
            if query is not None and query.key:
                self.leaving.add(query)
            self.outbox.put(data, lambda: self.sent(len(data), query))
            self.front.rests(self)
            self.front.hold(len(data))

    def left(self, query: Query) -> None:
        self.leaving.discard(query)
        self.front.broker.answered(query)

    def sent(self, size: int, query: Query | None) -> None:
        if query in self.leaving:
            self.left(query)
        self.front.held -= size
        self.front.rests(self)
