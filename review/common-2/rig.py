"""Stand-ins on loopback addresses for the cases of the second review: engines, control feed, clients.

Each follows PROTOCOL-applevale.md. The program is started by the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import hiredis
import msgpack

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
READ_BYTES = 65536
SECOND = 1_000_000_000  # ns

HELD = 0  # exit codes of a case
BROKEN = 1
COULD_NOT_RUN = 2

READY = 0  # states of an engine in the control feed
DRAINING = 1
GONE = 2
_HEARTBEAT = 0
_CHANGES = 2
_FRAME_HEADER = struct.Struct(">IQB")
_ENGINE_RECORD = struct.Struct(">IIHBBBHIQ")
_RESUME_REQUEST = struct.Struct(">Q")
_LIFECYCLES = ("in_service", "terminating", "terminated")

_FILLER = b"1\tstation-1\t2.5\n"


def has_trouble() -> bool:
    """Return whether the disruption is to be played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Collects the lines of `record.txt`: what was sent, answered and run."""

    def __init__(self) -> None:
        """Start the clock of the record."""
        self.started_at = time.time()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.time() - self.started_at

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def encode_array(*parts: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


@dataclass
class Arrival:
    """An attempt as the engine received it.

    Attributes:
        at: Unix time at which it arrived whole.
        request_id: The id that the client chose.
        class_name: The class.
        ended_at: Unix time at which its end was written or it was given up; None before.
        end: How it ended.
    """

    at: float
    request_id: str
    class_name: str
    ended_at: float | None = None
    end: str = ""


class Engine:
    """An engine that runs all that it gets at once, each request for `run_seconds(class name)`."""

    def __init__(self, number: int, record: Record, run_seconds: Callable[[str], float]) -> None:
        """Create an engine with the id `number`; `start` listens."""
        self.number = number
        self.record = record
        self.run_seconds = run_seconds
        self.arrivals: list[Arrival] = []
        self.port = 0
        self.running = 0
        self.started_ms = 0
        self.work_ms = 12
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def name(self) -> str:
        """The id of the engine in text."""
        return f"s-{self.number:08x}"

    async def start(self) -> None:
        """Listen on a free port, or on the port of an earlier start."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """End the process of the engine: its connections are reset and new ones are refused."""
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        runs: dict[bytes, tuple[asyncio.Task, Arrival]] = {}
        self._writers.add(writer)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    self._handle(command, writer, runs)
        except OSError:
            pass
        finally:
            for task, arrival in runs.values():
                task.cancel()
                self._end(arrival, "given up with its connection")
            self._writers.discard(writer)
            writer.transport.abort()

    def _handle(self, command: list[bytes], writer: asyncio.StreamWriter, runs: dict) -> None:
        name, tag, *rest = command
        if name == b"want":
            class_name = rest[0].partition(b"lane=")[2].partition(b",")[0].decode()
            arrival = Arrival(time.time(), tag.decode(), class_name)
            self.arrivals.append(arrival)
            self.running += 1
            task = asyncio.create_task(self._run(tag, arrival, writer, runs))
            runs[tag] = (task, arrival)
        elif name == b"never_mind" and tag in runs:
            task, arrival = runs.pop(tag)
            task.cancel()
            self._end(arrival, "given up")
        elif name in (b"there", b"busy"):
            writer.write(encode_array(tag, b"PONG", self._report(), b""))

    async def _run(self, tag: bytes, arrival: Arrival, writer: asyncio.StreamWriter, runs: dict) -> None:
        await asyncio.sleep(self.run_seconds(arrival.class_name))
        runs.pop(tag, None)
        fields = b"sheets=1,toil=%d,room=4,%b" % (self.work_ms, self._report())
        writer.write(encode_array(tag, b"HIT", fields, b"%b\tran\t1\n" % tag + _FILLER))
        self._end(arrival, "HIT")

    def _end(self, arrival: Arrival, end: str) -> None:
        if arrival.ended_at is None:
            arrival.ended_at = time.time()
            arrival.end = end
            self.running -= 1

    def _report(self) -> bytes:
        return b"rep=inflight:%d;util:0.2;x1:0.1" % self.running


@dataclass
class FeedEvent:
    """One event of the control feed: engines whose state has changed."""

    number: int
    frame: bytes
    recorded_at: float


class Feed:
    """A control feed that tells all its events on one or more addresses.

    Attributes:
        events: The events after the first one, which the configuration holds under `known`.
        lag: Returns how late (s) all frames that are due now leave.
    """

    def __init__(self, engines: list[Engine], record: Record) -> None:
        """Create a feed that lists the engines as ready."""
        self.record = record
        self.events: list[FeedEvent] = []
        self.known = {"n": 1, "events": [{"n": 1, "members": self._members(engines)}]}
        self.lag: Callable[[], float] = lambda: 0.0
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self._silent: set[asyncio.Task] = set()

    @staticmethod
    def _members(engines: list[Engine]) -> dict:
        instances = [
            {
                "instanceId": engine.name,
                "hostPort": f"{LOOPBACK}:{engine.port}",
                "zone": "here",
                "machineType": "toy",
                "cell": 0,
                "lifecycle": _LIFECYCLES[READY],
                "weight": 1,
                "startedAtMs": engine.started_ms,
            }
            for engine in engines
        ]
        return {"generation": 1, "reset": True, "instances": instances}

    @property
    def last_number(self) -> int:
        """Number of the last event."""
        return 1 + len(self.events)

    def tell(self, engine: Engine, state: int) -> float:
        """Record a change of an engine's state; return the Unix time of the event."""
        address = int.from_bytes(socket.inet_aton(LOOPBACK), "big")
        body = _ENGINE_RECORD.pack(
            engine.number, address, engine.port, state, 0, 0, 0, 1000, engine.started_ms
        )
        number = self.last_number + 1
        frame = _frame(number, _CHANGES, body)
        event = FeedEvent(number, frame, time.time())
        self.events.append(event)
        self.record.add(f"feed: event {number}, {engine.name} is {_LIFECYCLES[state]}")
        return event.recorded_at

    async def listen(self, delay_first: float = 0.0) -> tuple[str, asyncio.Server]:
        """Listen on a free port, where each connection gets its first frame after a delay."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._serve(reader, writer, delay_first)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.transport.abort()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self._servers.append(server)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}", server

    def stop_telling(self) -> set[asyncio.Task]:
        """Take no new connection at the present addresses, and tell nothing more on the open connections.

        Returns:
            The open connections, for `close_connections`.
        """
        for server in self._servers:
            server.close()
        self._servers.clear()
        self._silent |= self._tasks
        self.record.add("feed: the present addresses take no new connection and tell nothing more")
        return set(self._tasks)

    @staticmethod
    def close_connections(connections: set[asyncio.Task]) -> None:
        """Close connections."""
        for connection in connections:
            connection.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay: float) -> None:
        (last,) = _RESUME_REQUEST.unpack(await reader.readexactly(_RESUME_REQUEST.size))
        self.record.add(f"feed: a connection asks for the events after {last}")
        await asyncio.sleep(delay)
        queue: list[tuple[float, bytes]] = []  # what is due, by the time at which it leaves
        next_heartbeat = time.time()
        leaves_at = 0.0
        while True:
            now = time.time()
            for event in self.events:
                if event.number > last:
                    leaves_at = max(leaves_at, now + self.lag())
                    queue.append((leaves_at, event.frame))
                    last = event.number
            if now >= next_heartbeat:
                leaves_at = max(leaves_at, now + self.lag())
                queue.append((leaves_at, _frame(last, _HEARTBEAT)))
                next_heartbeat += 1.0
            while queue and queue[0][0] <= now and asyncio.current_task() not in self._silent:
                writer.write(queue.pop(0)[1])
            await writer.drain()
            await asyncio.sleep(0.005)


def _frame(number: int, kind: int, body: bytes = b"") -> bytes:
    return _FRAME_HEADER.pack(9 + len(body), number, kind) + body


@dataclass
class Call:
    """A request that a client has sent.

    Attributes:
        request_id: Its id.
        class_name: Its class.
        sent_at: Unix time at which its last byte was written.
        allow: How long the client waits, in s.
        answer: `served`, `refused`, `failed` or `lost`; empty while it is open.
        answered_at: Unix time of the answer.
        done: Set with the answer.
    """

    request_id: str
    class_name: str
    sent_at: float
    allow: float
    answer: str = ""
    answered_at: float = 0.0
    body: bytes = b""
    answers: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)


_request_numbers = itertools.count(1)


class Client:
    """A client with one connection, which counts its message ids up from 1."""

    def __init__(self, record: Record) -> None:
        """Create a client that is not connected."""
        self.record = record
        self.calls: dict[int, Call] = {}
        self._last_id = 0
        self._has_ended = False
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task | None = None

    async def connect(self, port: int) -> Client:
        """Connect, and read answers from now on."""
        reader, self._writer = await asyncio.open_connection(LOOPBACK, port)
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.create_task(self._read(reader))
        return self

    def send(self, class_name: str, allow: float, key: str = "", **fields: str) -> Call:
        """Send a request, and return it."""
        message, request_id = self._pack(class_name, allow, key, fields)
        self._writer.write(message)
        return self._add_call(request_id, class_name, allow)

    async def send_slowly(
        self, class_name: str, allow: float, key: str, seconds: float, pieces: int, **fields: str
    ) -> Call | None:
        """Send a request in pieces over some seconds; return it, or None if the connection ended before."""
        message, request_id = self._pack(class_name, allow, key, fields)
        size = -(-len(message) // pieces)
        for start in range(0, len(message), size):
            if self._has_ended:
                return None
            self._writer.write(message[start : start + size])
            await asyncio.sleep(seconds / pieces)
        return self._add_call(request_id, class_name, allow)

    def _pack(self, class_name: str, allow: float, key: str, fields: dict[str, str]) -> tuple[bytes, str]:
        """Return the message and the id of a new request; the field `statement` is its body."""
        self._last_id += 1
        request_id = f"{next(_request_numbers):016x}"
        statement = fields.pop("statement", "select * from air_17.readings limit 5")
        all_fields = {"ref": request_id, "allow": str(int(allow * 1000))} | fields
        if key:
            all_fields["lookup"] = key
        message = msgpack.packb([0, self._last_id, class_name, [all_fields, statement.encode()]])
        return message, request_id

    def _add_call(self, request_id: str, class_name: str, allow: float) -> Call:
        call = Call(request_id, class_name, time.time(), allow)
        self.calls[self._last_id] = call
        return call

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                unpacker.feed(data)
                for _, message_id, error, result in unpacker:
                    self._on_answer(message_id, error, result)
        self._has_ended = True
        for call in self.calls.values():
            if not call.answer:
                self._finish(call, "lost")

    def _on_answer(self, message_id: int, error: list | None, result: list | None) -> None:
        call = self.calls[message_id]
        call.answers += 1
        if error is None:
            call.body = result[0]
            self._finish(call, "served")
        else:
            self._finish(call, "refused" if error[0] == "Full" else "failed")

    def _finish(self, call: Call, answer: str) -> None:
        if not call.answer:
            call.answer = answer
            call.answered_at = time.time()
            call.done.set()


def settings(**changes: object) -> dict:
    """Return the settings of a small deployment, those of `examples/config.json` with changes by path."""
    result = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
    for path, value in changes.items():
        target = result
        *parents, last = path.split("__")
        for key in parents:
            target = target.setdefault(key, {})
        target[last] = value
    return result


class Manager:
    """A workload manager, started by the `run` command of the deploy file."""

    def __init__(self, record: Record, name: str, config: dict) -> None:
        """Write the configuration of an instance into a temporary folder."""
        self.record = record
        self.name = name
        self.folder = Path(tempfile.mkdtemp(prefix="applevale-review-"))
        self.port = free_port()
        self.config = {"name": name, "listen": f"{LOOPBACK}:{self.port}", "seed": "8c1f30d27a5be964"} | config
        self.config.setdefault("limits", {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        self.process: asyncio.subprocess.Process | None = None
        self.write_config()

    @property
    def config_path(self) -> Path:
        """The path of the configuration."""
        return self.folder / "config.json"

    def write_config(self, **changes: object) -> None:
        """Replace the configuration, with changes."""
        self.config |= changes
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        """Start the process, and wait until it answers a probe with true."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "BALANCER_CONFIG": str(self.config_path),
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "TMPDIR": str(self.folder),
        }
        environment.pop("BALANCER_CONTROL", None)
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.time() + 20
        while not await self._is_ready():
            if time.time() > deadline or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} is not ready: {self.log()[-500:]}")
            await asyncio.sleep(0.05)
        self.record.add(f"{self.name}: ready on port {self.port}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        except OSError:
            return False
        try:
            writer.write(msgpack.packb([0, 1, "probe", [{}]]))
            unpacker = msgpack.Unpacker()
            unpacker.feed(await asyncio.wait_for(reader.read(READ_BYTES), 2))
            return next(iter(unpacker))[3][0] is True
        except (OSError, StopIteration, TimeoutError, TypeError):
            return False
        finally:
            writer.transport.abort()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """Return the log so far."""
        return (self.folder / "log.txt").read_text(errors="replace")

    async def stop(self) -> None:
        """Kill the process if it runs, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class BadClients:
    """A process of bad clients."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Use a process that was started by `start`."""
        self._process = process

    @classmethod
    async def start(cls, script: str, *arguments: float) -> BadClients:
        """Start a script of this folder, wait until it is prepared, and let it begin."""
        arguments = (str(Path(__file__).with_name(script)), *map(str, arguments))
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(sys.executable, *arguments, stdin=pipe, stdout=pipe)
        await process.stdout.readline()
        process.stdin.write(b"\n")
        await process.stdin.drain()
        return cls(process)

    async def stop(self) -> None:
        """Kill the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()


def main(folder: Path, case: Callable[[Record], object]) -> None:
    """Run a case, write its record, and exit with its code."""
    record = Record()
    try:
        code = asyncio.run(case(record))
    except Exception as error:
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    record.add(f"exit code {code}")
    record.write(folder / "record.txt")
    print("\n".join(record.lines[-6:]))
    sys.exit(code)
