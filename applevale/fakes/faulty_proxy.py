"""A TCP proxy in front of a fake server that can behave as broken networks do."""

from __future__ import annotations

import asyncio
from enum import Enum
from random import Random

READ_SIZE_BYTES = 65536


class ProxyMode(Enum):
    """What the proxy does with connections and bytes."""

    PASS = "pass"
    REFUSE = "refuse"  # accept no connection
    STALL = "stall"  # keep all connections open, and pass nothing
    HALF = "half"  # cut the next answer off in its middle; then pass again
    GARBAGE = "garbage"  # replace the next answer by random bytes; then pass again


class FaultyProxy:
    """A proxy on loopback. A change of the mode holds for open connections, too.

    Attributes:
        mode: The mode now; `set_mode` changes it.
        address: Where it listens, once it has started.
    """

    def __init__(self, target: tuple[str, int], random: Random):
        """Prepare a proxy to the target; `random` draws the bytes of GARBAGE."""
        self.target = target
        self.random = random
        self.mode = ProxyMode.PASS
        self.passing = asyncio.Event()
        self.passing.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen; `address` holds the port from then on."""
        self.server = await asyncio.start_server(self._accept, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode."""
        self.mode = mode
        if mode is ProxyMode.STALL:
            self.passing.clear()
        else:
            self.passing.set()

    def abort_connections(self) -> None:
        """Abort all connections, on both sides."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        self.server.close()
        self.abort_connections()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            if self.mode is not ProxyMode.REFUSE:
                await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self.tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._pass_requests(reader, target_writer), self._pass_answers(target_reader, writer)
            )
        finally:
            self.writers -= {writer, target_writer}
            target_writer.transport.abort()

    async def _pass_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_SIZE_BYTES):
            await self.passing.wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionAbortedError

    async def _pass_answers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_SIZE_BYTES):
            await self.passing.wait()
            mode = self.mode
            if mode in (ProxyMode.HALF, ProxyMode.GARBAGE):
                self.mode = ProxyMode.PASS
            if mode is ProxyMode.HALF:
                writer.write(data[: len(data) // 2])
                await writer.drain()
                raise ConnectionAbortedError
            if mode is ProxyMode.GARBAGE:
                data = self.random.randbytes(len(data))
            writer.write(data)
            await writer.drain()
        raise ConnectionAbortedError
