"""A session by the etcd v3 API over gRPC."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

from grpclib.client import Channel, Stream, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol

from . import messages as m
from .session import MOST_ANSWER, Declined, Hear, Known, Refused, Session
from .settings import RegistrySettings

PAGE = 1_000  # keys of one answer to a full read
_DENIED = {Status.UNAUTHENTICATED, Status.PERMISSION_DENIED}


def _bounded(stream: Stream) -> Stream:
    """Guards the memory: the library reads as much as a member announces, up to 4 GB a message."""
    receive = stream._stream.recv_data

    async def within(size: int) -> bytes:
        if size > MOST_ANSWER:
            raise ValueError(f"a message of {size} bytes")
        return await receive(size)

    stream._stream.recv_data = within
    return stream


class _Channel(Channel):
    """One that may bind a local address."""

    local = ""

    async def _create_connection(self) -> H2Protocol:
        if not self.local:
            return await super()._create_connection()
        _, protocol = await self._loop.create_connection(
            self._protocol_factory, self._host, self._port, ssl=self._ssl, local_addr=(self.local, 0)
        )
        return protocol


class EtcdSession(Session):
    def __init__(
        self,
        number: int,
        address: tuple[str, int],
        settings: RegistrySettings,
        tls: ssl.SSLContext | None,
        hear: Hear,
        clock: Callable[[], float],
        local: str = "",
    ):
        super().__init__(number, address, hear, clock)
        self.settings = settings
        self.channel = _Channel(*address, ssl=tls)
        self.channel.local = local
        self.prefix = settings.prefix.encode()
        self.end = m.range_end(self.prefix)
        self.metadata: dict[str, str] = {"token": settings.token} if settings.token else {}
        self.stream: Stream | None = None
        self.behind = False  # progress was asked for before there was a watch

    async def _call(self, method: str, request: object, reply: type) -> object:
        """One answer. Raises Refused, GRPCError and whatever breaks the connection."""
        try:
            call = UnaryUnaryMethod(self.channel, method, type(request), reply)
            async with call.open(metadata=self.metadata) as stream:
                await stream.send_message(request, end=True)
                _bounded(stream)
                answer = await stream.recv_message()
        except GRPCError as error:
            if error.status in _DENIED or method == m.AUTHENTICATE:
                raise Refused(f"credentials refused: {error.message}") from None
            if error.status is Status.RESOURCE_EXHAUSTED:
                raise Declined from None
            raise
        if answer is None:
            raise ConnectionError("no answer")
        return answer

    async def _header(self) -> object:
        """With the revision that all members together have committed: the read is not `serializable`."""
        request = m.RangeRequest(key=self.prefix, range_end=self.end, count_only=True)
        answer = await self._call(m.RANGE, request, m.RangeResponse)
        return answer.header

    def open(self) -> None:
        self.spawn(self._open())

    async def _open(self) -> None:
        if self.settings.user:
            request = m.AuthenticateRequest(name=self.settings.user, password=self.settings.password)
            answer = await self._call(m.AUTHENTICATE, request, m.AuthenticateResponse)
            self.metadata = {"token": answer.token}
        asked = self.clock()
        header = await self._header()
        self.hear.connected(self.number, asked, header.revision, header.cluster_id)

    def read_all(self) -> None:
        self.spawn(self._read_all())

    async def _read_all(self) -> None:
        """Page by page, all as of the revision of the first; begun anew if that is compacted meanwhile."""
        while True:
            asked, revision, key, found = self.clock(), 0, self.prefix, []
            try:
                while True:
                    page = await self._call(
                        m.RANGE,
                        m.RangeRequest(key=key, range_end=self.end, limit=PAGE, revision=revision),
                        m.RangeResponse,
                    )
                    revision = revision or page.header.revision
                    found += ((kv.key.decode(errors="replace"), kv.mod_revision, kv.value) for kv in page.kvs)
                    if not page.more or not page.kvs:
                        self.hear.whole(self.number, asked, revision, found)
                        return
                    key = page.kvs[-1].key + b"\0"
            except GRPCError as error:
                if error.status is not Status.OUT_OF_RANGE or not revision:
                    raise

    def watch(self, start: int, known: Callable[[], Known]) -> None:
        self.spawn(self._watch(start))

    async def _watch(self, start: int) -> None:
        method = StreamStreamMethod(self.channel, m.WATCH, m.WatchRequest, m.WatchResponse)
        create = m.WatchCreateRequest(key=self.prefix, range_end=self.end, start_revision=start)
        async with method.open(metadata=self.metadata) as stream:
            await stream.send_message(m.WatchRequest(create_request=create))
            _bounded(stream)
            try:
                while (answer := await stream.recv_message()) is not None:
                    if answer.created:
                        self.stream = stream
                        if self.behind:
                            await self._progress()
                    if answer.canceled:
                        await stream.cancel()
                        self._canceled(answer)
                        return
                    if not answer.created:
                        self._take(answer)
            except GRPCError as error:
                if error.status in _DENIED:
                    raise Refused(f"credentials refused: {error.message}") from None
                if error.status is Status.RESOURCE_EXHAUSTED:
                    raise Declined(watch=True) from None
                raise
            finally:
                self.stream = None
        raise ConnectionError("the watch ended")

    def _canceled(self, answer: object) -> None:
        if answer.compact_revision:
            self.hear.compacted(self.number)
        else:
            raise ConnectionError(f"the watch was cancelled: {answer.cancel_reason[:60]}")

    def _take(self, answer: object) -> None:
        self.hear.events(
            self.number,
            answer.header.revision,
            [
                (
                    event.kv.key.decode(errors="replace"),
                    event.kv.mod_revision,
                    None if event.type == m.DELETE else event.kv.value,
                )
                for event in answer.events
            ],
        )

    async def _progress(self) -> None:
        """Asks how far the watch is; answered behind all events that came before."""
        self.behind = self.stream is None
        if self.stream is not None:
            await self.stream.send_message(m.WatchRequest(progress_request=m.WatchProgressRequest()))

    def ask(self, asked: float) -> None:
        self.spawn(self._ask(asked))

    async def _ask(self, asked: float) -> None:
        header = await self._header()
        self.hear.answered(self.number, asked, header.revision)

    def progress(self) -> None:
        self.spawn(self._progress())

    async def hang_up(self) -> None:
        self.channel.close()
        await asyncio.sleep(0)
