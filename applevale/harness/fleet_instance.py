"""One instance of the application in a fleet."""

from __future__ import annotations

import asyncio

from ..fakes.client_pool import ClientPool
from .managed_process import ManagedProcess


class FleetInstance:
    """An instance with its clients and what is known of its process.

    Attributes:
        is_ready: Whether it last reported that it is ready.
        is_confirmed: Whether it last reported that its list of engines is confirmed.
        member_status: Its own status in the membership, as last reported.
        ended_at: Times at which its process was ended, by the event loop's clock.
        pauses: Start and end of the times in which its process was paused, by the event loop's clock.
        lifecycle_lock: Held while its process is ended and started again.
    """

    def __init__(self, number: int, name: str, program: ManagedProcess):
        """Create the instance `name` that `program` runs; `number` is its place in the fleet."""
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
        """Whether its process was started and has not ended."""
        return self.program.process is not None and self.program.process.returncode is None

    async def terminate(self) -> None:
        """End the process within 10 s, by force if need be, and remove its folder."""
        process = self.program.process
        try:
            if self.is_running:
                process.terminate()
                async with asyncio.timeout(10.0):
                    await process.wait()
        finally:
            await self.program.kill()
            self.program.folder.cleanup()
