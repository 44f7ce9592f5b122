"""The fake engines of a fleet and their records in the registry."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from random import Random
from zlib import crc32

from ..api import EngineState
from ..discovery.endpoints import format_instance_id
from ..fakes.cold_engine import ColdEngine
from ..net.addresses import Address, format_address
from .default_settings import MACHINE_KINDS, ZONES
from .fleet_plan import FleetPlan
from .registry_process import RegistryProcess

ENGINE_KEY_PREFIX = "applevale/engines/"
RECENT_SECONDS = 2.0  # the time over which the load of an engine is counted
MAX_RECENT_ARRIVALS = 100
MAX_WATCH_MESSAGES = 300  # watch messages that the fake registry can send to the whole fleet at once
DRAIN_SECONDS = 1.0
PAUSE_AFTER_DRAIN_SECONDS = 0.5

Expose = Callable[[str, Address], Awaitable[Address]]


class FleetEngines:
    """The fake engines of a fleet, named `e0`...

    Attributes:
        fakes: The fake engines, by number.
        addresses: The address at which instances reach each engine: its own, or that of its proxy.
        states: The state of each engine that was last written to the registry, by number.
    """

    def __init__(self, plan: FleetPlan, registry: RegistryProcess, random: Random):
        """Prepare the engines without starting them.

        Args:
            plan: The plan of the fleet.
            registry: The registry that lists the engines.
            random: Source of the seeds of the engines.
        """
        self.plan = plan
        self.registry = registry
        self.random = random
        self.fakes: list[ColdEngine] = []
        self.addresses: list[Address] = []
        self.states: dict[int, EngineState] = {}

    async def start(self, expose: Expose) -> None:
        """Start all engines and write them to the registry as ready.

        Args:
            expose: Returns the address at which instances reach a server, given its name and own address.
        """
        for number in range(self.plan.engine_count):
            engine = ColdEngine(Random(self.random.random()))
            await engine.start()
            self.fakes.append(engine)
            self.addresses.append(await expose(f"e{number}", engine.address))
        for number in range(self.plan.engine_count):
            if number < self.plan.cold_engine_count:
                self.fakes[number].started_at = time.monotonic()
            await self.set_state(number, EngineState.READY)

    async def stop(self) -> None:
        """Stop all engines."""
        for engine in self.fakes:
            await engine.stop()

    async def set_state(self, number: int, state: EngineState) -> None:
        """Write the record of one engine to the registry; the state `GONE` deletes it."""
        key = f"{ENGINE_KEY_PREFIX}{number}"
        self.states[number] = state
        if state is EngineState.GONE:
            await self.registry.send_command("delete", key=key)
            return
        await self.registry.send_command("put", key=key, value=json.dumps(self._record(number, state)))

    def _record(self, number: int, state: EngineState) -> dict:
        started = 0.0
        if number < self.plan.cold_engine_count:
            started = time.time() - (time.monotonic() - self.fakes[number].started_at)
        return {
            "id": format_instance_id(number + 1),
            "address": format_address(self.addresses[number]),
            "state": state.value,
            "zone": ZONES[number % len(ZONES)],
            "kind": MACHINE_KINDS[0],
            "started": started,
        }

    async def drain(self, count: int) -> None:
        """Drain the busiest engines together, then make them ready again; repeat this `count` times.

        At most a tenth of the engines are drained together, but at least one. There may be fewer, because the
        registry sends each change to each instance, and `MAX_WATCH_MESSAGES` limits these messages.
        """
        for _ in range(count):
            busiest = self._busiest()
            for number in busiest:
                await self.set_state(number, EngineState.DRAINING)
            await asyncio.sleep(DRAIN_SECONDS)
            for number in busiest:
                await self.set_state(number, EngineState.READY)
            await asyncio.sleep(PAUSE_AFTER_DRAIN_SECONDS)

    def _busiest(self) -> list[int]:
        since = time.monotonic() - RECENT_SECONDS

        def recent_arrivals(number: int) -> int:
            return sum(
                arrival.received_at >= since for arrival in self.fakes[number].arrivals[-MAX_RECENT_ARRIVALS:]
            )

        order = sorted(range(self.plan.engine_count), reverse=True, key=recent_arrivals)
        count = min(self.plan.engine_count // 10, MAX_WATCH_MESSAGES // self.plan.instance_count)
        return order[: max(1, count)]

    def digest(self) -> int:
        """Return the digest of the engine list in the registry, without the application's digest code."""
        lines = sorted(
            f"{number + 1:08x} {state.value} {self.addresses[number]}"
            for number, state in self.states.items()
            if state is not EngineState.GONE
        )
        return crc32("\n".join(lines).encode())
