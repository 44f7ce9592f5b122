"""The script of the registry harness: changes to the engine list, faults, and quiet points between them."""

from __future__ import annotations

import asyncio

from .environment import ScenarioEnvironment
from .fault_injector import FaultInjector

QUIET_POINT_INTERVAL_SECONDS = 8.0
FAULT_PROBABILITY = 0.5  # that a change is followed by a fault
MIN_PAUSE_SECONDS = 0.1  # between two changes
MAX_PAUSE_SECONDS = 0.6


class RegistryScenario:
    """Changes the engine list and injects faults in an environment."""

    def __init__(self, environment: ScenarioEnvironment):
        """Prepare the script for an environment."""
        self.environment = environment
        self._fault_injector = FaultInjector(environment)

    async def play(self, until: float) -> None:
        """Run the script under the load of the clients.

        Args:
            until: End of the run, by the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        client_task = asyncio.create_task(self.environment.clients.run(until))
        while loop.time() < until:
            await self._play_round(min(until, loop.time() + QUIET_POINT_INTERVAL_SECONDS))
            await self.environment.reach_quiet_point()
        await client_task

    async def _play_round(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        random = self.environment.random
        while loop.time() < until:
            self.environment.engine_list.change_one()
            if random.random() < FAULT_PROBABILITY:
                await self._fault_injector.inject()
            await asyncio.sleep(random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
