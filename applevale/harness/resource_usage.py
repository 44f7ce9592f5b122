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
# Indexes of fields in /proc/PID/stat, counted behind the name of the command.
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
RESIDENT_PAGES_FIELD = 21


@dataclass(frozen=True)
class ProcessUsage:
    """The processor time in seconds and the resident memory in bytes that one or more processes use."""

    cpu_seconds: float
    memory_bytes: float


def read_usage(process_id: int) -> ProcessUsage:
    """Return the processor time that a process has used so far, and its present memory."""
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ProcessUsage(
        cpu_seconds=ticks / os.sysconf("SC_CLK_TCK"),
        memory_bytes=int(fields[RESIDENT_PAGES_FIELD]) * os.sysconf("SC_PAGE_SIZE"),
    )


class UsageMeter:
    """Measures the usage of instances, harness and registry from its creation until `finish`."""

    def __init__(self, instance_ids: Sequence[int], registry_id: int):
        """Start the measurement.

        Args:
            instance_ids: The process ids of the instances.
            registry_id: The process id of the registry.
        """
        self.instance_ids = instance_ids
        self.registry_id = registry_id
        self.started_at = time.monotonic()
        self.instances_before = self._instances_usage()
        self.harness_before = sum(os.times()[:2])
        self.registry_before = read_usage(registry_id).cpu_seconds

    def finish(self, instance_ids: Sequence[int]) -> dict[str, float]:
        """Return CPU ms per second and MiB per instance, and the cores used by harness and registry.

        The last two show whether the run is valid: a harness or registry that lacks processor time distorts
        all its figures.

        Args:
            instance_ids: The process ids of the instances now, which may have been restarted.
        """
        self.instance_ids = instance_ids
        duration = time.monotonic() - self.started_at
        instances = self._instances_usage()
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

    def _instances_usage(self) -> ProcessUsage:
        usages = [read_usage(process_id) for process_id in self.instance_ids]
        return ProcessUsage(
            cpu_seconds=sum(usage.cpu_seconds for usage in usages),
            memory_bytes=sum(usage.memory_bytes for usage in usages),
        )


async def measure_imports(process_count: int, checkout: str | None) -> list[float]:
    """Start processes that only import the application, all at once; return how long each took, in seconds.

    This is the part of a fleet's start that depends on the machine alone.
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
