"""Scenarios about the registry: starts against it, its outages, slowness and loss of changes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ...api import EngineState
from ...checkers.coldstart import SESSIONS_AFTER_BREAK_SECONDS
from ..fleet import Fleet
from .steps import (
    READY_TIMEOUT_SECONDS,
    interrupt_registry,
    observe_rest,
    start_all,
    start_all_before_registry,
)


async def coldstart(fleet: Fleet) -> None:
    """All at once, to rest; drains; the registry away for 1 s."""
    await start_all(fleet)
    await observe_rest(fleet)
    await fleet.engines.drain(3)
    await interrupt_registry(fleet, 1.0)
    await fleet.quiet()


async def late_service(fleet: Fleet) -> None:
    """The instances come first, the registry 20 s later."""
    await start_all_before_registry(fleet, 20.0)


async def restart(fleet: Fleet) -> None:
    """The registry is restarted under all of them, three times."""
    await start_all(fleet)
    await observe_rest(fleet)
    for _ in range(2):
        await interrupt_registry(fleet, 0.3, 3.0)
    await interrupt_registry(fleet, 3.0)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def scarce(fleet: Fleet) -> None:
    """The registry takes 50 reads a second, or 1.25 an instance, and refuses the rest; then as ever."""
    await fleet.registry.order("capacity", rate=min(50.0, 1.25 * fleet.plan.nodes), most=0.1)
    await fleet.launch_all()
    await asyncio.sleep(25.0)
    await fleet.engines.drain(2)
    await fleet.registry.order("capacity", rate=fleet.plan.capacity)
    await fleet.all_ready(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(8.0)  # trials of the staleness guarantee, one after the other
    await observe_rest(fleet)
    await fleet.engines.drain(2)
    await fleet.quiet()


def slow_registry(seconds: float) -> Callable[[Fleet], Awaitable[None]]:
    """Return the scenario of a registry whose every answer takes that many seconds for a while."""

    async def slow(fleet: Fleet) -> None:
        """All at rest, then every answer of the registry takes that long, then none does."""
        await start_all(fleet)
        await observe_rest(fleet)
        await fleet.registry.order("late", seconds=seconds)
        fleet.mark("slow")
        await asyncio.sleep(3.0)
        await fleet.engines.drain(2)
        await asyncio.sleep(5.0)
        fleet.mark("slow_end")
        await fleet.registry.order("late", seconds=0.0)
        await asyncio.sleep(12.0)
        await fleet.engines.drain(1)
        await fleet.quiet()

    return slow


async def slow_member(fleet: Fleet) -> None:
    """One member of three takes 0.3 s for each answer."""
    await start_all(fleet)
    await observe_rest(fleet)
    fleet.mark("slow")
    await fleet.registry.order("late", seconds=0.3, member=0)
    await asyncio.sleep(5.0)
    fleet.mark("slow_end")
    await fleet.engines.drain(2)
    await fleet.quiet()


async def restore(fleet: Fleet) -> None:
    """The registry comes back from a backup that knows less."""
    await start_all(fleet)
    await fleet.registry.order("keep")
    kept = dict(fleet.engines.states)
    await fleet.engines.drain(1)
    await fleet.engines.set_state(0, EngineState.GONE)
    await observe_rest(fleet)
    fleet.mark("break")
    await fleet.registry.order("restore")
    fleet.engines.states = kept
    fleet.mark("break_end")
    await asyncio.sleep(SESSIONS_AFTER_BREAK_SECONDS)
    await fleet.engines.drain(2)
    await fleet.quiet()


async def away(fleet: Fleet) -> None:
    """The registry is away for a minute; its return is no second cold start."""
    await start_all(fleet)
    await observe_rest(fleet)
    await interrupt_registry(fleet, 60.0)
    await fleet.engines.drain(2)
    await fleet.quiet()
