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

from .default_settings import SETTINGS
from .log_events import parse_event


class ManagedProcessError(RuntimeError):
    """The program did not start, or ended before it was asked to."""


class ManagedProcess:
    """One process of the program, or one after another under the same name.

    Counters are requested by SIGUSR1. The log is kept, and each line of it is passed to `heard` as an event,
    whichever form the program writes.
    """

    def __init__(self, config: dict, name: str, checkout: str | None = None):
        """`checkout`: a folder whose program is run, where it is not this one's."""
        self.config, self.name, self.checkout = config, name, checkout
        self.heard: Callable[[dict], None] = lambda event: None
        self.listening = asyncio.Event()
        self.folder = tempfile.TemporaryDirectory(prefix="applevale-rig-")
        self.path = os.path.join(self.folder.name, "config.json")
        self.process: asyncio.subprocess.Process | None = None
        self.address = ("", 0)
        self.log: list[str] = []
        self.shown: asyncio.Queue[dict] = asyncio.Queue()
        self.counters_at = -inf  # s, monotonic clock: when the last of them were written, in a JSON log
        self.reading: asyncio.Task | None = None

    async def start(self, *entry: str, env: dict[str, str] | None = None) -> None:
        """Start the process and return once it listens.

        Args:
            entry: The module to run, where it is not the package's own, and its arguments.
            env: Variables to add to the environment.

        Raises:
            ManagedProcessError: The process did not start.
        """
        await self.launch(*entry, env=env)
        up = asyncio.create_task(self.listening.wait())
        await asyncio.wait({up, self.reading}, return_when=asyncio.FIRST_COMPLETED)
        up.cancel()
        if not self.listening.is_set():
            raise ManagedProcessError(f"did not start: {' | '.join(self.log[-3:])}")

    async def launch(self, *entry: str, env: dict[str, str] | None = None) -> None:
        """Start the process and return at once; the arguments are those of `start`."""
        self.write(self.config)
        self.listening.clear()
        env = os.environ | (env or {}) | {"BALANCER_CONFIG": self.path}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *(entry or ("applevale",)),
            env=env,
            stderr=asyncio.subprocess.PIPE,
            cwd=self.checkout,
        )
        self.reading = asyncio.create_task(self._read(self.process))

    def write(self, config: dict) -> None:
        """The configuration beside what all rigs share, as a whole or not at all."""
        whole = {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "seed": "1",
            "settings": SETTINGS,
            "limits": {"memory_mb": 192, "sockets": 1024},
        } | config
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(whole, file)
        os.replace(self.path + ".new", self.path)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        while line := (await process.stderr.readline()).decode(errors="replace"):
            event = parse_event(line.rstrip())
            if event["event"] == "counters":
                self.counters_at = event.get("at", -inf)
                self.shown.put_nowait(event["counts"])
                continue
            if event["event"] == "listening":
                self.address = event["host"], event["port"]
                self.listening.set()
            else:
                self.log.append(line.rstrip())
            self.heard(event)

    async def counters(self) -> dict:
        """Raises ManagedProcessError if it has ended."""
        if self.process.returncode is not None:
            raise ManagedProcessError(f"ended with {self.process.returncode}: {' | '.join(self.log[-3:])}")
        while not self.shown.empty():  # what it printed by itself
            self.shown.get_nowait()
        self.process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(10.0):
            return await self.shown.get()

    async def end(self) -> None:
        """At once, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> dict:
        """SIGTERM, and the counters of its end."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(15.0):
                await self.process.wait()
                await self.reading
        except TimeoutError:
            self.process.kill()
            raise ManagedProcessError("did not end within 15 s of SIGTERM") from None
        finally:
            self.folder.cleanup()
        shown: dict = {}
        while not self.shown.empty():
            shown = self.shown.get_nowait()
        return shown
