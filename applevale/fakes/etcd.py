"""A fake etcd member: Range, Watch and Authenticate over gRPC, from a store that members may share."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from ..discovery.registry import messages
from .etcd_watch import WatchStream, key_value
from .key_value_store import CompactedError, KeyValueStore
from .service_capacity import ServiceCapacity


@dataclass
class ReadRecord:
    """A read as the member observed it. Times are in seconds of the monotonic clock.

    Attributes:
        began_at: When the read arrived.
        caller: The caller's address, as IP:PORT.
        is_full: Whether the read asked for the keys and values instead of only their number.
        ended_at: When the read was answered, rejected or aborted.
        is_answered: Whether the read was answered.
    """

    began_at: float
    caller: str
    is_full: bool
    ended_at: float = 0.0
    is_answered: bool = False


class _Server(Server):
    """A gRPC server that tracks its connections and serves none that is established after `close`."""

    def __init__(self, handlers: list, member: Member):
        super().__init__(handlers)
        self.member = member
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True
        super().close()

    def _protocol_factory(self) -> asyncio.Protocol:
        protocol = super()._protocol_factory()
        member = self.member
        grpc_connection_made = protocol.connection_made
        grpc_connection_lost = protocol.connection_lost
        transports = []

        def connection_made(transport: asyncio.Transport) -> None:
            # The event loop may have accepted this connection before `close` and report it only now.
            # `Member.stop` did not know of it and could not abort it; without this check it would be served.
            if self.is_closed:
                transport.abort()
                return
            host, port = transport.get_extra_info("peername")[:2]
            transports.append(transport)
            member.connections[transport] = f"{host}:{port}"
            member.on_session_change(member.connections[transport], True)
            grpc_connection_made(transport)

        def connection_lost(error: Exception | None) -> None:
            if not transports:
                return
            caller = member.connections.pop(transports[0], "")
            member.on_session_change(caller, False)
            grpc_connection_lost(error)

        protocol.connection_made = connection_made
        protocol.connection_lost = connection_lost
        return protocol


class Member:
    """One member of the cluster, with faults that tests can switch on.

    Attributes:
        stale_store: Frozen copy of the store to answer from instead of the shared one; None for no fault.
        rejects_credentials: Whether all credentials are rejected.
        silences_watches: Whether watches send nothing while reads are still answered.
        duplicates_events: Whether each event is sent twice.
        full_read_delay: Delay of a full read, in seconds.
        read_delay: Delay of every read, added to that of full reads, in seconds.
        capacity: Capacity of the service; several members may share one.
        on_read: Called with each read when it has ended.
        on_session_change: Called with the caller's address and True when a connection opens, False when it
            closes.
        connections: The caller's address of each open connection.
    """

    def __init__(
        self,
        store: KeyValueStore,
        users: dict[str, str] | None = None,
        capacity: ServiceCapacity | None = None,
    ):
        """Create a member that will listen on a free port.

        Args:
            store: The keys to serve.
            users: Token of each user; without users, calls need no token.
            capacity: Capacity of the service; unlimited by default.
        """
        self.store = store
        self.users = users or {}
        self.stale_store: KeyValueStore | None = None
        self.rejects_credentials = False
        self.silences_watches = False
        self.duplicates_events = False
        self.full_read_delay = 0.0
        self.read_delay = 0.0
        self.read_count = 0
        self.watch_count = 0
        self.capacity = capacity or ServiceCapacity()
        self.on_read: Callable[[ReadRecord], None] = lambda read: None
        self.on_session_change: Callable[[str, bool], None] = lambda caller, is_open: None
        self.connections: dict[asyncio.Transport, str] = {}
        self.server: Server | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def visible_store(self) -> KeyValueStore:
        """The store that reads and watches are answered from."""
        return self.stale_store or self.store

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        """Start to listen and set `address` to the port in use."""
        self.server = _Server([self], member=self)
        await self.server.start(*self.address, ssl=tls)
        self.address = self.server._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections; no call is answered after this returns."""
        self.server.close()
        self.abort_connections()
        await self.server.wait_closed()

    def abort_connections(self) -> None:
        """Abort all connections; the listener stays open."""
        for transport in list(self.connections):
            transport.abort()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler of each call, as grpclib requires."""
        return {
            messages.RANGE: Handler(
                self._range, Cardinality.UNARY_UNARY, messages.RangeRequest, messages.RangeResponse
            ),
            messages.WATCH: Handler(
                self._watch, Cardinality.STREAM_STREAM, messages.WatchRequest, messages.WatchResponse
            ),
            messages.AUTHENTICATE: Handler(
                self._authenticate,
                Cardinality.UNARY_UNARY,
                messages.AuthenticateRequest,
                messages.AuthenticateResponse,
            ),
        }

    def header(self) -> object:
        """Return a response header with the current revision."""
        revision = self.visible_store.revision
        return messages.ResponseHeader(cluster_id=self.store.cluster_id, member_id=1, revision=revision)

    def _check_token(self, stream: Stream) -> None:
        has_token = not self.users or stream.metadata.get("token") in self.users.values()
        if self.rejects_credentials or not has_token:
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")

    async def _authenticate(self, stream: Stream) -> None:
        request = await stream.recv_message()
        is_known = request.name in self.users and request.password == f"pw-{request.name}"
        if self.rejects_credentials or not is_known:
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: authentication failed")
        token = self.users[request.name]
        await stream.send_message(messages.AuthenticateResponse(header=self.header(), token=token))

    async def _range(self, stream: Stream) -> None:
        request = await stream.recv_message()
        self._check_token(stream)
        self.read_count += 1
        host, port = stream.peer.addr()[:2]
        read = ReadRecord(time.monotonic(), f"{host}:{port}", not request.count_only)
        try:
            await self._serve_read(stream, request, read)
        finally:
            read.ended_at = time.monotonic()
            self.on_read(read)

    async def _serve_read(self, stream: Stream, request: object, read: ReadRecord) -> None:
        delay = self.capacity.reserve(time.monotonic())
        if delay is None:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        delay += self.read_delay + (self.full_read_delay if read.is_full else 0.0)
        if delay:
            await asyncio.sleep(delay)
        try:
            versions = self.visible_store.read_range(request.key, request.range_end, request.revision)
        except CompactedError:
            raise GRPCError(
                Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"
            ) from None
        answer = messages.RangeResponse(header=self.header(), count=len(versions))
        if not request.count_only:
            page = versions[: request.limit or len(versions)]
            answer.more = len(page) < len(versions)
            answer.kvs.extend(key_value(version) for version in page)
        await stream.send_message(answer)
        read.is_answered = True

    async def _watch(self, stream: Stream) -> None:
        request = await stream.recv_message()
        self._check_token(stream)
        self.watch_count += 1
        await WatchStream(self, stream, request.create_request).serve()
