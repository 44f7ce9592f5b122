"""A fake registry in a process of its own, for harnesses with many processes.

Run it with `python -m applevale.fakes.registry_host`. Three etcd members serve one store and share one
capacity. The process reads commands as JSON lines from standard input and writes events as JSON lines to
standard output: sessions at once, commits and reads every tenth of a second. Times are in seconds of the
monotonic clock, which all processes of a machine share. The process exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from math import inf

import uvloop

from . import etcd
from .key_value_store import KeyValueStore
from .service_capacity import ServiceCapacity

MEMBER_COUNT = 3
REPORT_INTERVAL_SECONDS = 0.1
MAX_COMMAND_BYTES = 1 << 22
TIME_DECIMALS = 5
# Thresholds that make full collections rare: one pauses this process for longer than a member ever pauses.
GC_THRESHOLDS = (100_000, 50, 1_000_000)


def write_event(event: str, **fields: object) -> None:
    """Write one event to standard output."""
    print(json.dumps({"event": event, "at": time.monotonic(), **fields}), flush=True)


class RegistryHost:
    """The members, their store and the handlers of commands.

    Attributes:
        backup: The state that the command `keep` saved and the command `restore` loads.
        reported_commits: Number of commits that have been written out.
        unreported_reads: Reads that have not been written out, each as a list of begin, end, caller, index of
            the member, whether it is full and whether it was answered.
        reserved_ports: Sockets that are bound to the addresses of stopped members and do not listen.
    """

    def __init__(self) -> None:
        """Create the members; `start` lets them listen."""
        self.store = KeyValueStore(time.monotonic)
        self.capacity = ServiceCapacity()
        self.members = [etcd.Member(self.store, capacity=self.capacity) for _ in range(MEMBER_COUNT)]
        self.backup: KeyValueStore | None = None
        self.reported_commits = 0
        self.unreported_reads: list[list] = []
        self.reserved_ports: dict[tuple[str, int], socket.socket] = {}
        self.handlers: dict[str, Callable[[dict], Awaitable[None]]] = {
            "put": self._put,
            "delete": self._delete,
            "capacity": self._set_capacity,
            "late": self._delay_reads,
            "mute": self._silence_watches,
            "compact": self._compact,
            "down": self._stop_members,
            "up": self._start_members,
            "keep": self._save_backup,
            "restore": self._restore_backup,
            "sync": self._do_nothing,
        }
        for index, member in enumerate(self.members):
            self._observe(index, member)

    def _observe(self, index: int, member: etcd.Member) -> None:
        def record_read(read: etcd.ReadRecord) -> None:
            began_at = round(read.began_at, TIME_DECIMALS)
            ended_at = round(read.ended_at, TIME_DECIMALS)
            self.unreported_reads.append(
                [began_at, ended_at, read.caller, index, read.is_full, read.is_answered]
            )

        def report_session(caller: str, is_open: bool) -> None:
            write_event("session" if is_open else "session_end", caller=caller, member=index)

        member.on_read = record_read
        member.on_session_change = report_session

    async def start(self) -> None:
        """Start all members and write out their addresses."""
        for member in self.members:
            await member.start()
        write_event("serving", addresses=[list(member.address) for member in self.members])

    def report(self) -> None:
        """Write out the commits and reads since the last report."""
        for commit in self.store.commits[self.reported_commits :]:
            version = commit.version
            write_event(
                "commit",
                committed=commit.committed_at,
                key=version.key.decode(),
                revision=version.revision,
                value=None if version.value is None else version.value.decode(errors="replace"),
            )
        self.reported_commits = len(self.store.commits)
        if self.unreported_reads:
            write_event("reads", reads=self.unreported_reads)
            self.unreported_reads = []

    async def report_regularly(self) -> None:
        """Report every `REPORT_INTERVAL_SECONDS` until the task is cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self.report()

    async def execute(self, command: str, values: dict) -> None:
        """Execute one command and write the event `done`, preceded by `unknown` if it does not exist."""
        handler = self.handlers.get(command)
        if handler is None:
            write_event("unknown", order=command)
        else:
            await handler(values)
        self.report()
        write_event("done", order=command)

    def _selected_members(self, values: dict) -> Iterable[etcd.Member]:
        """Return the member that a command names, or all members if it names none."""
        return [self.members[int(values["member"])]] if "member" in values else self.members

    async def _put(self, values: dict) -> None:
        self.store.put(values["key"].encode(), values["value"].encode())

    async def _delete(self, values: dict) -> None:
        self.store.delete(values["key"].encode())

    async def _set_capacity(self, values: dict) -> None:
        self.capacity.rate = values.get("rate", inf)
        self.capacity.max_wait = values.get("most", inf)

    async def _delay_reads(self, values: dict) -> None:
        for member in self._selected_members(values):
            member.read_delay = values["seconds"]

    async def _silence_watches(self, values: dict) -> None:
        for member in self._selected_members(values):
            member.silences_watches = bool(values["on"])
        self.store.notify()

    async def _compact(self, _values: dict) -> None:
        self.store.compact()

    async def _stop_members(self, values: dict) -> None:
        for member in self._selected_members(values):
            await member.stop()
            self._reserve_port(member.address)

    async def _start_members(self, values: dict) -> None:
        for member in self._selected_members(values):
            await member.start()

    async def _save_backup(self, _values: dict) -> None:
        self.backup = self.store.copy()

    async def _restore_backup(self, _values: dict) -> None:
        """Restore the backup under a new cluster id and abort all connections."""
        self.store.restore(self.backup.copy(), self.store.cluster_id + 1)
        for member in self.members:
            member.abort_connections()

    async def _do_nothing(self, _values: dict) -> None:
        """Do nothing; the event `done` shows that all earlier commands have been executed."""

    def _reserve_port(self, address: tuple[str, int]) -> None:
        """Bind the port of a stopped member, so that no other server on it is taken for the member."""
        if address not in self.reserved_ports:
            reserved = socket.socket()
            self.reserved_ports[address] = reserved
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(address)


async def open_standard_input() -> asyncio.StreamReader:
    """Return a stream reader on standard input."""
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run() -> None:
    """Start the members and execute commands until standard input ends."""
    host = RegistryHost()
    gc.set_threshold(*GC_THRESHOLDS)
    await host.start()
    report_task = asyncio.create_task(host.report_regularly())
    reader = await open_standard_input()
    while line := await reader.readline():
        values = json.loads(line)
        await host.execute(values.pop("order"), values)
    report_task.cancel()
    host.report()


if __name__ == "__main__":
    uvloop.run(run())
