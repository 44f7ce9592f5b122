"""A fake engine that answers attempts after a random time and records every arrival."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import hiredis

from ..engines.resp import encode_array

CMD_EXECUTE = b"want"
CMD_CANCEL = b"never_mind"
PROBE_COMMANDS = (b"there", b"busy")
RESULT_ROWS = b"1\tstation\t2.5\n2\tstation\t3.5\n"
READ_SIZE_BYTES = 65536


@dataclass(frozen=True)
class AttemptArrival:
    """An attempt as the engine received it.

    Attributes:
        received_at: When it arrived, in seconds of the engine's clock.
        request_id: The id of the request, the same in all its attempts.
        class_name: The class of the request.
        caller: The IP address of the caller.
    """

    received_at: float
    request_id: bytes
    class_name: bytes
    caller: str = ""


@dataclass(frozen=True)
class ConnectionArrival:
    """A connection as the engine accepted it.

    Attributes:
        accepted_at: When it was accepted, in seconds of the engine's clock.
        caller: The IP address of the caller.
    """

    accepted_at: float
    caller: str


class FakeEngine:
    """An engine that answers every attempt after a duration drawn from a range.

    Attributes:
        arrivals: The attempts received, in order of arrival.
        accepted_connections: The connections accepted, in order of arrival.
        running: The request ids of the attempts being executed.
    """

    def __init__(
        self,
        random: Random,
        duration_range: tuple[float, float] = (0.01, 0.06),
        clock: Callable[[], float] = time.time,
        reported_work_ms: int = 12,
    ):
        """Create an engine that will listen on a free port.

        Args:
            random: Source of the durations.
            duration_range: Minimum and maximum duration of an attempt, in seconds.
            clock: Returns the time used for recorded events, in seconds.
            reported_work_ms: Work that each answer reports, in milliseconds.
        """
        self.random = random
        self.duration_range = duration_range
        self.clock = clock
        self.reported_work_ms = reported_work_ms
        self.arrivals: list[AttemptArrival] = []
        self.accepted_connections: list[ConnectionArrival] = []
        self.running: set[bytes] = set()
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Start to listen and set `address` to the port in use."""
        self.server = await asyncio.start_server(self._serve_connection, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener, abort all connections and cancel all executions."""
        self.server.close()
        self._abort_connections()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _abort_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        executions: dict[bytes, asyncio.Task] = {}
        self.writers.add(writer)
        caller = (writer.get_extra_info("peername") or ("",))[0]
        self.accepted_connections.append(ConnectionArrival(self.clock(), caller))
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    self._handle_command(command, writer, executions, caller)
        except OSError:
            pass
        finally:
            for request_id, task in executions.items():
                task.cancel()
                self.running.discard(request_id)
            self.writers.discard(writer)
            writer.transport.abort()

    def _handle_command(
        self,
        command: list[bytes],
        writer: asyncio.StreamWriter,
        executions: dict[bytes, asyncio.Task],
        caller: str,
    ) -> None:
        name, request_id, *arguments = command
        if name == CMD_EXECUTE:
            class_name = arguments[0].partition(b"lane=")[2].partition(b",")[0]
            self.arrivals.append(AttemptArrival(self.clock(), request_id, class_name, caller))
            self._start_execution(request_id, writer, executions)
        elif name == CMD_CANCEL and request_id in executions:
            executions[request_id].cancel()
            self.running.discard(request_id)
        elif name in PROBE_COMMANDS:
            writer.write(encode_array(request_id, b"PONG", b"rep=%s" % self._load_report(), b""))

    def _start_execution(
        self, request_id: bytes, writer: asyncio.StreamWriter, executions: dict[bytes, asyncio.Task]
    ) -> None:
        self.running.add(request_id)
        task = asyncio.create_task(self._execute(request_id, writer))
        executions[request_id] = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: executions.pop(request_id, None))

    async def _execute(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.random.uniform(*self.duration_range))
        self.running.discard(request_id)
        header = b"sheets=1,toil=%d,room=4,rep=%s" % (self.reported_work_ms, self._load_report())
        writer.write(encode_array(request_id, b"HIT", header, RESULT_ROWS))

    def _load_report(self) -> bytes:
        return b"inflight:%d;util:0.2;x1:0.1" % len(self.running)
