"""The engines of a fleet, and the list of them in the registry."""

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
RECENT_SECONDS = 2.0
RECENT_ARRIVALS = 100
MAX_DRAINED_MESSAGES = 300  # messages that the registry can send to all instances in a moment
DRAIN_SECONDS = 1.0
PAUSE_AFTER_DRAIN_SECONDS = 0.5

Expose = Callable[[str, Address], Awaitable[Address]]


class FleetEngines:
    """The engines `e0`... of a fleet.

    Attributes:
        fakes: The engines.
        addresses: Where instances reach each of them: itself, or a proxy before it.
        states: The state of each engine as it was last written.
    """

    def __init__(self, plan: FleetPlan, registry: RegistryProcess, random: Random):
        """Prepare the engines of a plan; nothing is started yet.

        Args:
            plan: What the fleet consists of.
            registry: Where the engines are listed.
            random: Draws how long they execute each attempt.
        """
        self.plan = plan
        self.registry = registry
        self.random = random
        self.fakes: list[ColdEngine] = []
        self.addresses: list[Address] = []
        self.states: dict[int, EngineState] = {}

    async def start(self, expose: Expose) -> None:
        """Start all engines and list them as ready.

        Args:
            expose: Returns where instances reach a server, from its name and its own address.
        """
        for number in range(self.plan.engines):
            engine = ColdEngine(Random(self.random.random()))
            await engine.start()
            self.fakes.append(engine)
            self.addresses.append(await expose(f"e{number}", engine.address))
        for number in range(self.plan.engines):
            if number < self.plan.cold:
                self.fakes[number].started_at = time.monotonic()
            await self.set_state(number, EngineState.READY)

    async def stop(self) -> None:
        """Stop all engines."""
        for engine in self.fakes:
            await engine.stop()

    async def set_state(self, number: int, state: EngineState) -> None:
        """Write one engine into the registry; the state `GONE` deletes it."""
        key = f"{ENGINE_KEY_PREFIX}{number}"
        self.states[number] = state
        if state is EngineState.GONE:
            await self.registry.order("delete", key=key)
            return
        await self.registry.order("put", key=key, value=json.dumps(self._record(number, state)))

    def _record(self, number: int, state: EngineState) -> dict:
        started = 0.0
        if number < self.plan.cold:
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
        """Drain the busiest engines, some at a time, and bring them back; `count` times.

        They are no more than the fake registry can report to all instances in a moment, as each change is a
        message to each of them.
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
                arrival.received_at >= since for arrival in self.fakes[number].arrivals[-RECENT_ARRIVALS:]
            )

        order = sorted(range(self.plan.engines), reverse=True, key=recent_arrivals)
        return order[: max(1, min(self.plan.engines // 10, MAX_DRAINED_MESSAGES // self.plan.nodes))]

    def digest(self) -> int:
        """Return the digest of the list as it was written, without use of the application's own digest."""
        lines = sorted(
            f"{number + 1:08x} {state.value} {self.addresses[number]}"
            for number, state in self.states.items()
            if state is not EngineState.GONE
        )
        return crc32("\n".join(lines).encode())
