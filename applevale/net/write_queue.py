"""Writes messages to one socket, in order; knows of each whether it was begun."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

AT_ONCE = 64  # messages joined into one write


@dataclass
class Message:
    data: bytes
    written: Callable[[], None] | None = None  # called once the system has all of it
    begun: bool = False  # some of it may have left


class Outbox:
    def __init__(self, sock: socket.socket, stall: float, broken: Callable[[str], None]):
        self.sock, self.stall, self.broken = sock, stall, broken
        self.queue: deque[Message] = deque()
        self.size = 0  # bytes not yet written
        self.writes = 0  # that the system has taken whole
        self.task: asyncio.Task | None = None
        self.closed = False

    def put(self, data: bytes, written: Callable[[], None] | None = None) -> Message:
        message = Message(data, written)
        if not self.closed:
            self.queue.append(message)
            self.size += len(data)
            if self.task is None:
                self.task = asyncio.create_task(self._drain())
        return message

    def withdraw(self, message: Message) -> bool:
        """Takes back a message of which nothing was written."""
        if message.begun or message not in self.queue:
            return False
        self.queue.remove(message)
        self.size -= len(message.data)
        return True

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.queue:
                batch = [self.queue.popleft() for _ in range(min(AT_ONCE, len(self.queue)))]
                for message in batch:
                    message.begun = True
                async with asyncio.timeout(self.stall):
                    await loop.sock_sendall(self.sock, b"".join(message.data for message in batch))
                self.writes += 1
                for message in batch:
                    self.size -= len(message.data)
                    if message.written:
                        message.written()
        except (OSError, TimeoutError) as error:
            self.closed = True
            self.broken(f"write: {type(error).__name__}")
        finally:
            self.task = None

    def drop(self) -> int:
        """Gives up what is not yet written; returns how much that is."""
        self.closed = True
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
        size, self.size = self.size, 0
        self.queue.clear()
        return size

    async def flush(self) -> None:
        """Waits until all of it is written, or the connection is broken."""
        if self.task is not None:
            await asyncio.wait([self.task])

    async def close(self) -> None:
        """Ends a write under way, so that the socket can be closed."""
        self.closed = True
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
            await asyncio.wait([self.task])
        # These lead back to whose it is: a cycle would hold all of a connection until the collector comes.
        self.queue.clear()
        self.broken = lambda why: None
