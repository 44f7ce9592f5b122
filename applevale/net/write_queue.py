"""An ordered write queue for one non-blocking socket."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MAX_MESSAGES_PER_WRITE = 64  # messages that are joined into one write


@dataclass
class QueuedMessage:
    """A message in a write queue.

    Attributes:
        data: The bytes to write.
        on_written: Called when the kernel has accepted the whole message.
        write_started: Whether a part of the message may have been sent.
    """

    data: bytes
    on_written: Callable[[], None] | None = None
    write_started: bool = False


def _ignore_failure(reason: str) -> None:
    """Do nothing; the failure callback of a closed queue."""


class WriteQueue:
    """Writes messages to one socket in the order in which they are queued.

    A task runs while messages are queued, and joins several of them into each write.

    Attributes:
        pending_bytes: Number of bytes that are queued and not written yet.
        completed_writes: Number of writes that the kernel has accepted completely.
        closed: Whether the queue accepts no further messages.
    """

    def __init__(self, sock: socket.socket, stall_timeout: float, on_failure: Callable[[str], None]):
        """Create an empty queue.

        Args:
            sock: A connected non-blocking socket; the caller closes it.
            stall_timeout: Timeout of a write in seconds, for a peer that does not read.
            on_failure: Called with the reason if a write fails.
        """
        self._sock = sock
        self._stall_timeout = stall_timeout
        self._on_failure = on_failure
        self._messages: deque[QueuedMessage] = deque()
        self._task: asyncio.Task | None = None
        self.pending_bytes = 0
        self.completed_writes = 0
        self.closed = False

    def put(self, data: bytes, on_written: Callable[[], None] | None = None) -> QueuedMessage:
        """Queue a message; a closed queue drops it.

        Args:
            data: The bytes to write.
            on_written: Called when the kernel has accepted the whole message.

        Returns:
            The queued message, for `withdraw`.
        """
        message = QueuedMessage(data, on_written)
        if not self.closed:
            self._messages.append(message)
            self.pending_bytes += len(data)
            if self._task is None:
                self._task = asyncio.create_task(self._write_messages())
        return message

    def withdraw(self, message: QueuedMessage) -> bool:
        """Remove a message whose write has not started; return whether it was removed."""
        if message.write_started or message not in self._messages:
            return False
        self._messages.remove(message)
        self.pending_bytes -= len(message.data)
        return True

    async def _write_messages(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._messages:
                batch = self._next_batch()
                async with asyncio.timeout(self._stall_timeout):
                    await loop.sock_sendall(self._sock, b"".join(message.data for message in batch))
                self.completed_writes += 1
                for message in batch:
                    self.pending_bytes -= len(message.data)
                    if message.on_written:
                        message.on_written()
        except (OSError, TimeoutError) as error:
            self.closed = True
            self._on_failure(f"write failed: {type(error).__name__}")
        finally:
            self._task = None

    def _next_batch(self) -> list[QueuedMessage]:
        count = min(MAX_MESSAGES_PER_WRITE, len(self._messages))
        batch = [self._messages.popleft() for _ in range(count)]
        for message in batch:
            message.write_started = True
        return batch

    def discard(self) -> int:
        """Close the queue and drop all messages that are not written yet.

        Returns:
            The number of bytes dropped.
        """
        self.closed = True
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()
        discarded_bytes = self.pending_bytes
        self.pending_bytes = 0
        self._messages.clear()
        return discarded_bytes

    async def flush(self) -> None:
        """Wait until all messages are written or a write has failed."""
        if self._task is not None:
            await asyncio.wait([self._task])

    async def close(self) -> None:
        """Close the queue and cancel the write in progress, so that the socket can be closed."""
        self.closed = True
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()
            await asyncio.wait([self._task])
        # The callbacks refer to the owner of the queue. Such a reference cycle would keep the memory of the
        # connection until the garbage collector runs.
        self._messages.clear()
        self._on_failure = _ignore_failure
