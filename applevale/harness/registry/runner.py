"""Runner of the registry harness, which tests both kinds of registry side by side."""

from __future__ import annotations

import asyncio
from random import Random

from .environment import MEMBER_TYPES, ScenarioEnvironment
from .evaluation import has_passed, print_failure_report, run_figures
from .scenario import RegistryScenario


async def run(seed: int, seconds: float, entry_point: tuple[str, ...] = ()) -> dict:
    """Run the script once, and return the figures with `ok`; report failures on standard error.

    Args:
        seed: Seed of all random draws.
        seconds: Duration of the script.
        entry_point: Module to run in place of the application, and its arguments, for planted faults.
    """
    random = Random(seed)
    environments = [ScenarioEnvironment(kind, Random(random.random()), entry_point) for kind in MEMBER_TYPES]
    scenarios = [RegistryScenario(environment) for environment in environments]
    counters: list[dict] = []
    try:
        await asyncio.gather(*(environment.start() for environment in environments))
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(scenario.play(until) for scenario in scenarios))
    finally:
        counters = await asyncio.gather(*(environment.stop() for environment in environments))
    figures = run_figures(environments, counters)
    ok = has_passed(figures)
    if not ok:
        for environment in environments:
            print_failure_report(environment)
    return {"rig": "registry", "ok": ok, "seed": seed, "seconds": seconds, **figures}
