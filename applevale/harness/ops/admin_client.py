"""A client of the application's admin API."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus

CALL_TIMEOUT_SECONDS = 2.0
READY_POLL_INTERVAL_SECONDS = 0.05


async def call_admin_api(address: str, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
    """Call the admin API; return status and JSON body, or (0, {}) if no response arrived in time."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nhost: rig\r\ncontent-length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, {}
    head, _, rest = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(rest or b"{}")


async def wait_until_ready(address: str, timeout: float) -> bool:
    """Wait until a process is ready, for `timeout` seconds at most; return whether it is."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while loop.time() < end:
        status, _ = await call_admin_api(address, "GET", "/ready")
        if status == HTTPStatus.OK:
            return True
        await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
    return False
