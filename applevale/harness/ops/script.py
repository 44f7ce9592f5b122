"""The script of the operations harness: the actions of an operator, in phases."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from ...discovery.endpoints import format_instance_id
from .admin_client import call_admin_api, wait_until_ready
from .environment import OperationsEnvironment
from .evaluation import Observations, cut_requests, served_lookups

EJECTION_GRACE_SECONDS = 0.5  # after which an ejected engine may receive nothing new
READY_TIMEOUT_SECONDS = 6.0  # for a new process to become ready
UNDRAIN_TIMEOUT_SECONDS = 2.0  # for a process to become ready after /undrain
REENABLE_TIMEOUT_SECONDS = 5.0  # for an enabled engine that was in use to receive work again
EJECTED = 1  # index of the engine ejected first
LATE_EJECTED = 2  # index of the engine ejected during the upgrade
UNKNOWN_ENGINE_ID = format_instance_id(0xFFFF)


async def _disable(admin_address: str, engine_id: str) -> int:
    """Eject an engine, and return the HTTP status of the call."""
    status, _ = await call_admin_api(admin_address, "POST", "/engines/disable", {"host": engine_id})
    return status


async def _enable(admin_address: str, engine_id: str) -> None:
    await call_admin_api(admin_address, "POST", "/engines/enable", {"host": engine_id})


def _engine_id(index: int) -> str:
    return format_instance_id(index + 1)


class OperationsScenario:
    """The phases of the script, and the observations made in them."""

    def __init__(self, environment: OperationsEnvironment, phase_seconds: float):
        """Prepare the script; the engines of the environment must have started.

        Args:
            environment: The parts of the run.
            phase_seconds: Approximate duration of a phase.
        """
        self.environment = environment
        self.phase_seconds = phase_seconds
        self.loop = asyncio.get_running_loop()
        self.observed = Observations()

    async def run(self) -> Observations:
        """Run all phases in order, and return the observations."""
        await self._start_first()
        await self._eject()
        await self._drain()
        await self._compare_metrics()
        await self._upgrade()
        await self._enable_engines()
        await self._finish()
        return self.observed

    async def _start_first(self) -> None:
        environment = self.environment
        await environment.start_process(environment.first_process)
        self.observed.first_ready = await wait_until_ready(environment.first_admin, READY_TIMEOUT_SECONDS)
        await environment.start_clients()
        await asyncio.sleep(self.phase_seconds)

    async def _eject(self) -> None:
        admin = self.environment.first_admin
        self.observed.ejection_confirmed = await _disable(admin, _engine_id(EJECTED)) == HTTPStatus.OK
        self.observed.ejected_from = self._engine_time(EJECTED) + EJECTION_GRACE_SECONDS
        self.observed.unknown_engine_status = await _disable(admin, UNKNOWN_ENGINE_ID)
        await asyncio.sleep(self.phase_seconds)

    async def _drain(self) -> None:
        admin = self.environment.first_admin
        await call_admin_api(admin, "POST", "/drain")
        status, _ = await call_admin_api(admin, "GET", "/ready")
        self.observed.ready_status_in_drain = status
        await asyncio.sleep(self.phase_seconds)
        await call_admin_api(admin, "POST", "/undrain")
        self.observed.undrained = await wait_until_ready(admin, UNDRAIN_TIMEOUT_SECONDS)
        await asyncio.sleep(self.phase_seconds / 2)

    async def _compare_metrics(self) -> None:
        _, metrics = await call_admin_api(self.environment.first_admin, "GET", "/metrics")
        self.observed.clients_served = served_lookups(self.environment.clients.sent_requests)
        self.observed.metrics_served = metrics.get("replies", {}).get("lookup", {}).get("success", -1)

    async def _upgrade(self) -> None:
        """Start the second process beside the first, and terminate the first."""
        observed = self.observed
        environment = self.environment
        observed.overlap_start = self.loop.time()
        await environment.start_process(environment.second_process)
        observed.second_ready = await wait_until_ready(environment.second_admin, READY_TIMEOUT_SECONDS)
        # The ejection is requested from the second process; the first must stop using the engine, too.
        status = await _disable(environment.second_admin, _engine_id(LATE_EJECTED))
        observed.late_ejection_confirmed = status == HTTPStatus.OK
        observed.late_ejected_from = self._engine_time(LATE_EJECTED) + EJECTION_GRACE_SECONDS
        cut_before = cut_requests(environment.clients.sent_requests)
        observed.first_counters = await environment.first_process.stop()
        observed.overlap_end = self.loop.time()
        observed.first_exit_code = environment.first_process.process.returncode
        await asyncio.sleep(self.phase_seconds)
        observed.cut_in_upgrade = cut_requests(environment.clients.sent_requests) - cut_before

    async def _enable_engines(self) -> None:
        """Enable both engines; each may receive work as soon as its own call is made."""
        admin = self.environment.second_admin
        self.observed.enabled_at = self._engine_time(EJECTED)
        await _enable(admin, _engine_id(EJECTED))
        self.observed.late_enabled_at = self._engine_time(LATE_EJECTED)
        await _enable(admin, _engine_id(LATE_EJECTED))
        await asyncio.sleep(REENABLE_TIMEOUT_SECONDS)

    def _engine_time(self, index: int) -> float:
        """Return the present time by the clock with which an engine records arrivals."""
        return self.environment.engines[index].clock()

    async def _finish(self) -> None:
        """Wait for open requests, evaluate what was recorded, and stop the second process."""
        environment = self.environment
        await environment.end_requests()
        self.observed.add_requests(environment, EJECTED, LATE_EJECTED)
        await environment.clients.stop()
        self.observed.second_counters = await environment.second_process.stop()
