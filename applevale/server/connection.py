"""The connection of one client, independent of the messages on it.

One task reads and closes each connection. An error on a connection ends that connection and no other.
"""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgpack

from ..dispatch.arrival_order import ArrivalSource
from ..net.socket_status import SocketStatus, wait_until_readable
from ..net.write_queue import WriteQueue
from ..observability.events import log_event
from ..requests.model import Request
from .context import ServerContext
from .message_scanner import MAX_MESSAGE_BYTES
from .rpc import RECEIVE_BUFFER_BYTES, MessageDecoder
from .turn_scheduler import TurnResult

# A connection whose client reads nothing for this long is closed. No client waits longer for a response.
WRITE_STALL_TIMEOUT_SECONDS = 30.0

# Time in which a client must complete a message. It begins with the accept of the connection for the first
# message, and with the first byte for each further one. A client that is owed a response has as long as that
# takes; its open calls end by their deadlines, and it cannot start others before the message is complete.
MESSAGE_TIMEOUT_SECONDS = 2.0

# How long a connection stays open after an error, so that the client can read the last responses.
LINGER_TIMEOUT_SECONDS = 0.5

# Work of one turn of a connection. A client that keeps to the limit of 32 open calls has at most 32 requests
# and their cancellations unread, so that all its input is handled in one turn.
MAX_MESSAGES_PER_TURN = 64
MAX_BYTES_PER_TURN = 64 * 1024
# The first turn of a connection is shorter: enough for the first requests of a usual client, and little of a
# flood, so that a new client waits but shortly for any number of others that are as new.
MAX_MESSAGES_OF_FIRST_TURN = 8
FIRST_TURN_READ_BYTES = 1024  # bytes of one read

# Reading pauses after an invalid request. Each further one lengthens the pause by the minimum.
MIN_ERROR_BACKOFF_SECONDS = 0.05
MAX_ERROR_BACKOFF_SECONDS = 1.0


@dataclass(slots=True)
class OpenCall:
    """A call that has no response yet, with the task that handles it."""

    task: asyncio.Task
    request: Request


class ClientConnection(ABC):
    """Reads messages from a socket, queues responses, and closes the socket. Subclasses handle messages.

    Attributes:
        sock: The connected socket.
        arrival_source: The socket, to determine the order of arrivals.
        write_queue: Responses that wait to be written.
        calls: Calls that have no response yet, by message id.
        incomplete_bytes: Number of received bytes that belong to an incomplete message.
        invalid_requests: Number of invalid requests so far.
    """

    def __init__(self, context: ServerContext, sock: socket.socket, earliest_arrival: float):
        """Create a connection for an accepted socket; `run` serves it.

        Args:
            context: The objects that all connections of the server share.
            sock: The accepted socket.
            earliest_arrival: Earliest time, by the driver's clock, at which data can have arrived.
        """
        self.sock = sock
        self.arrival_source = ArrivalSource(earliest_arrival)
        self.write_queue = WriteQueue(sock, WRITE_STALL_TIMEOUT_SECONDS, self.stop)
        self.calls: dict[int, OpenCall] = {}
        self.incomplete_bytes = 0
        self.invalid_requests = 0
        self._earliest_arrival = earliest_arrival  # earliest arrival time of the bytes that were read last
        self._readable_since = earliest_arrival  # when the input of the present turn was found
        self._context = context
        self._table = context.connections
        self._turns = context.turns
        self._driver = context.driver
        self._counters = context.counters
        self._decoder = MessageDecoder()
        self._message_count = 0
        self._has_had_turn = False
        self._is_message_overdue = False
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._status = SocketStatus(sock)

    @abstractmethod
    def handle_message(self, message: object, received_at: float) -> None:
        """Handle a decoded message.

        Args:
            message: Any MessagePack value.
            received_at: When its last bytes were found at the socket, by the driver's clock.

        Raises:
            ValueError: The message violates the protocol. The connection is closed.
        """

    @abstractmethod
    def abandon_responses(self) -> None:
        """Release what waits for the delivery of responses that were not written before the close."""

    @property
    def is_busy(self) -> bool:
        """Whether a call has no response yet, or a response is still being written."""
        return bool(self.calls or self.write_queue.pending_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of unwritten responses, incomplete messages and the statements of open calls."""
        statement_bytes = sum(len(call.request.statement) for call in self.calls.values())
        return self.write_queue.pending_bytes + self.incomplete_bytes + statement_bytes

    def has_pending_input(self) -> bool:
        """Return whether the client has begun to send a message that is not handled yet.

        Closing the connection now would drop a request that then never gets a response.
        """
        return bool(self.incomplete_bytes) or self._status.has_events()

    def is_unused(self) -> bool:
        """Return whether no request is lost if the connection, on which no call is open, is closed."""
        return not self.has_pending_input() or self.is_client_gone()

    @property
    def is_misused(self) -> bool:
        """Whether the client has sent invalid requests."""
        return self.invalid_requests > 0

    def is_client_gone(self) -> bool:
        """Return whether the client has hung up, even if the end of the stream has not been read yet.

        It stays unread while the event loop is late and during an error backoff.
        """
        return self._status.is_hung_up()

    def error_backoff(self) -> float:
        """Return the pause in seconds before the connection is read again after an invalid request.

        The pause stays short while calls are open, so that a hang-up of their client is noticed soon.
        """
        maximum = MIN_ERROR_BACKOFF_SECONDS if self.calls else MAX_ERROR_BACKOFF_SECONDS
        return min(MIN_ERROR_BACKOFF_SECONDS * self.invalid_requests, maximum)

    def stop(self, reason: str) -> None:
        """Close the connection at once and cancel its open calls; an empty reason is not logged."""
        if reason:
            log_event("client", reason)
        self._table.release_bytes(self.write_queue.discard())
        self._set_incomplete_bytes(0)
        task = self._table.detach(self)
        if task is not None:
            task.cancel()

    async def run(self) -> None:
        """Read and handle messages until the connection ends, then close it."""
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
        """Read and handle messages in turns until the end of the stream."""
        loop = asyncio.get_running_loop()
        message_deadline: float | None = loop.time() + MESSAGE_TIMEOUT_SECONDS
        result = TurnResult.EMPTIED
        while result is not TurnResult.END_OF_STREAM:
            is_backlogged = result is TurnResult.BACKLOGGED
            if not is_backlogged:
                await self._wait_for_input(message_deadline)
            self._readable_since = self._driver.now()
            messages_before = self._message_count
            result = await self._turns.take_turn(self._read_turn, is_backlogged=is_backlogged)
            if self._message_count > messages_before:
                message_deadline = None
            if self.incomplete_bytes and message_deadline is None:
                message_deadline = loop.time() + MESSAGE_TIMEOUT_SECONDS
            if self.invalid_requests:
                await asyncio.sleep(self.error_backoff())

    async def _wait_for_input(self, message_deadline: float | None) -> None:
        """Wait until the socket is readable, at most until `message_deadline` (s, the event loop's clock)."""
        wait_started_at = self._driver.now()
        loop = asyncio.get_running_loop()
        if message_deadline is not None:
            self._overdue_timer = loop.call_at(
                message_deadline, self._on_message_overdue, asyncio.current_task()
            )
        try:
            await wait_until_readable(self.sock)
        finally:
            if self._overdue_timer is not None:
                self._overdue_timer.cancel()
                self._overdue_timer = None
        self._earliest_arrival = self.arrival_source.earliest_arrival(
            wait_started_at, self._driver.stall_monitor.arrival_order.polled_at
        )

    def _read_turn(self) -> TurnResult:
        """Read and handle messages until there are none left or the work of one turn is done.

        Nothing is handled for a client that has hung up, since no response is owed to it.

        Raises:
            OSError: The connection was reset.
            ValueError: A message violates the protocol or exceeds a limit.
            msgpack.exceptions.UnpackException: The bytes are not MessagePack.
        """
        if self.is_client_gone():
            return TurnResult.END_OF_STREAM
        is_first = not self._has_had_turn
        self._has_had_turn = True
        read_bytes = FIRST_TURN_READ_BYTES if is_first else RECEIVE_BUFFER_BYTES
        max_messages = MAX_MESSAGES_OF_FIRST_TURN if is_first else MAX_MESSAGES_PER_TURN
        last_message_of_turn = self._message_count + max_messages
        for _ in range(MAX_BYTES_PER_TURN // read_bytes):
            read_at = self._driver.now()
            try:
                data = self.sock.recv(read_bytes)
            except BlockingIOError:
                data = None
            if data == b"" or self.write_queue.closed:
                return TurnResult.END_OF_STREAM
            if data:
                self._handle_received(data)
            if data is None or len(data) < read_bytes:
                self.arrival_source.record_emptied(read_at)
                return TurnResult.EMPTIED
            if self._message_count >= last_message_of_turn:
                break
        return TurnResult.BACKLOGGED

    def _handle_received(self, data: bytes) -> None:
        """Handle the messages that more bytes complete.

        Raises:
            ValueError: A message violates the protocol or exceeds a limit.
            msgpack.exceptions.UnpackException: The bytes are not MessagePack.
        """
        messages_before = self._message_count
        for message in self._decoder.decode(data):
            self._message_count += 1
            self.handle_message(message, self._readable_since)
        if self._message_count > messages_before:
            self._table.update_idle(self)
        if not self.write_queue.closed:
            self._set_incomplete_bytes(self._decoder.incomplete_bytes)

    def _set_incomplete_bytes(self, size: int) -> None:
        """Set `incomplete_bytes`, then let the table count the change; it may close the connection."""
        change = size - self.incomplete_bytes
        self.incomplete_bytes = size
        if change > 0:
            self._table.add_bytes(change)
        else:
            self._table.release_bytes(-change)

    def _on_message_overdue(self, reader: asyncio.Task) -> None:
        """Cancel the reader of a connection whose client has not completed a message in time.

        Data that arrived in this loop iteration, or while the loop was late, is read first instead. While a
        response is owed, the connection stays open, and the message is checked again later.
        """
        if self._status.has_events():
            return
        if self.is_busy:
            loop = asyncio.get_running_loop()
            self._overdue_timer = loop.call_later(MESSAGE_TIMEOUT_SECONDS, self._on_message_overdue, reader)
            return
        self._is_message_overdue = True
        reader.cancel()

    async def _linger(self) -> None:
        """Write the queued responses, then wait briefly for the client to read them and hang up.

        The kernel resets a connection that is closed with unread bytes, and a reset can destroy responses
        that the client has not read yet.
        """
        self._cancel_calls()
        loop = asyncio.get_running_loop()
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_SECONDS):
                await self.write_queue.flush()
                self.sock.shutdown(socket.SHUT_WR)
                if not self.write_queue.completed_writes:
                    return
                # A client that keeps sending beyond one message is reset.
                for _ in range(MAX_MESSAGE_BYTES // RECEIVE_BUFFER_BYTES):
                    if not await loop.sock_recv_into(self.sock, buffer):
                        break
        except (OSError, TimeoutError):
            pass

    def _cancel_calls(self) -> None:
        """Cancel all calls, whose responses can no longer reach the client."""
        for call in self.calls.values():
            call.task.cancel()

    async def _close(self) -> None:
        self._cancel_calls()
        try:
            await self.write_queue.close()
        finally:
            self._table.release_bytes(self.write_queue.discard())
            self._set_incomplete_bytes(0)
            self.sock.close()
            self.abandon_responses()
            self._table.remove(self)
