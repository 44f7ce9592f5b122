"""The real program as a process of a rig, and the rules that every rig checks."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from math import inf

from ..fakes.client_pool import ClientPool
from ..fakes.engine import FakeEngine

NS = 1_000_000_000
ZONES, KINDS = ["east", "west"], ["std"]
SETTINGS = {
    "az": 0,
    "me": 0,
    "fleet_size": 1,
    "discovery": "pushed",
    "tick": 5_000_000,
    "zones": ZONES,
    "kinds": KINDS,
    "classes": [
        {"name": "lookup", "aim": NS, "aim_stretch": 2.0, "deadline": 5 * NS, "repeat": "safe", "worth": 1.0},
        {
            "name": "load",
            "aim": 3 * NS,
            "aim_stretch": 3.0,
            "deadline": 10 * NS,
            "repeat": "unsafe",
            "by_arrival": True,
            "worth": 6.0,
        },
    ],
    "guarantees": {
        "answer_slack": 20_000_000,
        "drain_grace": NS // 2,
        "cold_share": 0.33,
        "warm_up": 15 * NS,
        "fall": 3 * NS // 2,
        "fall_multiple": 4.0,
    },
    "limits": {
        "cancel": True,
        "may_probe": True,
        "retry_after": True,
        "max_retry_after": NS // 2,
        "try_limit": 5,
        "streams_per_conn": 32,
        "conn_idle": 15 * NS,
        "dial_timeout": NS // 4,
        "max_open": 20_000,
    },
    "specifics": {
        "class_threads": [1, 2],
        "class_load": [False, True],
        "yields_to_loads": [True, False],
        "cpu_of_kind": [8],
        "ram_of_kind_mb": [16384.0],
        "ranks_heeded": True,
        "says_cost": True,
        "largest_share": 0.4,
        "when_short": "shrink",
    },
    "stats": {"how": "answers", "columns": ["active", "cpu", "x1"]},
}


class ProgramError(RuntimeError):
    """The program did not start, or ended before it was asked to."""


class Program:
    """One process, or one after another under the same name. Counters are asked for by SIGUSR1; the log is
    kept, and each line of it is told to `heard` as an event, whichever form the program writes."""

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
        """Until it listens. Raises ProgramError. `entry`: the module to run, where it is not the package's
        own; `env`: more variables."""
        await self.launch(*entry, env=env)
        up = asyncio.create_task(self.listening.wait())
        await asyncio.wait({up, self.reading}, return_when=asyncio.FIRST_COMPLETED)
        up.cancel()
        if not self.listening.is_set():
            raise ProgramError(f"did not start: {' | '.join(self.log[-3:])}")

    async def launch(self, *entry: str, env: dict[str, str] | None = None) -> None:
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
            event = event_of(line.rstrip())
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
        """Raises ProgramError if it has ended."""
        if self.process.returncode is not None:
            raise ProgramError(f"ended with {self.process.returncode}: {' | '.join(self.log[-3:])}")
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
            raise ProgramError("did not end within 15 s of SIGTERM") from None
        finally:
            self.folder.cleanup()
        shown: dict = {}
        while not self.shown.empty():
            shown = self.shown.get_nowait()
        return shown


def event_of(line: str) -> dict:
    """A line of the program as an event, also of a version that writes plain lines only."""
    if line.startswith("{"):
        try:
            return {"event": "line"} | json.loads(line)
        except ValueError:
            return {"event": "line", "text": line}
    if line.startswith("counters "):
        return {"event": "counters", "counts": json.loads(line.removeprefix("counters "))}
    name, _, place = line.partition(" listens on ")
    host, _, port = place.rpartition(":")
    if name and port.isdecimal():
        return {"event": "listening", "host": host, "port": int(port)}
    for text, confirmed in (("registry: confirmed", True), ("registry: the list is not confirmed", False)):
        if line.startswith(text):
            return {"event": "list", "confirmed": confirmed}
    return {"event": "line", "text": line}


def broken_rules(
    clients: ClientPool, engines: Iterable[FakeEngine], apart: tuple[float, float] = (inf, -inf)
) -> Counter:
    """What the rules on requests say of a run: loads that arrived twice, loads of a key out of order.

    `apart`: from when until when two programs shared the clients, by the loop's clock. Each keeps the order
    of what it took itself; across the two none is promised, so it counts anew for what was sent after."""
    found: Counter = Counter()
    loads: dict[str, list[float]] = defaultdict(list)
    for engine in engines:
        for arrival in engine.arrivals:
            if arrival.class_name == b"load":
                loads[arrival.request_id.decode()].append(arrival.received_at)
    found["loads_twice"] = sum(len(times) > 1 for times in loads.values())
    by_key: dict[tuple[int, bool], list[float]] = defaultdict(list)
    for sent in clients.sent:
        if sent.key and sent.request_id in loads and not apart[0] <= sent.sent_at <= apart[1]:
            by_key[sent.key, sent.sent_at > apart[1]].append(loads[sent.request_id][0])
    found["order_breaks"] = sum(
        later < former for times in by_key.values() for former, later in zip(times, times[1:])
    )
    answers = clients.stats()
    found["lost_requests"] = answers["lost"]
    found["answered_twice"] = answers["twice"]
    return found
