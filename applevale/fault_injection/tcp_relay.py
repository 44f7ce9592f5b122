"""A TCP relay in front of one server. A pluggable behavior decides what happens to connections and data."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import Protocol

from ..net.addresses import Address

BACKLOG = 1024
LOOPBACK = "127.0.0.1"


class RelayStream(ABC):
    """One direction of a relayed connection; subclasses decide which data is forwarded, and when.

    Attributes:
        reader: The sender's transport; None until it is connected.
        writer: The receiver's transport; None until it is connected.
        is_writing_paused: Whether the receiver's buffer is full; subclasses decide how to react.
    """

    def __init__(self) -> None:
        """Create a stream without transports; the relay sets them."""
        self.reader: asyncio.Transport | None = None
        self.writer: asyncio.Transport | None = None
        self.is_writing_paused = False

    @property
    def can_write(self) -> bool:
        """Whether the receiver's connection is open."""
        return self.writer is not None and not self.writer.is_closing()

    @abstractmethod
    def put(self, data: bytes) -> None:
        """Accept data from the sender."""

    @abstractmethod
    def flush(self) -> None:
        """Write the data that may be forwarded now; called when the receiver is connected."""

    @abstractmethod
    def end(self) -> None:
        """Record that the sender has closed its side."""

    @abstractmethod
    def on_sender_lost(self) -> None:
        """Handle the loss of the sender's connection while the receiver's is open."""

    @abstractmethod
    def cancel_timer(self) -> None:
        """Cancel the next flush, if one is scheduled."""

    def pause_writing(self) -> None:
        """Record that the receiver's buffer is full."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Record that the receiver's buffer has room again."""
        self.is_writing_paused = False


class RelayBehavior(Protocol):
    """Decides how a relay treats its callers and their data."""

    def accepts(self, caller: Address) -> bool:
        """Return whether to serve a caller at this address; if not, its connection is aborted."""
        ...

    async def wait_until_connectable(self, caller: Address) -> None:
        """Return once the relay may connect to the server for this caller."""
        ...

    def create_request_stream(self, connection: RelayConnection) -> RelayStream:
        """Return the stream from the caller to the server."""
        ...

    def create_answer_stream(self, connection: RelayConnection) -> RelayStream:
        """Return the stream from the server to the caller."""
        ...


class _Endpoint(asyncio.Protocol):
    """One of the two TCP connections of a relayed connection.

    Attributes:
        incoming: The stream of data read from this connection; None if the caller is not served.
        outgoing: The stream of data written to this connection; None if the caller is not served.
    """

    def __init__(self, connection: RelayConnection):
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.incoming: RelayStream | None = None
        self.outgoing: RelayStream | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.connection.on_connected(self)

    def data_received(self, data: bytes) -> None:
        if self.incoming is not None:
            self.incoming.put(data)

    def eof_received(self) -> bool:
        if self.incoming is not None:
            self.incoming.end()
        return True

    def pause_writing(self) -> None:
        if self.outgoing is not None:
            self.outgoing.pause_writing()

    def resume_writing(self) -> None:
        if self.outgoing is not None:
            self.outgoing.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        self.connection.on_disconnected(self)


class RelayConnection:
    """A caller's connection and the corresponding connection to the server.

    Attributes:
        caller_address: The local address that the caller bound.
        requests: The stream from the caller; None if the caller is not served.
        answers: The stream to the caller; None if the caller is not served.
    """

    def __init__(self, relay: TcpRelay):
        """Create a connection of `relay` that waits for its caller."""
        self.relay = relay
        self.caller_address: Address = ("", 0)
        self.caller = _Endpoint(self)
        self.server = _Endpoint(self)
        self.requests: RelayStream | None = None
        self.answers: RelayStream | None = None
        self.connect_task: asyncio.Task | None = None

    @property
    def is_established(self) -> bool:
        """Whether the server has been connected to."""
        return self.server.transport is not None

    def on_connected(self, endpoint: _Endpoint) -> None:
        """Connect to the server for a new caller, or start to forward data once the server is connected."""
        if endpoint is self.caller:
            self._on_caller_connected()
            return
        self.answers.reader = endpoint.transport
        self.requests.writer = endpoint.transport
        self.requests.flush()

    def _on_caller_connected(self) -> None:
        transport = self.caller.transport
        self.caller_address = transport.get_extra_info("peername")[:2]
        behavior = self.relay.behavior
        if not behavior.accepts(self.caller_address):
            transport.abort()
            return
        self.relay.connections[self] = None
        self.requests = behavior.create_request_stream(self)
        self.requests.reader = transport
        self.caller.incoming = self.requests
        self.server.outgoing = self.requests
        self.answers = behavior.create_answer_stream(self)
        self.answers.writer = transport
        self.server.incoming = self.answers
        self.caller.outgoing = self.answers
        self.connect_task = self.relay.loop.create_task(self._connect())

    async def _connect(self) -> None:
        relay = self.relay
        host = self.caller_address[0]
        local_address = (host, 0) if host != LOOPBACK else None
        try:
            await relay.behavior.wait_until_connectable(self.caller_address)
            await relay.loop.create_connection(lambda: self.server, *relay.target, local_addr=local_address)
        except OSError:
            self.abort()

    def on_disconnected(self, endpoint: _Endpoint) -> None:
        """Pass the end of one connection on to the other."""
        stream = endpoint.incoming
        if stream is None:
            return
        stream.cancel_timer()
        if stream.can_write:
            stream.on_sender_lost()
        else:
            self.relay.connections.pop(self, None)
        if endpoint is self.caller and not self.is_established:
            self.abort()

    def abort(self) -> None:
        """Abort both connections."""
        if self.connect_task is not None and self.connect_task is not asyncio.current_task():
            self.connect_task.cancel()
        for endpoint in (self.caller, self.server):
            if endpoint.transport is not None:
                endpoint.incoming.cancel_timer()
                endpoint.transport.abort()
        self.relay.connections.pop(self, None)


class TcpRelay:
    """Listens on loopback in front of one server and connects to it for each caller.

    The server sees the caller's own local address, unless that is 127.0.0.1.

    Attributes:
        address: The address at which the relay listens, once started.
        connections: The open connections as keys, in order of arrival.
    """

    def __init__(self, target: Address, behavior: RelayBehavior):
        """Create a relay to the server at `target`; `start` lets it listen."""
        self.target = target
        self.behavior = behavior
        self.address: Address = (LOOPBACK, 0)
        self.connections: dict[RelayConnection, None] = {}
        self.loop: asyncio.AbstractEventLoop | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen and set `address` to the port in use."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(self._accept, *self.address, backlog=BACKLOG)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _accept(self) -> _Endpoint:
        return RelayConnection(self).caller

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        self.server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)


class RelayProxy:
    """Base class of proxies that own a relay and are its behavior."""

    def __init__(self, target: Address):
        """Create a proxy to the server at `target`; `start` lets it listen."""
        self._relay = TcpRelay(target, self)

    @property
    def address(self) -> Address:
        """The address at which the proxy listens, once started."""
        return self._relay.address

    async def start(self) -> None:
        """Start to listen and set `address` to the port in use."""
        await self._relay.start()

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        await self._relay.stop()
