"""Scenarios of the fleet harness with faults of instances, engines and the network."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ...fault_injection.link_conditions import LinkCondition
from ...fault_injection.scenarios import SCENARIOS, scenario_steps
from ...fault_injection.schedule import ApplyLinkCondition, KillProcess, TerminateProcess, draw_schedule
from ..fleet import Fleet
from .steps import (
    GUARANTEE_RECOVERY_SECONDS,
    READY_TIMEOUT_SECONDS,
    measure_at_rest,
    start_and_wait_until_ready,
    start_before_registry,
)

VIEW_CONVERGENCE_SECONDS = 6.0  # after the last fault, for all membership views to agree
SNAPSHOT_SECONDS = 3.0  # for all instances to store a snapshot of the engine list


async def cut_off_third(fleet: Fleet) -> None:
    """The network cuts off a third of the instances from the registry for 6 s."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    third = [instance.name for instance in fleet.instances[: max(1, len(fleet.instances) // 3)]]
    cut = asyncio.create_task(
        fleet.play(
            [
                ApplyLinkCondition(
                    at=0, sources=third, targets=["list*"], condition=LinkCondition(cut=True), duration=6.0
                ),
                ApplyLinkCondition(
                    at=0, sources=["list*"], targets=third, condition=LinkCondition(cut=True), duration=6.0
                ),
            ]
        )
    )
    await asyncio.sleep(1.0)
    await fleet.engines.drain(3)
    await cut
    await asyncio.sleep(6.0)
    await fleet.engines.drain(1)
    await fleet.wait_for_convergence()


async def crash_loop(fleet: Fleet) -> None:
    """Half of the instances crash and restart every 2 s, five times."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    half = [instance.name for instance in fleet.instances[: len(fleet.instances) // 2]]
    fleet.mark("crashes")
    await fleet.play([KillProcess(at=2.0 * turn, processes=half, restart_after=0.1) for turn in range(5)])
    fleet.mark("crashes_end")
    await fleet.wait_until_ready(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(3.0)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def rolling_restart(fleet: Fleet) -> None:
    """All instances are restarted, a tenth of them at a time, as in a release."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    names = [instance.name for instance in fleet.instances]
    step = max(1, len(names) // 10)
    for first in range(0, len(names), step):
        await fleet.play([TerminateProcess(at=0, processes=names[first : first + step], restart_after=0.1)])
        await fleet.wait_until_ready(READY_TIMEOUT_SECONDS)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def cold_site_start(fleet: Fleet) -> None:
    """All engines and instances of a site start together, and all are cold."""
    await start_and_wait_until_ready(fleet)
    await asyncio.sleep(8.0)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def overload_cold_engines(fleet: Fleet) -> None:
    """Clients send more than cold engines can bear; all instances together must not overload an engine."""
    await start_and_wait_until_ready(fleet)
    await asyncio.sleep(12.0)


async def resend_rejected_requests(fleet: Fleet) -> None:
    """Clients connect before any instance is ready, and resend rejected requests at once."""
    await start_before_registry(fleet, 4.0)


async def engine_network_outage(fleet: Fleet) -> None:
    """The network to all engines fails for 3 s, which breaks all connections at once."""
    await start_and_wait_until_ready(fleet)
    await asyncio.sleep(6.0)
    await measure_at_rest(fleet)
    await fleet.play(
        [
            ApplyLinkCondition(
                at=0, sources=["n*"], targets=["e*"], condition=LinkCondition(refuse=True), duration=3.0
            )
        ]
    )
    await asyncio.sleep(8.0)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def restart_from_snapshots(fleet: Fleet) -> None:
    """All instances are killed at once; they restart from snapshots, confirmed by the revision alone."""
    await start_and_wait_until_ready(fleet)
    await asyncio.sleep(SNAPSHOT_SECONDS)
    await fleet.play([KillProcess(at=0, processes=["n*"], restart_after=0.1)])
    fleet.mark("again")
    await fleet.wait_until_ready(READY_TIMEOUT_SECONDS)
    await measure_at_rest(fleet)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def scheduled_faults(fleet: Fleet) -> None:
    """The fault schedule of the plan, or one drawn from the seed, is executed while engines are drained."""
    steps = list(fleet.plan.fault_steps) or draw_schedule(fleet.plan.seed, fleet.plan.instance_count)
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    playing = asyncio.create_task(fleet.play(steps))
    try:
        while not playing.done():
            await fleet.engines.drain(1)
        await playing
    finally:
        playing.cancel()
    await fleet.wait_until_ready(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(GUARANTEE_RECOVERY_SECONDS)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


def membership_scenario(name: str) -> Callable[[Fleet], Awaitable[None]]:
    """Return the fleet scenario for a membership scenario, by its name in `SCENARIOS`."""

    async def play(fleet: Fleet) -> None:
        await start_and_wait_until_ready(fleet)
        await fleet.wait_until(
            lambda: all(instance.member_status == "well" for instance in fleet.instances),
            READY_TIMEOUT_SECONDS,
        )
        await asyncio.sleep(3.0)
        fleet.mark("joined")
        steps = scenario_steps(name, fleet.plan.instance_count, fleet.plan.seed)
        await fleet.play(steps)
        await asyncio.sleep(VIEW_CONVERGENCE_SECONDS)

    play.__doc__ = SCENARIOS[name].__doc__ or f"The membership scenario {name}."
    return play
