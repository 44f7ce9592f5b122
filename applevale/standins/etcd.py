"""An etcd-like member: Range, Watch and Authenticate over gRPC, on a store that members may share."""

from __future__ import annotations

import asyncio
import ssl

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from ..sources.registry import messages as m
from .store import Compacted, Store, Version

MOST_EVENTS = 500  # of one message


class Member:
    """One member. `lag`: a frozen store that it answers from; `deny`: refuses all credentials; `slow`: s that
    a read takes; `mute`: its watches say nothing, while reads go on; `twice`: each event is told again."""

    def __init__(self, store: Store, users: dict[str, str] | None = None):
        self.store, self.users = store, users or {}
        self.lag: Store | None = None
        self.deny = self.mute = self.twice = False
        self.slow = 0.0
        self.reads = self.watches = 0
        self.server: Server | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def view(self) -> Store:
        return self.lag or self.store

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        self.server = Server([self])
        await self.server.start(*self.address, ssl=tls)
        self.address = self.server._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        self.server.close()
        await self.server.wait_closed()

    def __mapping__(self) -> dict[str, Handler]:
        return {
            m.RANGE: Handler(self._range, Cardinality.UNARY_UNARY, m.RangeRequest, m.RangeResponse),
            m.WATCH: Handler(self._watch, Cardinality.STREAM_STREAM, m.WatchRequest, m.WatchResponse),
            m.AUTHENTICATE: Handler(self._authenticate, Cardinality.UNARY_UNARY, m.AuthenticateRequest,
                                    m.AuthenticateResponse),
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
        if self.slow and not request.count_only:
            await asyncio.sleep(self.slow)
        try:
            found = self.view.under(request.key, request.range_end, request.revision)
        except Compacted:
            raise GRPCError(Status.OUT_OF_RANGE,
                            "etcdserver: mvcc: required revision has been compacted") from None
        answer = m.RangeResponse(header=self._header(), count=len(found))
        if not request.count_only:
            some = found[: request.limit or len(found)]
            answer.more = len(some) < len(found)
            answer.kvs.extend(_key_value(version) for version in some)
        await stream.send_message(answer)

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
                    await stream.send_message(m.WatchResponse(
                        header=self._header(), canceled=True, compact_revision=self.view.compacted,
                        cancel_reason="required revision has been compacted"))
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
    return m.KeyValue(key=version.key, create_revision=version.created, mod_revision=version.revision,
                      value=version.value or b"")


def _event(version: Version) -> object:
    return m.Event(type=m.DELETE if version.value is None else m.PUT, kv=_key_value(version))
