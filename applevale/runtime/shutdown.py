"""Graceful shutdown at a SIGTERM."""

from __future__ import annotations

import asyncio

from ..api import Settings
from ..dispatch.event_loop_driver import EventLoopDriver
from ..requests.handler import RequestHandler
from ..server.listener import RpcServer

ACCEPT_SECONDS = 0.75  # new connections are accepted for this long after SIGTERM
# The time from SIGTERM until the platform may kill the process is the longest deadline of a request class, at
# most MAX_DRAIN_SECONDS, plus KILL_GRACE_SECONDS.
MAX_DRAIN_SECONDS = 3.0
KILL_GRACE_SECONDS = 0.7
FINAL_RESPONSE_SECONDS = 0.3  # all open requests get a response this long before the process may be killed
REJECT_NEW_SECONDS = 0.4  # new requests are rejected during this time before the final responses
DRAIN_POLL_INTERVAL_SECONDS = 0.02
FINAL_POLL_INTERVAL_SECONDS = 0.01


class GracefulShutdown:
    """Completes the requests in progress, and ends before the platform would kill the process.

    Attributes:
        final_response_delay: Seconds from SIGTERM until all open requests get a response.
    """

    def __init__(
        self, server: RpcServer, handler: RequestHandler, driver: EventLoopDriver, settings: Settings
    ):
        """Create the shutdown of these components; the settings state the deadlines of request classes."""
        self.server = server
        self.handler = handler
        self.driver = driver
        longest_deadline = max(spec.deadline for spec in settings.classes)
        time_to_kill = min(MAX_DRAIN_SECONDS, longest_deadline) + KILL_GRACE_SECONDS
        self.final_response_delay = time_to_kill - FINAL_RESPONSE_SECONDS

    async def run(self, started_at: float) -> None:
        """Stop accepting connections, and wait until all requests have a response or time is up.

        Args:
            started_at: The time of SIGTERM by the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        final_response_at = started_at + self.final_response_delay
        self.handler.set_shutdown_deadline(self.driver.now() + self.final_response_delay)
        await asyncio.sleep(started_at + ACCEPT_SECONDS - loop.time())
        self.server.stop_accepting()
        # A request that is read from an open connection just before the exit would get no response, so new
        # requests are rejected shortly before the final responses. Until then they are handled, because the
        # time left is enough for short ones.
        self.server.drain(final_response_at - REJECT_NEW_SECONDS - loop.time())
        while self._is_busy() and loop.time() < final_response_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        self.handler.respond_to_all()
        while self._is_busy() and loop.time() < final_response_at + FINAL_RESPONSE_SECONDS / 2:
            await asyncio.sleep(FINAL_POLL_INTERVAL_SECONDS)

    def _is_busy(self) -> bool:
        """Return whether a request is open, or a client has sent only a part of a message.

        The drain closes all other connections.
        """
        return bool(self.server.open_requests or self.server.connections)
