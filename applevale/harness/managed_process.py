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
QUOTED_LOG_LINES = 3  # the last ones, in an error
DEFAULT_CONFIG = {
    "listen": "127.0.0.1:0",
    "seed": "1",
    "settings": SETTINGS,
    "limits": {"memory_mb": 192, "sockets": 1024},
}


class ManagedProcessError(AppleValeError, RuntimeError):
    """The application did not start, or ended before it was asked to."""


class ManagedProcess:
    """One process of the application, or one after another under the same name.

    Counters are requested by SIGUSR1. Each line of the log is kept and reported as an event, whichever form
    the application writes.

    Attributes:
        on_event: Called with each event but counters.
        listening: Set once the process listens.
        folder: The process's own folder, which `stop` removes.
        process: The process, once it was started.
        address: Where it listens, once it does.
        log: The lines of its log, without counters and addresses.
        counters_at: When the last counters were written, by the monotonic clock in seconds; known only if the
            log is JSON.
    """

    def __init__(self, config: dict, name: str, checkout: str | None = None):
        """Prepare a process; nothing is started yet.

        Args:
            config: Its configuration, beside what all harnesses share.
            name: Its name.
            checkout: A folder whose application is run, where it is not this one.
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

    async def start(self, *entry: str, env: dict[str, str] | None = None) -> None:
        """Start the process and return once it listens.

        Args:
            entry: The module to run, where it is not the package's own, and its arguments.
            env: Variables to add to the environment.

        Raises:
            ManagedProcessError: The process did not start.
        """
        await self.launch(*entry, env=env)
        listening = asyncio.create_task(self.listening.wait())
        await asyncio.wait({listening, self._log_task}, return_when=asyncio.FIRST_COMPLETED)
        listening.cancel()
        if not self.listening.is_set():
            raise ManagedProcessError(f"did not start: {self._last_log_lines()}")

    async def launch(self, *entry: str, env: dict[str, str] | None = None) -> None:
        """Start the process and return at once; the arguments are those of `start`."""
        self.write_config(self.config)
        self.listening.clear()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *(entry or (PACKAGE,)),
            env=os.environ | (env or {}) | {"BALANCER_CONFIG": self.config_path},
            stderr=asyncio.subprocess.PIPE,
            cwd=self.checkout,
        )
        self._log_task = asyncio.create_task(self._read_log(self.process))

    def write_config(self, config: dict) -> None:
        """Write a configuration, beside what all harnesses share, as a whole or not at all."""
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
        """Return the counters as of now.

        Raises:
            ManagedProcessError: The process has ended.
            TimeoutError: It did not write them in time.
        """
        if self.process.returncode is not None:
            raise ManagedProcessError(f"ended with {self.process.returncode}: {self._last_log_lines()}")
        self._take_last_counters()  # what it wrote by itself
        self.process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(COUNTERS_TIMEOUT_SECONDS):
            return await self._counter_dumps.get()

    def _take_last_counters(self) -> dict:
        """Discard all counters that were written; return the last of them."""
        last: dict = {}
        while not self._counter_dumps.empty():
            last = self._counter_dumps.get_nowait()
        return last

    async def kill(self) -> None:
        """End the process at once, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> dict:
        """End the process by SIGTERM and return the counters of its end.

        Raises:
            ManagedProcessError: It did not end in time.
        """
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                await self.process.wait()
                await self._log_task
        except TimeoutError:
            self.process.kill()
            raise ManagedProcessError(f"did not end within {EXIT_TIMEOUT_SECONDS:g} s of SIGTERM") from None
        finally:
            self.folder.cleanup()
        return self._take_last_counters()
