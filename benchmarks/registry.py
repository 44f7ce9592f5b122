"""CPU time that changes of the engine list cost the program, and its memory, for 100 to 10,000 engines.

    python -m benchmarks.registry [etcd|consul]

Changes the list for five seconds at each size and rate and prints one line: the program's CPU time per
change, how far its list was behind at the end, its resident memory and its CPU usage at rest. The fake
registry runs in this process, so only the CPU time of the program itself is counted.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from applevale.discovery.endpoints import format_instance_id
from applevale.fakes import consul, etcd
from applevale.fakes.key_value_store import KeyValueStore
from applevale.harness.default_settings import MACHINE_KINDS, ZONES
from applevale.harness.managed_process import ManagedProcess
from applevale.harness.resource_usage import BYTES_PER_MEBIBYTE, read_usage
from applevale.net.addresses import format_address

KEY_PREFIX = "applevale/engines/"
CHANGE_SECONDS = 5.0  # duration of the changes at each size and rate
IDLE_SECONDS = 2.0  # duration of the measurement at rest
SETTLE_SECONDS = 1.0
WRITE_INTERVAL_SECONDS = 0.005
START_POLL_SECONDS = 0.1
END_POLL_SECONDS = 0.02
FRESHNESS_SECONDS = 5.0
MEMBER_TYPES = {"etcd": etcd.Member, "consul": consul.Member}
SIZES_AND_RATES = ((100, 100), (1000, 100), (10_000, 100), (100, 1000), (1000, 1000), (10_000, 1000))


def encode_record(number: int, state: str) -> bytes:
    """Return the registry's record of an engine."""
    return json.dumps(
        {
            "id": format_instance_id(number),
            "address": f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7001",
            "state": state,
            "zone": ZONES[0],
            "kind": MACHINE_KINDS[0],
        }
    ).encode()


class EngineRegistry:
    """The engines that the registry lists, and their changes.

    Attributes:
        change_count: Number of changes written so far.
    """

    def __init__(self, store: KeyValueStore, engine_count: int):
        """List `engine_count` engines as ready."""
        self.store = store
        self.engine_count = engine_count
        self.change_count = 0
        for number in range(1, engine_count + 1):
            self._write(number, "ready")

    def _write(self, number: int, state: str) -> None:
        self.store.put(f"{KEY_PREFIX}{number}".encode(), encode_record(number, state))

    async def change(self, rate: int, seconds: float) -> None:
        """Change one engine after another, `rate` per second, for `seconds`."""
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) < seconds:
            while self.change_count < elapsed * rate:
                self.change_count += 1
                state = "draining" if self.change_count // self.engine_count % 2 == 0 else "ready"
                self._write(self.change_count % self.engine_count + 1, state)
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)


class ProgramMeter:
    """Measures the CPU time and memory of a program, and waits until its list is current."""

    def __init__(self, program: ManagedProcess, store: KeyValueStore):
        """Create a meter of a running program that reads from `store`."""
        self.program = program
        self.store = store

    def cpu_seconds(self) -> float:
        """Return the CPU time that the program has used."""
        return read_usage(self.program.process.pid).cpu_seconds

    def memory_mb(self) -> float:
        """Return the resident memory of the program, in MiB."""
        return read_usage(self.program.process.pid).memory_bytes / BYTES_PER_MEBIBYTE

    async def idle_share(self) -> float:
        """Return the share of a core that the program uses while nothing changes."""
        cpu_before = self.cpu_seconds()
        started_at = time.monotonic()
        await asyncio.sleep(IDLE_SECONDS)
        return (self.cpu_seconds() - cpu_before) / (time.monotonic() - started_at)

    async def wait_until_current(self, poll_seconds: float) -> None:
        """Wait until the program's list has the revision of the registry; check it every `poll_seconds`."""
        while (await self.program.counters()).get("registry_revision") != self.store.revision:
            await asyncio.sleep(poll_seconds)


async def measure(kind: str, engine_count: int, rate: int) -> str:
    """Measure one size and rate, and return the line to print.

    Args:
        kind: Kind of the registry, `etcd` or `consul`.
        engine_count: Number of engines in the list.
        rate: Changes per second.
    """
    store = KeyValueStore()
    member = MEMBER_TYPES[kind](store)
    await member.start()
    engines = EngineRegistry(store, engine_count)
    registry = {
        "kind": kind,
        "addresses": [format_address(member.address)],
        "prefix": KEY_PREFIX,
        "fresh": FRESHNESS_SECONDS,
    }
    program = ManagedProcess({"registry": registry}, "bench")
    await program.start()
    try:
        return f"{kind:6} " + await _measure_changes(ProgramMeter(program, store), engines, rate)
    finally:
        await program.stop()
        await member.stop()


async def _measure_changes(meter: ProgramMeter, engines: EngineRegistry, rate: int) -> str:
    await meter.wait_until_current(START_POLL_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    idle_share = await meter.idle_share()
    cpu_before = meter.cpu_seconds()
    started_at = time.monotonic()
    await engines.change(rate, CHANGE_SECONDS)
    ended_at = time.monotonic()
    await meter.wait_until_current(END_POLL_SECONDS)
    lag = time.monotonic() - ended_at
    cpu_seconds = meter.cpu_seconds() - cpu_before - idle_share * (time.monotonic() - started_at)
    return (
        f"{engines.engine_count:6} engines, {rate} changes/s: "
        f"{cpu_seconds / engines.change_count * 1000:6.3f} ms a change, "
        f"{lag:5.2f} s behind, {meter.memory_mb():5.0f} MB, at rest {idle_share * 100:.1f}% of a core"
    )


async def main(kind: str) -> None:
    """Print a line for each size and rate."""
    for engine_count, rate in SIZES_AND_RATES:
        print(await measure(kind, engine_count, rate), flush=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1] if len(sys.argv) > 1 else "etcd"))
