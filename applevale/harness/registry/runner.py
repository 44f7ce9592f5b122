"""One run of the registry harness: both kinds of registry side by side."""

from __future__ import annotations

import asyncio
from random import Random

from .environment import MEMBER_TYPES, ScenarioEnvironment
from .evaluation import is_sound, print_explanation, run_figures
from .scenario import RegistryScenario


async def run(seed: int, seconds: float, entry: tuple[str, ...] = ()) -> dict:
    """Play the script for `seconds`; return the figures, with `ok`.

    Args:
        seed: Decides all that is drawn.
        seconds: How long it plays.
        entry: Another module to run as the application, for planted faults.
    """
    random = Random(seed)
    environments = [ScenarioEnvironment(kind, Random(random.random()), entry) for kind in MEMBER_TYPES]
    scenarios = [RegistryScenario(environment) for environment in environments]
    counters: list[dict] = []
    try:
        await asyncio.gather(*(environment.start() for environment in environments))
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(scenario.play(until) for scenario in scenarios))
    finally:
        counters = await asyncio.gather(*(environment.stop() for environment in environments))
    figures = run_figures(environments, counters)
    ok = is_sound(figures)
    if not ok:
        for environment in environments:
            print_explanation(environment)
    return {"rig": "registry", "ok": ok, "seed": seed, "seconds": seconds, **figures}
