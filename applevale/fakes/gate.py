"""A TCP gate before a stand-in server: passes bytes on, or does to them what networks do."""

from __future__ import annotations

import asyncio
from enum import Enum
from random import Random


class Mode(Enum):
    PASS = "pass"
    REFUSE = "refuse"  # no connection is taken
    STALL = "stall"  # all stay open, and nothing passes
    HALF = "half"  # the next answer is cut off in its middle
    GARBAGE = "garbage"  # the next answer is spoilt, and the connection stays


class Gate:
    """Listens on loopback. `set` changes the mode for open connections too."""

    def __init__(self, target: tuple[str, int], random: Random):
        self.target, self.random = target, random
        self.mode = Mode.PASS
        self.passing = asyncio.Event()
        self.passing.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def set(self, mode: Mode) -> None:
        self.mode = mode
        if mode is Mode.STALL:
            self.passing.clear()
        else:
            self.passing.set()

    def cut(self) -> None:
        """Ends all connections at once."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        self.server.close()
        self.cut()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            if self.mode is Mode.REFUSE:
                return
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            self.writers |= {writer, far_writer}
            try:
                await asyncio.gather(
                    self._pass(reader, far_writer, False), self._pass(far_reader, writer, True)
                )
            finally:
                self.writers -= {writer, far_writer}
                far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self.tasks.discard(task)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool) -> None:
        while data := await reader.read(65536):
            await self.passing.wait()
            if answers and self.mode in (Mode.HALF, Mode.GARBAGE):
                mode, self.mode = self.mode, Mode.PASS
                if mode is Mode.HALF:
                    writer.write(data[: len(data) // 2])
                    await writer.drain()
                    raise ConnectionAbortedError
                data = self.random.randbytes(len(data))
            writer.write(data)
            await writer.drain()
        raise ConnectionAbortedError
