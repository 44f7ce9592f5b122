"""A list service in a process of its own, for rigs of many programs: python -m applevale.fakes.listhost.

Three etcd-like members of one store behind one capacity. Orders come as JSON lines on standard input; what
happened goes out as JSON lines on standard output: commits, sessions, and the reads of each tenth of a
second. Times are of the steady clock, which all processes of a machine share. It ends with its input.
"""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import sys
import time
from math import inf

import uvloop

from . import etcd
from .service_capacity import ServiceCapacity
from .store import Store

MEMBERS = 3
TOLD_EVERY = 0.1  # s


class Host:
    def __init__(self) -> None:
        self.store, self.capacity = Store(time.monotonic), ServiceCapacity()
        self.members = [etcd.Member(self.store, capacity=self.capacity) for _ in range(MEMBERS)]
        self.backup: Store | None = None
        self.told = 0  # commits
        self.reads: list[list] = []
        self.held: dict[tuple[str, int], socket.socket] = {}  # bound, not listening
        for at, member in enumerate(self.members):
            member.seen = lambda read, at=at: self.reads.append(
                [round(read.at, 5), round(read.out, 5), read.caller, at, read.whole, read.answered]
            )
            member.turned = lambda caller, opened, at=at: self.say(
                "session" if opened else "session_end", caller=caller, member=at
            )

    def say(self, event: str, **fields: object) -> None:
        print(json.dumps({"event": event, "at": time.monotonic(), **fields}), flush=True)

    def tell(self) -> None:
        for at, version in self.store.commits[self.told :]:
            value = None if version.value is None else version.value.decode(errors="replace")
            self.say("commit", committed=at, key=version.key.decode(), revision=version.revision, value=value)
        self.told = len(self.store.commits)
        if self.reads:
            self.say("reads", reads=self.reads)
            self.reads = []

    async def telling(self) -> None:
        while True:
            await asyncio.sleep(TOLD_EVERY)
            self.tell()

    def hold(self, address: tuple[str, int]) -> None:
        """Guards the port of a member that is away: another's server on it would be taken for the member."""
        if address not in self.held:
            sock = self.held[address] = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)

    async def do(self, order: str, **values: object) -> None:
        """One order; each answers by an event `done`."""
        which = [self.members[int(values["member"])]] if "member" in values else self.members
        match order:
            case "put":
                self.store.put(values["key"].encode(), values["value"].encode())
            case "delete":
                self.store.delete(values["key"].encode())
            case "capacity":
                self.capacity.rate, self.capacity.max_wait = values.get("rate", inf), values.get("most", inf)
            case "late":
                for member in which:
                    member.late = values["seconds"]
            case "mute":
                for member in which:
                    member.mute = bool(values["on"])
                self.store.wake()
            case "compact":
                self.store.compact()
            case "down":
                for member in which:
                    await member.stop()
                    self.hold(member.address)
            case "up":
                for member in which:
                    await member.start()
            case "keep":
                self.backup = self.store.copy()
            case "restore":  # the members come back from a backup, under a new cluster id
                self.store.restore(self.backup.copy(), self.store.cluster + 1)
                for member in self.members:
                    for transport in list(member.transports):
                        transport.abort()
            case "sync":
                pass
            case _:
                self.say("unknown", order=order)
        self.tell()
        self.say("done", order=order)


async def run() -> None:
    host = Host()
    gc.set_threshold(100_000, 50, 1_000_000)  # a full collection stops it for longer than members ever do
    for member in host.members:
        await member.start()
    host.say("serving", addresses=[list(member.address) for member in host.members])
    telling = asyncio.create_task(host.telling())
    reader = asyncio.StreamReader(limit=1 << 22)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        await host.do(**json.loads(line))
    telling.cancel()
    host.tell()


if __name__ == "__main__":
    uvloop.run(run())
