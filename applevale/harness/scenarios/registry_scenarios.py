"""Scenarios of the fleet harness with starts, outages, slowness and restores of the registry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ...api import EngineState
from ...checkers.coldstart import SESSIONS_AFTER_BREAK_SECONDS
from ..fleet import Fleet
from .steps import (
    GUARANTEE_RECOVERY_SECONDS,
    READY_TIMEOUT_SECONDS,
    interrupt_registry,
    measure_at_rest,
    start_and_wait_until_ready,
    start_before_registry,
)


async def cold_start(fleet: Fleet) -> None:
    """All instances start at once; then engines are drained and the registry is down for 1 s."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    await fleet.engines.drain(3)
    await interrupt_registry(fleet, 1.0)
    await fleet.wait_for_convergence()


async def late_registry(fleet: Fleet) -> None:
    """The instances start first, and the registry 20 s later."""
    await start_before_registry(fleet, 20.0)


async def restart_registry(fleet: Fleet) -> None:
    """The registry is restarted three times while all instances run."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    for _ in range(2):
        await interrupt_registry(fleet, 0.3, 3.0)
    await interrupt_registry(fleet, 3.0)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def scarce_registry_reads(fleet: Fleet) -> None:
    """The registry serves few reads per second during the start, and its full capacity afterwards.

    It serves 50 reads per second, or 1.25 per instance if that is less, and rejects all others.
    """
    await fleet.registry.send_command("capacity", rate=min(50.0, 1.25 * fleet.plan.instance_count), most=0.1)
    await fleet.launch_all()
    await asyncio.sleep(25.0)
    await fleet.engines.drain(2)
    await fleet.registry.send_command("capacity", rate=fleet.plan.registry_reads_per_second)
    await fleet.wait_until_ready(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(GUARANTEE_RECOVERY_SECONDS)
    await measure_at_rest(fleet)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


def slow_registry(seconds: float) -> Callable[[Fleet], Awaitable[None]]:
    """Return the scenario of a registry whose responses are delayed by `seconds` for a while."""

    async def slow(fleet: Fleet) -> None:
        """All responses of the registry are delayed for a while; meanwhile engines are drained."""
        await start_and_wait_until_ready(fleet)
        await measure_at_rest(fleet)
        await fleet.registry.send_command("late", seconds=seconds)
        fleet.mark("slow")
        await asyncio.sleep(3.0)
        await fleet.engines.drain(2)
        await asyncio.sleep(5.0)
        fleet.mark("slow_end")
        await fleet.registry.send_command("late", seconds=0.0)
        await asyncio.sleep(12.0)
        await fleet.engines.drain(1)
        await fleet.wait_for_convergence()

    return slow


async def slow_registry_member(fleet: Fleet) -> None:
    """One of the three registry members delays each response by 0.3 s."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    fleet.mark("slow")
    await fleet.registry.send_command("late", seconds=0.3, member=0)
    await asyncio.sleep(5.0)
    fleet.mark("slow_end")
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def restore_registry(fleet: Fleet) -> None:
    """The registry is restored from a backup that lacks the latest changes."""
    await start_and_wait_until_ready(fleet)
    await fleet.registry.send_command("keep")
    backed_up_states = dict(fleet.engines.states)
    await fleet.engines.drain(1)
    await fleet.engines.set_state(0, EngineState.GONE)
    await measure_at_rest(fleet)
    fleet.mark("break")
    await fleet.registry.send_command("restore")
    fleet.engines.states = backed_up_states
    fleet.mark("break_end")
    await asyncio.sleep(SESSIONS_AFTER_BREAK_SECONDS)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()


async def long_registry_outage(fleet: Fleet) -> None:
    """The registry is down for a minute; its return must not cause the load of another cold start."""
    await start_and_wait_until_ready(fleet)
    await measure_at_rest(fleet)
    await interrupt_registry(fleet, 60.0)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()
