"""What a change of the registry's list costs the program, from 100 to 10,000 engines, and its memory.

    python -m benchmarks.registry [etcd|consul]

Prints one line a size: CPU of the program per change in ms (at the rate given, for five seconds), how far
the list lay behind at the end in s, and its resident memory in MB. The stand-in runs in this process, so only
the program's own CPU time is counted.
"""

import asyncio
import json
import os
import sys
import time

from applevale.fakes import consul, etcd
from applevale.fakes.key_value_store import KeyValueStore
from applevale.harness.default_settings import MACHINE_KINDS, ZONES
from applevale.harness.managed_process import ManagedProcess

PREFIX = "applevale/engines/"
SECONDS = 5.0


def record(number: int, state: str) -> bytes:
    return json.dumps(
        {
            "id": f"s-{number:08x}",
            "address": f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7001",
            "state": state,
            "zone": ZONES[0],
            "kind": MACHINE_KINDS[0],
        }
    ).encode()


def cpu(process: int) -> float:
    """s of CPU that a process has taken."""
    with open(f"/proc/{process}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory(process: int) -> float:
    with open(f"/proc/{process}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def measure(kind: str, engines: int, rate: int) -> str:
    store = KeyValueStore()
    member = {"etcd": etcd, "consul": consul}[kind].Member(store)
    await member.start()
    for number in range(1, engines + 1):
        store.put(f"{PREFIX}{number}".encode(), record(number, "ready"))
    address = f"{member.address[0]}:{member.address[1]}"
    registry = {"kind": kind, "addresses": [address], "prefix": PREFIX, "fresh": 5.0}
    program = ManagedProcess({"registry": registry}, "bench")
    await program.start()
    try:
        while (await program.counters()).get("registry_revision") != store.revision:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        rest, began = cpu(program.process.pid), time.monotonic()
        await asyncio.sleep(2.0)
        rest = (cpu(program.process.pid) - rest) / (time.monotonic() - began)
        before, began, changes = cpu(program.process.pid), time.monotonic(), 0
        while (spent := time.monotonic() - began) < SECONDS:
            while changes < spent * rate:
                changes += 1
                state = "draining" if changes // engines % 2 == 0 else "ready"
                number = changes % engines + 1
                store.put(f"{PREFIX}{number}".encode(), record(number, state))
            await asyncio.sleep(0.005)
        ended = time.monotonic()
        while (await program.counters())["registry_revision"] != store.revision:
            await asyncio.sleep(0.02)
        behind = time.monotonic() - ended
        spent = cpu(program.process.pid) - before
        each = (spent - rest * (time.monotonic() - began)) / changes * 1000
        return (
            f"{kind:6} {engines:6} engines, {rate} changes/s: {each:6.3f} ms a change, "
            f"{behind:5.2f} s behind, {memory(program.process.pid):5.0f} MB, "
            f"at rest {rest * 100:.1f}% of a core"
        )
    finally:
        await program.stop()
        await member.stop()


async def main(kind: str) -> None:
    for engines, rate in ((100, 100), (1000, 100), (10_000, 100), (100, 1000), (1000, 1000), (10_000, 1000)):
        print(await measure(kind, engines, rate), flush=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1] if len(sys.argv) > 1 else "etcd"))
