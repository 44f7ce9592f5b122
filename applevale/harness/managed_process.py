"""The application as a child process of a harness."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from math import inf

from ..errors import AppleValeError
from .default_settings import SETTINGS
from .log_events import parse_event

PACKAGE = "applevale"
COUNTERS_TIMEOUT_SECONDS = 10.0
EXIT_TIMEOUT_SECONDS = 15.0  # after SIGTERM
QUOTED_LOG_LINES = 3  # last lines of the log in an error text
DEFAULT_CONFIG = {
    "listen": "127.0.0.1:0",
    "seed": "1",
    "settings": SETTINGS,
    "limits": {"memory_mb": 192, "sockets": 1024},
}


class ManagedProcessError(AppleValeError, RuntimeError):
    """The application did not start, ended unexpectedly, or did not end when it was asked to."""


class ManagedProcess:
    """A named process of the application, which may be started several times in succession.

    Counters are requested by SIGUSR1. Each line of the log is parsed, kept and reported as an event; the log
    may be plain text or JSON.

    Attributes:
        on_event: Called with each event of the log except counters.
        listening: Set once the process that was started last listens.
        folder: The temporary folder of the process, which `stop` removes.
        process: The process that was started last; None before the first start.
        address: The host and port at which it listens; known once `listening` is set.
        log: The lines of its log, except counters and listening addresses.
        counters_at: When the last counters were written, by the monotonic clock in seconds; minus infinity
            unless the log is JSON.
    """

    def __init__(self, config: dict, name: str, checkout: str | None = None):
        """Prepare a process without starting it.

        Args:
            config: Its configuration, where it differs from `DEFAULT_CONFIG`.
            name: Its name in the configuration.
            checkout: Folder of another checkout whose application is run; None: this one.
        """
        self.config = config
        self.name = name
        self.checkout = checkout
        self.on_event: Callable[[dict], None] = lambda event: None
        self.listening = asyncio.Event()
        self.folder = tempfile.TemporaryDirectory(prefix="applevale-rig-")
        self.config_path = os.path.join(self.folder.name, "config.json")
        self.process: asyncio.subprocess.Process | None = None
        self.address = ("", 0)
        self.log: list[str] = []
        self.counters_at = -inf
        self._counter_dumps: asyncio.Queue[dict] = asyncio.Queue()
        self._log_task: asyncio.Task | None = None

    async def start(self, *entry_point: str, env: dict[str, str] | None = None) -> None:
        """Start the process and return once it listens.

        Args:
            entry_point: Module to run in place of the application, and its arguments.
            env: Additional environment variables.

        Raises:
            ManagedProcessError: The process did not start.
        """
        await self.launch(*entry_point, env=env)
        listening = asyncio.create_task(self.listening.wait())
        await asyncio.wait({listening, self._log_task}, return_when=asyncio.FIRST_COMPLETED)
        listening.cancel()
        if not self.listening.is_set():
            raise ManagedProcessError(
                f"{self.name}: the process ended before it listened; log: {self._last_log_lines()}"
            )

    async def launch(self, *entry_point: str, env: dict[str, str] | None = None) -> None:
        """Start the process without waiting until it listens; see `start` for the arguments."""
        self.write_config(self.config)
        self.listening.clear()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *(entry_point or (PACKAGE,)),
            env=os.environ | (env or {}) | {"BALANCER_CONFIG": self.config_path},
            stderr=asyncio.subprocess.PIPE,
            cwd=self.checkout,
        )
        self._log_task = asyncio.create_task(self._read_log(self.process))

    def write_config(self, config: dict) -> None:
        """Write the configuration file atomically, with `DEFAULT_CONFIG` for all missing keys."""
        new_path = self.config_path + ".new"
        with open(new_path, "w", encoding="utf-8") as file:
            json.dump({"name": self.name} | DEFAULT_CONFIG | config, file)
        os.replace(new_path, self.config_path)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        while line := (await process.stderr.readline()).decode(errors="replace"):
            self._on_log_line(line.rstrip())

    def _on_log_line(self, line: str) -> None:
        event = parse_event(line)
        if event["event"] == "counters":
            self.counters_at = event.get("at", -inf)
            self._counter_dumps.put_nowait(event["counts"])
            return
        if event["event"] == "listening":
            self.address = event["host"], event["port"]
            self.listening.set()
        else:
            self.log.append(line)
        self.on_event(event)

    def _last_log_lines(self) -> str:
        return " | ".join(self.log[-QUOTED_LOG_LINES:])

    async def counters(self) -> dict:
        """Request the counters of the process, and return them.

        Raises:
            ManagedProcessError: The process has ended.
            TimeoutError: It did not write them within `COUNTERS_TIMEOUT_SECONDS`.
        """
        if self.process.returncode is not None:
            raise ManagedProcessError(
                f"{self.name}: the process has ended with exit code {self.process.returncode}; "
                f"log: {self._last_log_lines()}"
            )
        self._take_last_counters()  # discards dumps that were written without a request
        self.process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(COUNTERS_TIMEOUT_SECONDS):
            return await self._counter_dumps.get()

    def _take_last_counters(self) -> dict:
        """Empty the queue of counter dumps; return the last of them, or an empty dictionary."""
        last: dict = {}
        while not self._counter_dumps.empty():
            last = self._counter_dumps.get_nowait()
        return last

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> dict:
        """End the process by SIGTERM, and return the counters that it writes when it ends.

        Raises:
            ManagedProcessError: It did not end within `EXIT_TIMEOUT_SECONDS`; it was killed.
        """
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                await self.process.wait()
                await self._log_task
        except TimeoutError:
            self.process.kill()
            raise ManagedProcessError(
                f"{self.name}: the process did not end within {EXIT_TIMEOUT_SECONDS:g} s of SIGTERM"
            ) from None
        finally:
            self.folder.cleanup()
        return self._take_last_counters()
