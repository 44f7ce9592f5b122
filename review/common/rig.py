"""Stand-ins for clients, engines, the control feed and the platform, for the cases of the review.

They follow PROTOCOL-applevale.md and DEPLOY-applevale.md. All addresses are loopback addresses, all ports are
free ones, and all files are in a temporary folder. Only packages that the deploy file's `build` installs are
used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import hiredis
import msgpack

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
READ_BYTES = 65536
NANOSECONDS = 1_000_000_000

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

START_TIMEOUT_SECONDS = 30.0  # DEPLOY and STANDING: a workload manager is ready within 30 s
END_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05
RSS_POLL_SECONDS = 0.02
HEARTBEAT_SECONDS = 1.0  # "each second an empty frame"

STATE_READY = 0
STATE_DRAINING = 1
STATE_GONE = 2
LIFECYCLES = ("in_service", "terminating", "terminated")
ENGINE_CORES = (8, 16)

TABLE_GROUPS = 20  # requests of one client use these in turn

REQUEST_TYPE = 0
RESPONSE_TYPE = 1


class CaseError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time of each line."""

    def __init__(self, folder: Path):
        """Begin a new record in the folder of the case."""
        self.started_at = time.time()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, source: str, text: str) -> None:
        """Write one line."""
        print(f"{time.time() - self.started_at:8.3f}  {source:<12} {text}", file=self.file, flush=True)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def resp_array(*words: bytes) -> bytes:
    """Return words as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


@dataclass
class Arrival:
    """A request as an engine received it whole."""

    at: float
    engine: str
    request_id: str
    lane: str


class EngineStandIn:
    """An engine that runs each request for the time of its class and answers with three rows.

    Attributes:
        arrivals: The requests that arrived whole, in order.
        finished: Ids of the requests whose end was written.
    """

    ROWS = b"1\tstation-1\t3.5\n2\tstation-2\t4.5\n3\tstation-3\t5.5\n"

    def __init__(self, number: int, record: Record, durations: dict[str, float]):
        """Create an engine that does not listen yet; `durations` has the run time (s) of each class."""
        self.number = number
        self.name = f"s-{number:08x}"
        self.record = record
        self.durations = durations
        self.arrivals: list[Arrival] = []
        self.finished: list[str] = []
        self.cell = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._running: dict[tuple[int, str], asyncio.Task] = {}

    async def start(self) -> None:
        """Listen on a free port, or on the port used before."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End the process of the engine: its connections are reset, and new ones are refused."""
        self.record.write(self.name, f"ends with {len(self._running)} requests in hand")
        if self._server is not None:
            self._server.close()
        for task in self._running.values():
            task.cancel()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        self._writers.add(writer)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    self._handle(command, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for key in [key for key in self._running if key[0] == id(writer)]:
                self._running.pop(key).cancel()
                self.record.write(self.name, f"{key[1]} given up: its connection ended")
            self._writers.discard(writer)
            writer.transport.abort()

    def _handle(self, command: list[bytes], writer: asyncio.StreamWriter) -> None:
        word, tag, *rest = command
        key = (id(writer), tag.decode())
        if word == b"want":
            lane = rest[0].partition(b"lane=")[2].partition(b",")[0].decode()
            self.arrivals.append(Arrival(time.time(), self.name, key[1], lane))
            self.record.write(self.name, f"want {key[1]} {rest[0].decode()}")
            self._running[key] = asyncio.create_task(self._run(key, lane, writer))
        elif word == b"never_mind" and key in self._running:
            self._running.pop(key).cancel()
            self.record.write(self.name, f"never_mind {key[1]}")
        elif word in (b"there", b"busy"):
            writer.write(resp_array(tag, b"PONG", self._report(), b""))
        elif word == b"turn":
            writer.write(resp_array(tag, b"FAULT", b"-", b""))

    async def _run(self, key: tuple[int, str], lane: str, writer: asyncio.StreamWriter) -> None:
        duration = self.durations[lane]
        await asyncio.sleep(duration)
        self._running.pop(key, None)
        self.finished.append(key[1])
        self.record.write(self.name, f"HIT {key[1]}")
        fields = b"sheets=1,toil=%d,room=16," % int(duration * 1000) + self._report()
        writer.write(resp_array(key[1].encode(), b"HIT", fields, self.ROWS))

    def _report(self) -> bytes:
        return b"rep=inflight:%d;util:0.2;x1:0.1" % len(self._running)


class FeedStandIn:
    """The control feed: numbered events, told to each connection from the number that it names.

    Attributes:
        events: The changes after `known`, as numbers with the bytes of their frames.
        told_at: Time at which each event came into the feed, by number.
        delay: Time (s) by which all that it writes is late, as on a slow or crowded server.
    """

    def __init__(self, engines: list[EngineStandIn], record: Record):
        """Create a feed whose event 1 is the list of these engines, all ready."""
        self.engines = engines
        self.record = record
        self.events: list[tuple[int, bytes]] = []
        self.told_at: dict[int, float] = {}
        self.last_number = 1
        self.delay = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def known(self) -> dict:
        """Return the value of `known` for the configuration."""
        instances = [
            {
                "instanceId": engine.name,
                "hostPort": f"{LOOPBACK}:{engine.port}",
                "zone": "graz-dc1",
                "machineType": "engine-8c",
                "cell": engine.cell,
                "lifecycle": LIFECYCLES[STATE_READY],
                "weight": 1,
                "startedAtMs": 0,
            }
            for engine in self.engines
        ]
        members = {"generation": 1, "reset": True, "instances": instances}
        return {"n": 1, "events": [{"n": 1, "members": members}]}

    async def start(self) -> None:
        """Listen on a free port, or on the port used before."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Reset all connections and refuse new ones until `start`."""
        self.record.write("feed", "down: connections end, new ones are refused")
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def change(self, engine: EngineStandIn, state: int) -> int:
        """Put a change of one engine into the feed; return the number of the event."""
        self.last_number += 1
        address = int.from_bytes(socket.inet_aton(LOOPBACK), "big")
        record = struct.pack(
            ">IIHBBBHIQ", engine.number, address, engine.port, state, 0, 0, engine.cell, 1000, 0
        )
        frame = struct.pack(">IQB", 9 + len(record), self.last_number, 2) + record
        self.events.append((self.last_number, frame))
        self.told_at[self.last_number] = time.time()
        self.record.write("feed", f"event {self.last_number}: {engine.name} is {LIFECYCLES[state]}")
        for writer in self._writers:
            self._write(writer, frame)
        return self.last_number

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        if not self.delay:
            writer.write(frame)
            return
        # Frames stay in order, since the delay only grows from 0 to one value.
        asyncio.get_running_loop().call_later(self.delay, self._write_late, writer, frame)

    @staticmethod
    def _write_late(writer: asyncio.StreamWriter, frame: bytes) -> None:
        if not writer.is_closing():
            writer.write(frame)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            self.record.write("feed", f"followed from event {last}")
            for number, frame in self.events:
                if number > last:
                    self._write(writer, frame)
            self._writers.add(writer)
            while not (writer.is_closing() or reader.at_eof()):
                self._write(writer, struct.pack(">IQB", 9, self.last_number, 0))
                await asyncio.sleep(HEARTBEAT_SECONDS)
            self.record.write("feed", "its reader has closed the connection")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


@dataclass
class Answer:
    """What a client saw of one request.

    Attributes:
        word: `served`, the name of the error, or `none` if the connection ended without a whole answer.
    """

    request_id: str
    lane: str
    key: str
    sent_at: float
    allow_ms: int
    word: str = "open"
    answered_at: float = 0.0
    done: asyncio.Event = field(default_factory=asyncio.Event)


class ClientStandIn:
    """A client on one connection, whose message ids start at 1 and count up."""

    def __init__(self, name: str, record: Record):
        """Create a client without a connection."""
        self.name = name
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.answers: dict[int, Answer] = {}
        self.probe_results: dict[int, object] = {}
        self.last_id = 0
        self._task: asyncio.Task | None = None

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to a workload manager."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        self._task = asyncio.create_task(self._read())

    def message(
        self, lane: str, *, allow_ms: int, effort_ms: int, key: str = "", batch: int = 1
    ) -> tuple[Answer, bytes]:
        """Return the state of a new request, not sent yet, and its bytes; a load writes `batch` rows."""
        self.last_id += 1
        request_id = secrets.token_hex(8)
        fields = {"ref": request_id, "allow": str(allow_ms), "effort": f"{effort_ms}.0", "space": "16"}
        if key:
            fields["lookup"] = key
        group = self.last_id % TABLE_GROUPS + 1
        statement = b"select * from air_%d.readings limit 3" % group
        if key:
            statement = b"insert into air_%d.readings values " % group + b", ".join([b"(1, 2, 3)"] * batch)
        answer = Answer(request_id, lane, key, time.time(), allow_ms)
        self.answers[self.last_id] = answer
        return answer, msgpack.packb([REQUEST_TYPE, self.last_id, lane, [fields, statement]])

    def send(self, lane: str, *, allow_ms: int, effort_ms: int, key: str = "") -> Answer:
        """Send a request whole."""
        answer, data = self.message(lane, allow_ms=allow_ms, effort_ms=effort_ms, key=key)
        if self._task.done():
            self._finish(answer, "unsent")  # the connection has ended: nobody has taken the request
            return answer
        self.writer.write(data)
        self.record.write(self.name, f"sends {lane} {answer.request_id} {key}")
        return answer

    async def probe(self) -> bool:
        """Return the answer to a `probe`."""
        self.last_id += 1
        number = self.last_id
        self.writer.write(msgpack.packb([REQUEST_TYPE, number, "probe", [{}]]))
        while number not in self.probe_results and not self._task.done():
            await asyncio.sleep(POLL_SECONDS)
        return self.probe_results.get(number) is True

    async def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await self.reader.read(READ_BYTES):
                unpacker.feed(data)
                for _, number, error, result in unpacker:
                    self._take(number, error, result)
        except OSError as error:
            self.record.write(self.name, f"connection ended: {type(error).__name__}")
        finally:
            for answer in self.answers.values():
                if answer.word == "open":
                    self._finish(answer, "none")

    def _take(self, number: int, error: list | None, result: list | None) -> None:
        answer = self.answers.get(number)
        if answer is None:
            self.probe_results[number] = result and result[0]
        elif answer.word != "open":
            self._finish(answer, "second")
        else:
            self._finish(answer, "served" if error is None else str(error[0]))

    def _finish(self, answer: Answer, word: str) -> None:
        answer.word = word
        answer.answered_at = time.time()
        answer.done.set()
        waited = answer.answered_at - answer.sent_at
        self.record.write(self.name, f"{answer.lane} {answer.request_id}: {word} after {waited:.3f} s")


class Manager:
    """A workload manager that the platform started with the command `run` of the deploy file."""

    def __init__(self, name: str, config: dict, case: Case, control: str = ""):
        """Start the process; its log goes to the temporary folder."""
        self.name = name
        self.record = case.record
        host, port = config["listen"].rsplit(":", 1)
        self.address = (host, int(port))
        self.memory_mb = config["limits"]["memory_mb"]
        config_path = case.folder / f"{name}.json"
        config_path.write_text(json.dumps(config))
        self.log_path = case.folder / f"{name}.log"
        environment = os.environ | {
            "BALANCER_NAME": config["name"],
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_CONFIG": str(config_path),
            "TMPDIR": str(case.folder),
        }
        if control:
            environment["BALANCER_CONTROL"] = control
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("platform", f"starts {name} as process {self.process.pid}")
        case.managers.append(self)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process.poll() is not None

    def log_lines(self) -> list[str]:
        """Return the lines of its log so far."""
        return self.log_path.read_text(errors="replace").splitlines()

    def memory_held_mb(self) -> float:
        """Return the memory of the process in MB, without the files that it maps; 0 if it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        pages = int(fields[1]) - int(fields[2]) if fields else 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def wait_until_ready(self) -> None:
        """Wait until a `probe` is answered with true, as the front does.

        Raises:
            CaseError: The process ended or was not ready in time.
        """
        deadline = time.time() + START_TIMEOUT_SECONDS
        while time.time() < deadline and not self.has_ended:
            client = ClientStandIn("front", self.record)
            try:
                await client.connect(self.address)
                if await client.probe():
                    self.record.write("front", f"{self.name} is ready")
                    return
            except OSError:
                pass
            finally:
                await client.close()
            await asyncio.sleep(POLL_SECONDS)
        raise CaseError(f"{self.name} did not become ready")

    def kill(self) -> None:
        """End the process at once, if it runs."""
        if not self.has_ended:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(END_TIMEOUT_SECONDS)


async def http_call(method: str, address: str, path: str, body: str = "") -> int:
    """Make one call to the admin API and return its status; 0 if there was no answer within 1 s."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
            status_line = await reader.readline()
            writer.transport.abort()
            return int(status_line.split()[1])
    except (OSError, TimeoutError, IndexError):
        return 0


class Case:
    """One run of a case: its record, its temporary folder and its processes.

    Attributes:
        trouble: Whether the disruption happens; `TROUBLE=0` in the environment turns it off.
    """

    def __init__(self, script: str):
        """Create a run for the script of a case."""
        self.record = Record(Path(script).resolve().parent)
        self.folder = Path(tempfile.mkdtemp(prefix="applevale-review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.managers: list[Manager] = []

    def close(self) -> None:
        """End all processes that the run started, and remove its folder."""
        for manager in self.managers:
            manager.kill()
            self.record.write("platform", f"{manager.name} has ended, code {manager.process.returncode}")
            for line in manager.log_lines():
                self.record.write(f"log {manager.name}", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def settings(fleet_size: int = 1, me: int = 0) -> dict:
    """Return settings like those of graz-main in the units of WIRE-applevale.md."""
    timing = {"lookup": (1, 2.0, 5, 1.0), "report": (3, 2.5, 15, 5.0), "load": (3, 3.0, 25, 6.0)}
    classes = [
        {
            "name": name,
            "aim": aim * NANOSECONDS,
            "aim_stretch": stretch,
            "deadline": deadline * NANOSECONDS,
            "worth": worth,
            "repeat": "safe",
            "repeat_window": 5 * NANOSECONDS,
            "group": "all",
            "stream": False,
        }
        for name, (aim, stretch, deadline, worth) in timing.items()
    ]
    classes[-1] |= {"repeat": "unsafe", "by_arrival": True}
    return {
        "az": 0,
        "me": me,
        "fleet_size": fleet_size,
        "discovery": "pushed",
        "family": "queries",
        "tick": 5_000_000,
        "zones": ["graz-dc1"],
        "kinds": ["engine-8c", "engine-16c"],
        "classes": classes,
        "guarantees": {
            "answer_slack": 20_000_000,
            "cold_share": 0.33,
            "drain_grace": 500_000_000,
            "fall": 1_500_000_000,
            "fall_multiple": 4.0,
            "order_pause": 0,
            "warm_up": 15 * NANOSECONDS,
        },
        "limits": {
            "cancel": True,
            "conn_idle": 15 * NANOSECONDS,
            "dial_timeout": 250_000_000,
            "max_open": 20000,
            "max_retry_after": 500_000_000,
            "may_probe": True,
            "parallel_tries": False,
            "peers": True,
            "retry_after": True,
            "streams_per_conn": 32,
            "try_limit": 5,
        },
        "prices": {"probe": 0.011, "peer": 0.01, "waste": 0.03, "late_fail": 0.063, "handshake": 0.0},
        "specifics": {
            "class_load": [False, False, True],
            "class_threads": [1, 3, 2],
            "cpu_of_kind": list(ENGINE_CORES),
            "largest_share": 0.4,
            "memory_heeded": False,
            "progress": 0,
            "ram_of_kind_mb": [16384.0, 32768.0],
            "ranks_heeded": True,
            "report_x1": "share of disks busy",
            "says_cost": True,
            "when_short": "shrink",
            "yields_to_loads": [True, True, False],
        },
        "stats": {"how": "answers", "columns": ["active", "cpu", "x1"]},
    }


def configuration(name: str, feed: FeedStandIn, **changes: object) -> dict:
    """Return the configuration of one workload manager, with the limits of the scored days."""
    return {
        "name": name,
        "listen": f"{LOOPBACK}:{free_port()}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "feed": f"{LOOPBACK}:{feed.port}",
        "known": feed.known(),
        "settings": settings(),
    } | changes


def show(text: str) -> None:
    """Print text; the result of the run does not depend on anybody reading it."""
    try:
        print(text, flush=True)
    except OSError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def run_case(script: str, play: Callable[[Case], Awaitable[list[str]]], limit_seconds: float = 100.0) -> None:
    """Play a case, end its processes, and exit with its result.

    Args:
        script: Path of the case's script.
        play: Plays the case; returns one line for each break of the rule.
        limit_seconds: A longer run counts as not run.
    """
    case = Case(script)
    status = EXIT_NOT_RUN
    try:
        breaks = asyncio.run(asyncio.wait_for(play(case), limit_seconds))
        for line in breaks:
            case.record.write("RULE BROKEN", line)
        status = EXIT_BROKEN if breaks else EXIT_KEPT
        show("\n".join(breaks[:5]) if breaks else "the rule was kept")
    except Exception as error:  # the run says nothing about the rule
        case.record.write("not run", "".join(traceback.format_exception(error)))
        show(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        with contextlib.suppress(Exception):
            case.close()
    sys.exit(status)
