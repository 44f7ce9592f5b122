"""Steps shared by the scenarios of the fleet harness."""

from __future__ import annotations

import asyncio

from ...checkers.coldstart import SESSIONS_AFTER_BREAK_SECONDS
from ..fleet import Fleet

READY_TIMEOUT_SECONDS = 60.0  # for all instances of a fleet on one machine
SETTLE_SECONDS = 2.0  # after a start, before the fleet counts as at rest
GUARANTEE_RECOVERY_SECONDS = 8.0  # for successive trials to restore the staleness guarantee
REST_SECONDS = 5.0  # for which the fleet is measured at rest


async def start_and_wait_until_ready(fleet: Fleet, timeout: float = READY_TIMEOUT_SECONDS) -> None:
    """Start all instances at once, and wait until they are ready, for `timeout` seconds at most."""
    await fleet.launch_all()
    await fleet.wait_until_ready(timeout)


async def measure_at_rest(fleet: Fleet) -> None:
    """Let a start settle, then measure the fleet at rest for `REST_SECONDS`."""
    await asyncio.sleep(SETTLE_SECONDS)
    finish_measurement = fleet.measure_idle()
    fleet.mark("rest")
    await asyncio.sleep(REST_SECONDS)
    fleet.mark("rest_end")
    finish_measurement()


async def interrupt_registry(
    fleet: Fleet, duration: float, recovery_seconds: float = SESSIONS_AFTER_BREAK_SECONDS
) -> None:
    """Take the registry down for a while, then give the instances time to recover.

    Args:
        fleet: The fleet.
        duration: Seconds for which the registry is down.
        recovery_seconds: Seconds to wait afterwards.
    """
    fleet.mark("break")
    await fleet.registry.send_command("down")
    await asyncio.sleep(duration)
    await fleet.registry.send_command("up")
    fleet.mark("break_end")
    await asyncio.sleep(recovery_seconds)


async def start_before_registry(fleet: Fleet, delay: float) -> None:
    """Start all instances, bring the registry up `delay` seconds later, and drain some engines."""
    await fleet.registry.send_command("down")
    await fleet.launch_all()
    await fleet.wait_until(fleet.are_all_listening, READY_TIMEOUT_SECONDS)
    await asyncio.sleep(delay)
    fleet.mark("break_end")
    await fleet.registry.send_command("up")
    await fleet.wait_until_ready(READY_TIMEOUT_SECONDS)
    await measure_at_rest(fleet)
    await fleet.engines.drain(2)
    await fleet.wait_for_convergence()
