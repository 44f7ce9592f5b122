"""The script of the registry harness: changes to the list and failures, with quiet points between them."""

from __future__ import annotations

import asyncio

from .environment import ScenarioEnvironment
from .fault_injector import FaultInjector

ROUND_SECONDS = 8.0  # between two quiet points
FAULT_SHARE = 0.5  # of the changes, that come with a failure
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.6


class RegistryScenario:
    """Plays changes and failures in an environment."""

    def __init__(self, environment: ScenarioEnvironment):
        """Prepare the script of an environment."""
        self.environment = environment
        self._fault_injector = FaultInjector(environment)

    async def play(self, until: float) -> None:
        """Play under the clients' load, until that time by the event loop's clock."""
        loop = asyncio.get_running_loop()
        load = asyncio.create_task(self.environment.clients.run(until))
        while loop.time() < until:
            await self._play_round(min(until, loop.time() + ROUND_SECONDS))
            await self.environment.reach_quiet_point()
        await load

    async def _play_round(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        random = self.environment.random
        while loop.time() < until:
            self.environment.engine_list.change_one()
            if random.random() < FAULT_SHARE:
                await self._fault_injector.inject()
            await asyncio.sleep(random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
