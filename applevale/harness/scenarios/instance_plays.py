"""Scenarios about instances, engines and the network between them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ...fault_injection.link_conditions import LinkCondition
from ...fault_injection.scenarios import SCENARIOS, scenario_steps
from ...fault_injection.schedule import ApplyLinkCondition, KillProcess, TerminateProcess, draw_schedule
from ..fleet import Fleet
from .steps import READY_TIMEOUT_SECONDS, observe_rest, start_all, start_all_before_registry

CONVERGENCE_SECONDS = 6.0  # behind the last fault among members, within which all views agree


async def cut_third(fleet: Fleet) -> None:
    """A third of the instances is cut off from the registry for 6 s."""
    await start_all(fleet)
    await observe_rest(fleet)
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
    await fleet.quiet()


async def crash_loop(fleet: Fleet) -> None:
    """Half of the instances crash and start again every 2 s."""
    await start_all(fleet)
    await observe_rest(fleet)
    half = [instance.name for instance in fleet.instances[: len(fleet.instances) // 2]]
    fleet.mark("crashes")
    await fleet.play([KillProcess(at=2.0 * turn, processes=half, restart_after=0.1) for turn in range(5)])
    fleet.mark("crashes_end")
    await fleet.all_ready(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(3.0)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def rolling(fleet: Fleet) -> None:
    """A release: each is ended and started anew, a tenth at a time."""
    await start_all(fleet)
    await observe_rest(fleet)
    names = [instance.name for instance in fleet.instances]
    step = max(1, len(names) // 10)
    for first in range(0, len(names), step):
        await fleet.play([TerminateProcess(at=0, processes=names[first : first + step], restart_after=0.1)])
        await fleet.all_ready(READY_TIMEOUT_SECONDS)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def cold_site(fleet: Fleet) -> None:
    """Engines cold and instances cold together: the whole site comes up."""
    await start_all(fleet)
    await asyncio.sleep(8.0)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def cold_push(fleet: Fleet) -> None:
    """More is asked for than cold engines bear: all instances together stay within their budget."""
    await start_all(fleet)
    await asyncio.sleep(12.0)


async def eager(fleet: Fleet) -> None:
    """Clients come before anyone is ready, and repeat at once what is refused."""
    await start_all_before_registry(fleet, 4.0)


async def engines_cut(fleet: Fleet) -> None:
    """The network to all engines is away for 3 s: every link breaks at once."""
    await start_all(fleet)
    await asyncio.sleep(6.0)
    await observe_rest(fleet)
    await fleet.play(
        [
            ApplyLinkCondition(
                at=0, sources=["n*"], targets=["e*"], condition=LinkCondition(refuse=True), duration=3.0
            )
        ]
    )
    await asyncio.sleep(8.0)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def snapshots(fleet: Fleet) -> None:
    """All are killed at once and come back with the list that they kept: confirmed by its revision alone."""
    await start_all(fleet)
    await asyncio.sleep(3.0)  # until each has kept its list
    await fleet.play([KillProcess(at=0, processes=["n*"], restart_after=0.1)])
    fleet.mark("again")
    await fleet.all_ready(READY_TIMEOUT_SECONDS)
    await observe_rest(fleet)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def schedule(fleet: Fleet) -> None:
    """The steps of a file, or drawn from the seed, with drains beside them all the time."""
    steps = list(fleet.plan.schedule) or draw_schedule(fleet.plan.seed, fleet.plan.nodes)
    await start_all(fleet)
    await observe_rest(fleet)
    playing = asyncio.create_task(fleet.play(steps))
    try:
        while not playing.done():
            await fleet.engines.drain(1)
        await playing
    finally:
        playing.cancel()
    await fleet.all_ready(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(8.0)  # trials of the staleness guarantee, one after the other
    await fleet.engines.drain(2)
    await fleet.quiet()


def membership_play(name: str) -> Callable[[Fleet], Awaitable[None]]:
    """Return the scenario of a fault among members, by its name in `SCENARIOS`."""

    async def play(fleet: Fleet) -> None:
        await start_all(fleet)
        await fleet.until(
            lambda: all(instance.member_status == "well" for instance in fleet.instances),
            READY_TIMEOUT_SECONDS,
        )
        await asyncio.sleep(3.0)
        fleet.mark("joined")
        steps = scenario_steps(name, fleet.plan.nodes, fleet.plan.seed)
        await fleet.play(steps)
        await asyncio.sleep(CONVERGENCE_SECONDS)

    play.__doc__ = SCENARIOS[name].__doc__ or f"Among members: {name}."
    return play
