"""Steps that the scenarios of the fleet harness share."""

from __future__ import annotations

import asyncio

from ...checkers.coldstart import SESSIONS_AFTER_BREAK_SECONDS
from ..fleet import Fleet

READY_TIMEOUT_SECONDS = 60.0  # within which all are ready, with the machine's share
SETTLE_SECONDS = 2.0  # until all that a start has brought has settled
REST_SECONDS = 5.0  # that are observed at rest


async def start_all(fleet: Fleet, within: float = READY_TIMEOUT_SECONDS) -> None:
    """Start all instances at once, and wait until they are ready or that many seconds have passed."""
    await fleet.launch_all()
    await fleet.all_ready(within)


async def observe_rest(fleet: Fleet) -> None:
    """Let a start settle, then observe the fleet at rest for some seconds."""
    await asyncio.sleep(SETTLE_SECONDS)
    finish_measurement = fleet.measure_idle()
    fleet.mark("rest")
    await asyncio.sleep(REST_SECONDS)
    fleet.mark("rest_end")
    finish_measurement()


async def interrupt_registry(
    fleet: Fleet, duration: float, after: float = SESSIONS_AFTER_BREAK_SECONDS
) -> None:
    """Take the registry away from all instances, and wait until they have come back.

    Args:
        fleet: The fleet.
        duration: Seconds for which the registry is away.
        after: Seconds to wait then.
    """
    fleet.mark("break")
    await fleet.registry.order("down")
    await asyncio.sleep(duration)
    await fleet.registry.order("up")
    fleet.mark("break_end")
    await asyncio.sleep(after)


async def start_all_before_registry(fleet: Fleet, delay: float) -> None:
    """Start all instances without a registry, bring it up `delay` seconds later, and drain some engines."""
    await fleet.registry.order("down")
    await fleet.launch_all()
    await fleet.until(fleet.all_listening, READY_TIMEOUT_SECONDS)
    await asyncio.sleep(delay)
    fleet.mark("break_end")
    await fleet.registry.order("up")
    await fleet.all_ready(READY_TIMEOUT_SECONDS)
    await observe_rest(fleet)
    await fleet.engines.drain(2)
    await fleet.quiet()
