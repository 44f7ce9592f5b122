"""The fake registry as a child process of the fleet harness."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable

COMMAND_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 5.0
MAX_EVENT_BYTES = 1 << 24  # longest line that the process may write


class RegistryProcess:
    """The process of the fake registry, which executes commands and reports events.

    Attributes:
        addresses: The addresses of its members, once it has started.
    """

    def __init__(self, on_event: Callable[[dict], None]):
        """Prepare the process without starting it; `on_event` is called with each event."""
        self.on_event = on_event
        self.process: asyncio.subprocess.Process | None = None
        self.replies: asyncio.Queue[dict] = asyncio.Queue()
        self.addresses: list[tuple[str, int]] = []
        self.reader_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process and return once all its members serve."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "applevale.fakes.registry_host",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_EVENT_BYTES,
        )
        self.reader_task = asyncio.create_task(self._read_events())
        serving = await self.replies.get()
        self.addresses = [tuple(address) for address in serving["addresses"]]

    async def _read_events(self) -> None:
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            if event["event"] in ("serving", "done"):
                self.replies.put_nowait(event)
            else:
                self.on_event(event)

    async def send_command(self, command: str, **values: object) -> None:
        """Send a command and return once it has been executed.

        Args:
            command: The name of the command.
            values: The parameters of the command.

        Raises:
            TimeoutError: It was not executed within `COMMAND_TIMEOUT_SECONDS`.
        """
        self.process.stdin.write(json.dumps({"order": command, **values}).encode() + b"\n")
        async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
            await self.replies.get()

    async def stop(self) -> None:
        """End the process by closing its input; kill it if it does not end within `STOP_TIMEOUT_SECONDS`."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.stdin.close()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        await self.reader_task
