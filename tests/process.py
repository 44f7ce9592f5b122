"""Processes of the program on loopback addresses, with the toy engine from `examples/`."""

from __future__ import annotations

import atexit
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))
from toy_engine import Handler, ToyEngine  # noqa: E402

EXAMPLE_CONFIG = (ROOT / "examples" / "config.json").read_text()
EXAMPLE_ENGINE_PORT = ":7101"  # port of the engine in the example configuration
LOOPBACK = "127.0.0.1"
ANY_PORT = f"{LOOPBACK}:0"

# Names of engine commands on the wire.
EXECUTE = b"want"
CANCEL = b"never_mind"

EVENT_TIMEOUT_SECONDS = 20.0
EXIT_TIMEOUT_SECONDS = 30.0
GRACEFUL_EXIT_TIMEOUT_SECONDS = 15.0  # time from the last response after SIGTERM to the exit
LATENESS_LINE = r"^event_loop: "  # the event loop reports lateness, which happens on a busy machine
STARTUP_LINE = rf"{LATENESS_LINE}|^membership: "  # members report their state before they listen
POLL_INTERVAL_SECONDS = 0.002
REPLY_PIECE_BYTES = 701  # no page of a reply is a multiple of it


def wait_until(condition: Callable[[], object]) -> None:
    """Wait until `condition` is true; fail after EVENT_TIMEOUT_SECONDS."""
    deadline = time.monotonic() + EVENT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(POLL_INTERVAL_SECONDS)


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free loopback port but does not listen.

    Connections to the port are refused until a socket listens on it: this one, or one of the program, whose
    listeners set SO_REUSEADDR. While this socket is open, the kernel does not assign the port to others.
    """
    reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((LOOPBACK, 0))
    return reserved


def format_address(address: tuple[str, int]) -> str:
    """Return `address` as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


def free_datagram_address() -> tuple[str, int]:
    """Return a loopback address to which a datagram socket can be bound."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()


def load_report_config() -> dict:
    """Return the example configuration as one of two instances that exchange load reports."""
    config = json.loads(EXAMPLE_CONFIG)
    settings = config["settings"]
    settings["fleet_size"] = 2
    settings["limits"]["peers"] = True
    settings["prices"] = {"probe": 0.02, "peer": 0.01}  # too much for a probe before each attempt
    addresses = [format_address(free_datagram_address()) for _ in range(3)]
    return config | {"peer_listen": addresses[0], "peers": addresses[:2], "peers_all": addresses[2]}


class ProgramProcess:
    """A process of the program; the constructor starts it.

    A thread reads the log continuously, so that the process never blocks on a full pipe.
    """

    def __init__(self, config_path: Path, listen: str = ANY_PORT):
        environment = os.environ | {"BALANCER_CONFIG": str(config_path), "BALANCER_LISTEN": listen}
        command = [sys.executable, "-m", "applevale"]
        self.popen = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
        atexit.register(self.popen.kill)  # a failed test may leave the process running
        self._lines: list[str] = []
        self._lines_consumed = 0
        self._log_ended = False
        self._log_changed = threading.Condition()
        self._log_reader = threading.Thread(target=self._read_log, daemon=True)
        self._log_reader.start()

    def _read_log(self) -> None:
        for line in self.popen.stderr:
            with self._log_changed:
                self._lines.append(line)
                self._log_changed.notify_all()
        with self._log_changed:
            self._log_ended = True
            self._log_changed.notify_all()

    @property
    def log(self) -> str:
        """The log of the process so far."""
        with self._log_changed:
            return "".join(self._lines)

    def wait_for_log_line(self, pattern: str, skipped: str = "") -> re.Match:
        """Return the match of `pattern` in the next log line that contains it.

        The next call continues after that line.

        Args:
            pattern: A regular expression.
            skipped: A regular expression that each line before it must match; by default any line matches.
        """
        deadline = time.monotonic() + EVENT_TIMEOUT_SECONDS
        with self._log_changed:
            while True:
                while self._lines_consumed < len(self._lines):
                    line = self._lines[self._lines_consumed]
                    self._lines_consumed += 1
                    if match := re.search(pattern, line):
                        return match
                    assert re.search(skipped, line), f"log line {line!r} precedes the expected {pattern!r}"
                time_left = deadline - time.monotonic()
                is_possible = not self._log_ended and time_left > 0
                assert is_possible, f"no log line matches {pattern!r}: {self._lines}"
                self._log_changed.wait(time_left)

    def wait_for_address(self) -> tuple[str, int]:
        """Wait until the program listens for clients, and return the address."""
        match = self.wait_for_log_line(r"listens on (.+):(\d+)$", skipped=STARTUP_LINE)
        return match[1], int(match[2])

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(signal_number)

    def suspend(self) -> None:
        """Stop the process with SIGSTOP, and wait until it is stopped."""
        self.popen.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.popen.pid, os.WSTOPPED)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None

    def wait(self, timeout: float = EXIT_TIMEOUT_SECONDS) -> int:
        """Wait until the process exits and its log is read to the end; return the exit status."""
        status = self.popen.wait(timeout)
        self._log_reader.join(EXIT_TIMEOUT_SECONDS)
        assert not self._log_reader.is_alive(), "the log did not end when the process exited"
        return status

    def terminate(self) -> int:
        """Send SIGTERM unless the process has exited; return the exit status."""
        if self.is_running:
            self.send_signal(signal.SIGTERM)
        return self.wait()

    def logged_counters(self) -> dict[str, float]:
        """Return the counters that were logged last."""
        return json.loads(re.findall(r"counters (.*)", self.log)[-1])


class SplittingHandler(Handler):
    """An engine handler that sends each reply in many small pieces."""

    def send(self, data: bytes) -> None:
        """Send a reply in pieces."""
        for start in range(0, len(data), REPLY_PIECE_BYTES):
            self.request.sendall(data[start : start + REPLY_PIECE_BYTES])


class Instance:
    """A running instance of the program with its own toy engine.

    Attributes:
        config_path: The configuration file of the process.
        engine: The engine, which replaces the one in the example configuration.
        process: The process.
        address: Address at which it serves clients.
    """

    def __init__(
        self, directory: Path, config_text: str = EXAMPLE_CONFIG, handler: type[Handler] = SplittingHandler
    ):
        self.engine = ToyEngine((LOOPBACK, 0), handler)
        threading.Thread(target=self.engine.serve_forever, daemon=True).start()
        self.config_path = directory / "config.json"
        self.config_path.write_text(config_text.replace(EXAMPLE_ENGINE_PORT, f":{self.engine_port}"))
        self.process = ProgramProcess(self.config_path)
        self.address = self.process.wait_for_address()

    @property
    def engine_port(self) -> int:
        """The port of the toy engine."""
        return self.engine.server_address[1]

    def engine_commands(self, request_id: str) -> list[bytes]:
        """Return the names of the commands that the engine received for a request, in order."""
        return [command[0] for command in self.engine.received_commands if command[1] == request_id.encode()]

    def executed_request_ids(self) -> list[bytes]:
        """Return the request ids of all execute commands that the engine received, in order."""
        return [command[1] for command in self.engine.received_commands if command[0] == EXECUTE]

    def stop(self) -> dict[str, float]:
        """Stop the process and the engine; return the counters that the process logged last."""
        self.close()
        return self.process.logged_counters()

    def close(self) -> None:
        """Stop the process, unless it has exited, and the engine."""
        self.process.terminate()
        self.engine.shutdown()
        self.engine.server_close()
