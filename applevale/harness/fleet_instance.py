"""The state of one instance of the application in a fleet."""

from __future__ import annotations

import asyncio

from ..fakes.client_pool import ClientPool
from .managed_process import ManagedProcess

EXIT_TIMEOUT_SECONDS = 10.0  # after SIGTERM


class FleetInstance:
    """An instance with its process, its clients and the state that it last reported.

    Attributes:
        number: Index of the instance in the fleet.
        name: Name of the instance in the history and in fault schedules.
        program: The process of the instance.
        clients: Its clients; None until they have started.
        client_task: The task that runs the clients; None until they have started.
        is_ready: Whether it last reported to be ready.
        is_confirmed: Whether it last reported its engine list as confirmed.
        member_status: Its own membership status, as last reported; empty before the first report.
        ended_at: Times at which the harness ended a process of the instance, by the event loop's clock.
        pauses: Start and end of each pause of the process, by the event loop's clock.
        lifecycle_lock: Held while the process is ended, restarted or upgraded.
    """

    def __init__(self, number: int, name: str, program: ManagedProcess):
        """Create the state of an instance whose process has not started."""
        self.number = number
        self.name = name
        self.program = program
        self.clients: ClientPool | None = None
        self.client_task: asyncio.Task | None = None
        self.is_ready = False
        self.is_confirmed = False
        self.member_status = ""
        self.ended_at: list[float] = []
        self.pauses: list[tuple[float, float]] = []
        self.lifecycle_lock = asyncio.Lock()

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.program.process is not None and self.program.process.returncode is None

    async def terminate(self) -> None:
        """Terminate the process, kill it if it does not end in time, and remove its folder.

        Raises:
            TimeoutError: The process did not end within `EXIT_TIMEOUT_SECONDS` of SIGTERM; it was killed.
        """
        process = self.program.process
        try:
            if self.is_running:
                process.terminate()
                async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                    await process.wait()
        finally:
            await self.program.kill()
            self.program.folder.cleanup()
