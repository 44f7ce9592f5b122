"""Processor time and memory of the processes of a fleet."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass

IMPORT_SCRIPT = (
    "import time, applevale.__main__, applevale.discovery.registry.source, "
    "applevale.discovery.registry.etcd, structlog; print(time.monotonic())"
)
BYTES_PER_MEBIBYTE = 2**20


@dataclass(frozen=True)
class ProcessUsage:
    """Processor time in seconds and resident memory in bytes."""

    cpu_seconds: float
    memory_bytes: float


def read_usage(process_id: int) -> ProcessUsage:
    """Return what a process has used so far."""
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(
        cpu_seconds=ticks / os.sysconf("SC_CLK_TCK"),
        memory_bytes=int(fields[21]) * os.sysconf("SC_PAGE_SIZE"),
    )


class UsageMeter:
    """Usage of all instances, of the harness itself and of the registry, from creation to `finish`."""

    def __init__(self, instance_ids: Sequence[int], registry_id: int):
        """Start to measure the processes with these ids."""
        self.instance_ids = instance_ids
        self.registry_id = registry_id
        self.started_at = time.monotonic()
        self.instances_before = self._instances()
        self.harness_before = sum(os.times()[:2])
        self.registry_before = read_usage(registry_id).cpu_seconds

    def finish(self, instance_ids: Sequence[int]) -> dict[str, float]:
        """Return the figures: CPU ms per second and MiB per instance, cores of harness and registry.

        A harness or a registry that has no processor time left distorts all figures of a run.

        Args:
            instance_ids: The processes of the instances by now.
        """
        self.instance_ids = instance_ids
        duration = time.monotonic() - self.started_at
        instances = self._instances()
        cpu_seconds = instances.cpu_seconds - self.instances_before.cpu_seconds
        count = len(instance_ids)
        harness = sum(os.times()[:2]) - self.harness_before
        registry = read_usage(self.registry_id).cpu_seconds - self.registry_before
        return {
            "cpu_ms_s": round(cpu_seconds * 1000 / duration / count, 2),
            "rss_mb": round(instances.memory_bytes / count / BYTES_PER_MEBIBYTE, 1),
            "rig_cores": round(harness / duration, 2),
            "service_cores": round(registry / duration, 2),
        }

    def _instances(self) -> ProcessUsage:
        each = [read_usage(process_id) for process_id in self.instance_ids]
        return ProcessUsage(
            cpu_seconds=sum(usage.cpu_seconds for usage in each),
            memory_bytes=sum(usage.memory_bytes for usage in each),
        )


async def measure_imports(process_count: int, checkout: str | None) -> list[float]:
    """Return the seconds that processes which only import the application take, all started at once.

    This is the machine's own part of the start of a fleet.
    """
    started_at = time.monotonic()
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", IMPORT_SCRIPT, stdout=asyncio.subprocess.PIPE, cwd=checkout
        )
        for _ in range(process_count)
    ]
    outputs = await asyncio.gather(*(process.communicate() for process in processes))
    return [float(output) - started_at for output, _ in outputs]
