"""An etcd-like member: Range, Watch and Authenticate over gRPC, on a store that members may share."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from ..discovery.registry import messages as m
from .service_capacity import ServiceCapacity
from .store import Compacted, Store, Version

MOST_EVENTS = 500  # of one message


@dataclass
class ReadSeen:
    """One read as the service saw it; times by the steady clock, s."""

    at: float
    caller: str  # IP:PORT
    whole: bool  # a full read; else a short one
    out: float = 0.0  # when it was answered, refused or broken off
    answered: bool = False


class _Server(Server):
    """A gRPC server that knows its connections, and serves none that is established after `close`."""

    def __init__(self, handlers: list, member: Member):
        super().__init__(handlers)
        self.member = member
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True
        super().close()

    def _protocol_factory(self) -> asyncio.Protocol:
        protocol, member = super()._protocol_factory(), self.member
        made, lost, held = protocol.connection_made, protocol.connection_lost, []

        def connection_made(transport: asyncio.Transport) -> None:
            # The event loop may have accepted it before `close` and report it only now: `Member.stop` could
            # not abort what it did not know of, and this connection alone would be served on and on.
            if self.is_closed:
                transport.abort()
                return
            host, port = transport.get_extra_info("peername")[:2]
            held.append(transport)
            member.transports[transport] = f"{host}:{port}"
            member.turned(member.transports[transport], True)
            made(transport)

        def connection_lost(error: Exception | None) -> None:
            if not held:
                return
            caller = member.transports.pop(held[0], "")
            member.turned(caller, False)
            lost(error)

        protocol.connection_made, protocol.connection_lost = connection_made, connection_lost
        return protocol


class Member:
    """One member. `lag`: a frozen store that it answers from; `deny`: refuses all credentials; `slow`: s that
    a full read takes; `late`: s that each call takes besides; `mute`: its watches say nothing, while reads go
    on; `twice`: each event is told again. `capacity` is that of the service, shared by its members."""

    def __init__(
        self, store: Store, users: dict[str, str] | None = None, capacity: ServiceCapacity | None = None
    ):
        self.store, self.users = store, users or {}
        self.lag: Store | None = None
        self.deny = self.mute = self.twice = False
        self.slow = self.late = 0.0
        self.reads = self.watches = 0
        self.capacity = capacity or ServiceCapacity()
        self.seen: Callable[[ReadSeen], None] = lambda read: None
        self.transports: dict[asyncio.Transport, str] = {}  # connections, and whose they are
        self.turned: Callable[[str, bool], None] = lambda caller, opened: None
        self.server: Server | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def view(self) -> Store:
        return self.lag or self.store

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        self.server = _Server([self], member=self)
        await self.server.start(*self.address, ssl=tls)
        self.address = self.server._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections; no call is answered once this returns."""
        self.server.close()
        for transport in list(self.transports):
            transport.abort()
        await self.server.wait_closed()

    def __mapping__(self) -> dict[str, Handler]:
        return {
            m.RANGE: Handler(self._range, Cardinality.UNARY_UNARY, m.RangeRequest, m.RangeResponse),
            m.WATCH: Handler(self._watch, Cardinality.STREAM_STREAM, m.WatchRequest, m.WatchResponse),
            m.AUTHENTICATE: Handler(
                self._authenticate, Cardinality.UNARY_UNARY, m.AuthenticateRequest, m.AuthenticateResponse
            ),
        }

    def _header(self) -> object:
        return m.ResponseHeader(cluster_id=self.store.cluster, member_id=1, revision=self.view.revision)

    def _check(self, stream: Stream) -> None:
        if self.deny or (self.users and stream.metadata.get("token") not in self.users.values()):
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")

    async def _authenticate(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if self.deny or request.name not in self.users or request.password != f"pw-{request.name}":
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: authentication failed")
        token = self.users[request.name]
        await stream.send_message(m.AuthenticateResponse(header=self._header(), token=token))

    async def _range(self, stream: Stream) -> None:
        request = await stream.recv_message()
        self._check(stream)
        self.reads += 1
        caller = f"{stream.peer.addr()[0]}:{stream.peer.addr()[1]}"
        read = ReadSeen(time.monotonic(), caller, not request.count_only)
        try:
            await self._serve_read(stream, request, read)
        finally:
            read.out = time.monotonic()
            self.seen(read)

    async def _serve_read(self, stream: Stream, request: object, read: ReadSeen) -> None:
        wait = self.capacity.reserve(time.monotonic())
        if wait is None:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        wait += self.late + (self.slow if read.whole else 0.0)
        if wait:
            await asyncio.sleep(wait)
        try:
            found = self.view.under(request.key, request.range_end, request.revision)
        except Compacted:
            raise GRPCError(
                Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"
            ) from None
        answer = m.RangeResponse(header=self._header(), count=len(found))
        if not request.count_only:
            some = found[: request.limit or len(found)]
            answer.more = len(some) < len(found)
            answer.kvs.extend(_key_value(version) for version in some)
        await stream.send_message(answer)
        read.answered = True

    async def _watch(self, stream: Stream) -> None:
        request = await stream.recv_message()
        self._check(stream)
        self.watches += 1
        create = request.create_request
        changed = asyncio.Event()
        lock = asyncio.Lock()
        told = [create.start_revision]  # the next revision to tell
        await stream.send_message(m.WatchResponse(header=self._header(), created=True))
        self.view.changed.add(changed)
        answering = asyncio.create_task(self._progress(stream, create, told, lock))
        try:
            while not answering.done():
                if not await self._events(stream, create, told, lock):
                    return
                waiting = asyncio.create_task(changed.wait())
                try:
                    await asyncio.wait({waiting, answering}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    waiting.cancel()
                changed.clear()
        except (StreamTerminatedError, ConnectionError):
            pass
        finally:
            answering.cancel()
            for store in (self.store, self.view):
                store.changed.discard(changed)

    async def _progress(self, stream: Stream, create: object, told: list[int], lock: asyncio.Lock) -> None:
        try:
            while (request := await stream.recv_message()) is not None:
                if request.HasField("progress_request") and not self.mute:
                    await self._events(stream, create, told, lock)
                    async with lock:
                        await stream.send_message(m.WatchResponse(header=self._header(), watch_id=-1))
        except (StreamTerminatedError, ConnectionError):
            pass

    async def _events(self, stream: Stream, create: object, told: list[int], lock: asyncio.Lock) -> bool:
        """All that is due; false once the watch was cancelled."""
        async with lock:
            while not self.mute:
                try:
                    due = self.view.since(told[0], create.key, create.range_end)[:MOST_EVENTS]
                except Compacted:
                    await stream.send_message(
                        m.WatchResponse(
                            header=self._header(),
                            canceled=True,
                            compact_revision=self.view.compacted,
                            cancel_reason="required revision has been compacted",
                        )
                    )
                    return False
                if not due:
                    break
                header = self._header()
                header.revision = due[-1].revision
                for _ in range(1 + self.twice):
                    await stream.send_message(m.WatchResponse(header=header, events=[_event(v) for v in due]))
                told[0] = due[-1].revision + 1
        return True


def _key_value(version: Version) -> object:
    return m.KeyValue(
        key=version.key,
        create_revision=version.created,
        mod_revision=version.revision,
        value=version.value or b"",
    )


def _event(version: Version) -> object:
    return m.Event(type=m.DELETE if version.value is None else m.PUT, kv=_key_value(version))
