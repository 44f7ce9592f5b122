"""Runner of the operations harness."""

from __future__ import annotations

from random import Random

from .environment import OperationsEnvironment
from .script import OperationsScenario

PHASE_COUNT = 6
MIN_PHASE_SECONDS = 1.0


async def run(seed: int, seconds: float) -> dict:
    """Run the script once, and return its result.

    Args:
        seed: Seed of all random draws.
        seconds: Approximate duration of the run.

    Returns:
        The figures, with `ok` and the names of the failed checks under `broken`.
    """
    phase_seconds = max(seconds / PHASE_COUNT, MIN_PHASE_SECONDS)
    environment = OperationsEnvironment(Random(seed))
    try:
        await environment.start_engines()
        observed = await OperationsScenario(environment, phase_seconds).run()
    finally:
        await environment.stop()
    checks = observed.checks()
    return {
        "rig": "ops",
        "ok": all(checks.values()),
        "seed": seed,
        "seconds": seconds,
        "broken": sorted(name for name, holds in checks.items() if not holds),
        **observed.figures(),
    }
