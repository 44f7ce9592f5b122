"""A session with a member of an etcd cluster, using the etcd v3 API over gRPC."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.client import Channel, Stream, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol

from . import messages
from .key_values import KeyValueEvent, KeyValuePair, PairsByKey
from .session import (
    MAX_MESSAGE_BYTES,
    AuthenticationError,
    Session,
    SessionListener,
    SessionTarget,
    ThrottledError,
)

KEYS_PER_PAGE = 1_000  # Number of keys in one response to a full read.
MAX_CANCEL_REASON_LENGTH = 60
_AUTHENTICATION_FAILURES = {Status.UNAUTHENTICATED, Status.PERMISSION_DENIED}


@dataclass(frozen=True)
class _Snapshot:
    """All keys as of one revision."""

    revision: int
    records: list[KeyValuePair]


class _LocalChannel(Channel):
    """A channel that can bind its connection to a local address."""

    local_address = ""

    async def _create_connection(self) -> H2Protocol:
        if not self.local_address:
            return await super()._create_connection()
        _, protocol = await self._loop.create_connection(
            self._protocol_factory,
            self._host,
            self._port,
            ssl=self._ssl,
            local_addr=(self.local_address, 0),
        )
        return protocol


class EtcdSession(Session):
    """A session with a member of an etcd cluster."""

    def __init__(
        self,
        session_id: int,
        target: SessionTarget,
        listener: SessionListener,
        clock: Callable[[], float],
    ):
        """Create a session with a member; see `Session`."""
        super().__init__(session_id, target, listener, clock)
        settings = target.settings
        self.channel = _LocalChannel(*target.address, ssl=target.ssl_context)
        self.channel.local_address = target.local_address
        self.prefix = settings.prefix.encode()
        self.range_end = messages.range_end(self.prefix)
        self.metadata: dict[str, str] = {"token": settings.token} if settings.token else {}
        self.watch_stream: Stream | None = None
        self.is_progress_pending = False  # Whether progress was requested before the watch was created.

    def handshake(self) -> None:
        """Log in if a user is configured, and read the cluster's revision."""
        self.spawn(self._handshake())

    def read_all(self) -> None:
        """Read all keys with their values."""
        self.spawn(self._read_all())

    def watch(self, start_revision: int, read_known_pairs: Callable[[], PairsByKey]) -> None:
        """Watch all changes from `start_revision` on; the known list is not needed."""
        self.spawn(self._watch(start_revision))

    def poll_revision(self, requested_at: float) -> None:
        """Read the cluster's current revision."""
        self.spawn(self._poll_revision(requested_at))

    def request_progress(self) -> None:
        """Request a progress notification, which follows all earlier events of the watch."""
        self.spawn(self._request_progress())

    async def close_connection(self) -> None:
        """Close the channel."""
        self.channel.close()
        await asyncio.sleep(0)

    async def _handshake(self) -> None:
        settings = self.target.settings
        if settings.user:
            request = messages.AuthenticateRequest(name=settings.user, password=settings.password)
            response = await self._call(messages.AUTHENTICATE, request, messages.AuthenticateResponse)
            self.metadata = {"token": response.token}
        requested_at = self.clock()
        header = await self._read_header()
        self.listener.on_connected(self.session_id, requested_at, header.revision, header.cluster_id)

    async def _poll_revision(self, requested_at: float) -> None:
        header = await self._read_header()
        self.listener.on_revision(self.session_id, requested_at, header.revision)

    async def _read_header(self) -> object:
        """Return a response header with the latest committed revision; the read is linearizable."""
        request = messages.RangeRequest(key=self.prefix, range_end=self.range_end, count_only=True)
        response = await self._call(messages.RANGE, request, messages.RangeResponse)
        return response.header

    async def _read_all(self) -> None:
        """Read all keys as of one revision; start again if it is compacted before the last page."""
        snapshot = None
        while snapshot is None:
            requested_at = self.clock()
            snapshot = await self._read_pages()
        self.listener.on_snapshot(self.session_id, requested_at, snapshot.revision, snapshot.records)

    async def _read_pages(self) -> _Snapshot | None:
        """Return all keys as of the revision of the first page; None if it was compacted during the read."""
        revision = 0
        key = self.prefix
        records: list[KeyValuePair] = []
        while True:
            request = messages.RangeRequest(
                key=key, range_end=self.range_end, limit=KEYS_PER_PAGE, revision=revision
            )
            try:
                page = await self._call(messages.RANGE, request, messages.RangeResponse)
            except GRPCError as error:
                if error.status is Status.OUT_OF_RANGE and revision:
                    return None
                raise
            revision = revision or page.header.revision
            records += (KeyValuePair(_key_of(kv), kv.mod_revision, kv.value) for kv in page.kvs)
            if not page.more or not page.kvs:
                return _Snapshot(revision, records)
            key = page.kvs[-1].key + b"\0"

    async def _call(self, method: str, request: object, response_type: type) -> object:
        """Return the response to a unary call.

        Raises:
            AuthenticationError: The member rejected the credentials.
            ThrottledError: The member is overloaded.
            GRPCError: The call failed otherwise. A broken connection may raise other errors as well.
        """
        try:
            call = UnaryUnaryMethod(self.channel, method, type(request), response_type)
            async with call.open(metadata=self.metadata) as stream:
                await stream.send_message(request, end=True)
                _limit_message_size(stream)
                response = await stream.recv_message()
        except GRPCError as error:
            if error.status in _AUTHENTICATION_FAILURES or method == messages.AUTHENTICATE:
                raise AuthenticationError(f"credentials rejected: {error.message}") from None
            if error.status is Status.RESOURCE_EXHAUSTED:
                raise ThrottledError from None
            raise
        if response is None:
            raise ConnectionError("the call ended without a response")
        return response

    async def _watch(self, start_revision: int) -> None:
        method = StreamStreamMethod(
            self.channel, messages.WATCH, messages.WatchRequest, messages.WatchResponse
        )
        create = messages.WatchCreateRequest(
            key=self.prefix, range_end=self.range_end, start_revision=start_revision
        )
        async with method.open(metadata=self.metadata) as stream:
            await stream.send_message(messages.WatchRequest(create_request=create))
            _limit_message_size(stream)
            try:
                if await self._receive_watch(stream):
                    return
            except GRPCError as error:
                if error.status in _AUTHENTICATION_FAILURES:
                    raise AuthenticationError(f"credentials rejected: {error.message}") from None
                if error.status is Status.RESOURCE_EXHAUSTED:
                    raise ThrottledError(is_watch=True) from None
                raise
            finally:
                self.watch_stream = None
        raise ConnectionError("the watch ended")

    async def _receive_watch(self, stream: Stream) -> bool:
        """Report events until the watch ends; return whether it ended because of a compaction."""
        while (response := await stream.recv_message()) is not None:
            if response.created:
                self.watch_stream = stream
                if self.is_progress_pending:
                    await self._request_progress()
            if response.canceled:
                await stream.cancel()
                self._handle_cancellation(response)
                return True
            if not response.created:
                self._report_events(response)
        return False

    def _handle_cancellation(self, response: object) -> None:
        """Report a compaction, or raise an error if the watch was cancelled for another reason."""
        if not response.compact_revision:
            reason = response.cancel_reason[:MAX_CANCEL_REASON_LENGTH]
            raise ConnectionError(f"the watch was cancelled: {reason}")
        self.listener.on_compacted(self.session_id)

    def _report_events(self, response: object) -> None:
        events = [_read_event(event) for event in response.events]
        self.listener.on_events(self.session_id, response.header.revision, events)

    async def _request_progress(self) -> None:
        self.is_progress_pending = self.watch_stream is None
        if self.watch_stream is not None:
            request = messages.WatchRequest(progress_request=messages.WatchProgressRequest())
            await self.watch_stream.send_message(request)


def _limit_message_size(stream: Stream) -> None:
    """Limit the size of received messages, since the library reads messages of up to 4 GB into memory."""
    receive = stream._stream.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise ValueError(f"the message has {size} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
        return await receive(size)

    stream._stream.recv_data = receive_limited


def _key_of(kv: object) -> str:
    return kv.key.decode(errors="replace")


def _read_event(event: object) -> KeyValueEvent:
    value = None if event.type == messages.DELETE else event.kv.value
    return KeyValueEvent(_key_of(event.kv), event.kv.mod_revision, value)
