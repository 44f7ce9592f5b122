"""A client's connection: one task reads and owns it; whatever goes wrong on it ends with it."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgpack

from ..dispatch.arrival_order import Source
from ..dispatch.event_loop_driver import EventLoopDriver
from ..net.socket_status import SocketStatus
from ..net.write_queue import WriteQueue
from ..observability.counters import Counters
from ..observability.events import log_event
from ..requests.model import Request
from .connection_table import ConnectionTable
from .rpc import MAX_MESSAGE_BYTES, RECEIVE_BUFFER_BYTES, MalformedMessageError, MessageDecoder

WRITE_STALL_TIMEOUT_SECONDS = 30.0  # no client waits longer for a response
# For the first message of a connection, and for each further one from its first byte on.
MESSAGE_TIMEOUT_SECONDS = 2.0
LINGER_TIMEOUT_SECONDS = 0.5  # for a client to read the last responses before its connection is closed
# For each invalid request, a pause before the connection is read again.
MIN_ERROR_BACKOFF_SECONDS = 0.05
MAX_ERROR_BACKOFF_SECONDS = 1.0


@dataclass(slots=True)
class OpenCall:
    """A call without a response: its request, and the task that handles it."""

    task: asyncio.Task
    request: Request


class ClientConnection(ABC):
    """Reads messages from a socket, writes to it, and closes it; a subclass handles the messages.

    Attributes:
        sock: The connected socket.
        source: The socket as a source of requests whose order matters.
        write_queue: What is to be written.
        calls: Calls without a response, by their message ids.
        unread_bytes: Bytes of an incomplete message.
        invalid_requests: Number of invalid requests so far.
    """

    def __init__(
        self,
        sock: socket.socket,
        arrived_since: float,
        table: ConnectionTable,
        driver: EventLoopDriver,
        counters: Counters,
    ):
        """Create a connection for an accepted socket; `run` serves it.

        Args:
            sock: The accepted socket.
            arrived_since: Nothing can have arrived before this time, by the driver's clock.
            table: All connections of the server.
            driver: Has the clock, and the order of arrivals.
            counters: Counts how connections end.
        """
        self.sock = sock
        self.source = Source(arrived_since)
        self.write_queue = WriteQueue(sock, WRITE_STALL_TIMEOUT_SECONDS, self.stop)
        self.calls: dict[int, OpenCall] = {}
        self.unread_bytes = 0
        self.invalid_requests = 0
        self._arrived_since = arrived_since  # what was read last cannot have arrived before
        self._table = table
        self._driver = driver
        self._counters = counters
        self._decoder = MessageDecoder()
        self._is_message_overdue = False
        self._status = SocketStatus(sock)

    @abstractmethod
    def handle_message(self, message: object, received_at: float) -> None:
        """Handle a decoded message.

        Raises:
            ValueError: The message violates the protocol, which ends the connection.
        """

    @abstractmethod
    def abandon_responses(self) -> None:
        """Note that responses which are not written yet will reach no one."""

    @property
    def is_busy(self) -> bool:
        """Whether a call is open, or a response is not yet written."""
        return bool(self.calls or self.write_queue.pending_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Bytes held for the connection that its client could take or complete."""
        return self.write_queue.pending_bytes + self.unread_bytes

    def has_pending_input(self) -> bool:
        """Return whether the client has begun a message that is not handled yet.

        Closed then, the connection would take a request with it that never gets a response.
        """
        return bool(self.unread_bytes or self._decoder.buffer[0]) or self._status.has_events()

    def is_client_gone(self) -> bool:
        """Return whether the client has hung up, even if that is not read yet.

        The end of a connection may be unread while the event loop is late, or during an error backoff.
        """
        return self._status.is_hung_up()

    def error_backoff(self) -> float:
        """Return the seconds for which nothing is read after invalid requests.

        With open calls it is short, so that it is noticed soon when their client hangs up.
        """
        maximum = MIN_ERROR_BACKOFF_SECONDS if self.calls else MAX_ERROR_BACKOFF_SECONDS
        return min(MIN_ERROR_BACKOFF_SECONDS * self.invalid_requests, maximum)

    def stop(self, reason: str) -> None:
        """Close the connection at once, with its open calls; an empty reason is not logged."""
        if reason:
            log_event("client", reason)
        self._table.release_bytes(self.write_queue.discard() + self.unread_bytes)
        self.unread_bytes = 0
        task = self._table.detach(self)
        if task is not None:
            task.cancel()

    async def run(self) -> None:
        """Read and handle messages until the connection ends, and close it."""
        try:
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._read_messages()
        except asyncio.CancelledError:
            if not self._is_message_overdue:
                raise
            asyncio.current_task().uncancel()
            self._counters["unfinished_messages"] += 1
            await self._linger()
        except OSError:
            self._counters["connections_reset"] += 1
        except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
            self._counters["bad_messages"] += 1
            log_event("client", f"{type(error).__name__}: {str(error)[:80]}")
            await self._linger()
        finally:
            await self._close()

    async def _read_messages(self) -> None:
        loop = asyncio.get_running_loop()
        buffer = self._decoder.buffer
        message_deadline = loop.time() + MESSAGE_TIMEOUT_SECONDS
        while True:
            read_started_at = self._driver.now()
            timer = None
            if message_deadline is not None:
                timer = loop.call_at(message_deadline, self._on_message_overdue, asyncio.current_task())
            try:
                size = await loop.sock_recv_into(self.sock, buffer)
            finally:
                if timer is not None:
                    timer.cancel()
            if not size:
                return
            if self._handle_received(size, read_started_at):
                message_deadline = None
            if self.unread_bytes and message_deadline is None:
                message_deadline = loop.time() + MESSAGE_TIMEOUT_SECONDS
            if self.invalid_requests:
                await asyncio.sleep(self.error_backoff())

    def _handle_received(self, size: int, read_started_at: float) -> bool:
        """Handle the messages that are complete with `size` received bytes; return whether there is one.

        Raises:
            MalformedMessageError: The incomplete message is too long.
        """
        received_at = self._driver.now()
        is_drained = size < RECEIVE_BUFFER_BYTES
        self._arrived_since = self.source.record_read(
            read_started_at, self._driver.stall_monitor.arrival_order.polled_at, is_drained
        )
        is_any_complete = False
        for message in self._decoder.decode(size):
            is_any_complete = True
            self.handle_message(message, received_at)
        if is_any_complete:
            self._table.mark_idle(self)
        incomplete_bytes = self._decoder.incomplete_bytes
        self._table.add_bytes(incomplete_bytes - self.unread_bytes)
        self.unread_bytes = incomplete_bytes
        if incomplete_bytes > MAX_MESSAGE_BYTES:  # nested arrays, which no other limit counts
            raise MalformedMessageError("the message is too long")
        return is_any_complete

    def _on_message_overdue(self, reader: asyncio.Task) -> None:
        """End a connection whose client sends nothing, or does not complete a message.

        If the rest has arrived in this iteration, or while the event loop was late, it is read first.
        """
        if not (self._decoder.buffer[0] or self._status.has_events()):
            self._is_message_overdue = True
            reader.cancel()

    async def _linger(self) -> None:
        """Write what is left, and wait a little for the client to read it and to hang up.

        A connection that is closed with bytes unread is reset, which can take a response with it.
        """
        self._cancel_calls()
        loop = asyncio.get_running_loop()
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_SECONDS):
                await self.write_queue.flush()
                self.sock.shutdown(socket.SHUT_WR)
                for _ in range(MAX_MESSAGE_BYTES // RECEIVE_BUFFER_BYTES):  # a client that floods is reset
                    if not await loop.sock_recv_into(self.sock, buffer):
                        break
        except (OSError, TimeoutError):
            pass

    def _cancel_calls(self) -> None:
        """Cancel all calls: the client has hung up, or can get no response."""
        for call in self.calls.values():
            call.task.cancel()

    async def _close(self) -> None:
        self._cancel_calls()
        try:
            await self.write_queue.close()
        finally:
            self._table.release_bytes(self.buffered_bytes)
            self.sock.close()
            self.abandon_responses()
            self._table.remove(self)
