"""The parts of a run of the operations harness: two processes on one address, engines and clients."""

from __future__ import annotations

import asyncio
import tempfile
from random import Random

from ...discovery.endpoints import format_instance_id
from ...fakes.client_pool import ClientPool, ClientProfile
from ...fakes.engine import FakeEngine
from ...net.addresses import format_address
from ..managed_process import ManagedProcess
from ..ports import free_address

ENGINE_COUNT = 3
REQUESTS_PER_SECOND = 60.0
CLIENT_RUN_SECONDS = 3600  # longer than any run; `end_requests` cancels the clients


def engine_list_setting(engines: list[FakeEngine]) -> dict:
    """Return the value of the setting `known` that lists these engines."""
    instances = [
        {
            "instanceId": format_instance_id(number),
            "hostPort": format_address(engine.address),
            "zone": "east",
            "machineType": "std",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1,
            "startedAtMs": 0,
        }
        for number, engine in enumerate(engines, 1)
    ]
    return {"n": 1, "events": [{"n": 1, "members": {"generation": 1, "reset": True, "instances": instances}}]}


class OperationsEnvironment:
    """Two processes of the application that share a client address and $TMPDIR, with engines and clients.

    Attributes:
        engines: The engines that both processes know.
        first_admin: The admin address of the first process.
        second_admin: The admin address of the second process.
        first_process: The process that runs first; None before `start_engines`.
        second_process: The process that replaces it; None before `start_engines`.
        clients: The clients; None until they have started.
    """

    def __init__(self, random: Random):
        """Prepare all parts without starting them; `random` is the source of all random draws."""
        self.random = random
        self.engines = [FakeEngine(Random(random.random())) for _ in range(ENGINE_COUNT)]
        self.folder = tempfile.TemporaryDirectory(prefix="applevale-ops-")
        self.listen_address = free_address()
        self.first_admin = free_address()
        self.second_admin = free_address()
        self.first_process: ManagedProcess | None = None
        self.second_process: ManagedProcess | None = None
        self.clients: ClientPool | None = None
        self.client_task: asyncio.Task | None = None

    async def start_engines(self) -> None:
        """Start the engines, and prepare both processes without starting them."""
        for engine in self.engines:
            await engine.start()
        self.first_process = self._create_process("ops-1", self.first_admin)
        self.second_process = self._create_process("ops-2", self.second_admin)

    def _create_process(self, name: str, admin_address: str) -> ManagedProcess:
        config = {
            "known": engine_list_setting(self.engines),
            "listen": self.listen_address,
            "control": admin_address,
        }
        return ManagedProcess(config, name)

    async def start_process(self, process: ManagedProcess) -> None:
        """Start one of the processes and return once it listens."""
        await process.start(env={"TMPDIR": self.folder.name})

    async def start_clients(self) -> None:
        """Start the clients, which reconnect when their connections are closed."""
        profile = ClientProfile(REQUESTS_PER_SECOND, reconnect=True)
        self.clients = ClientPool(self.first_process.address, Random(self.random.random()), profile)
        await self.clients.start()
        end = asyncio.get_running_loop().time() + CLIENT_RUN_SECONDS
        self.client_task = asyncio.create_task(self.clients.run(end))

    async def end_requests(self) -> None:
        """Stop sending requests, and wait for the answers to open requests."""
        self.client_task.cancel()
        await self.clients.settle()

    async def stop(self) -> None:
        """Stop everything that was started, also after a failure."""
        for process in (self.first_process, self.second_process):
            if process is not None:
                await process.kill()
        for engine in self.engines:
            await engine.stop()
        self.folder.cleanup()
