"""Graceful shutdown after SIGTERM."""

from __future__ import annotations

import asyncio

from ..api import Settings
from ..dispatch.event_loop_driver import EventLoopDriver
from ..requests.handler import RequestHandler
from ..server.listener import RpcServer

ACCEPT_SECONDS = 0.75  # after SIGTERM for which clients may still come
# After SIGTERM the process may be killed once MAX_DRAIN_SECONDS, or the longest deadline if that is less, and
# KILL_GRACE_SECONDS are over.
MAX_DRAIN_SECONDS = 3.0
KILL_GRACE_SECONDS = 0.7
FINAL_ANSWER_SECONDS = 0.3  # before that time, when all that is open gets its answer
REJECT_NEW_SECONDS = 0.4  # before the final answers, from when on new requests are rejected
DRAIN_POLL_SECONDS = 0.02
FINAL_POLL_SECONDS = 0.01


class GracefulShutdown:
    """Answers what comes until a moment after SIGTERM, and ends before the process would be killed."""

    def __init__(
        self, server: RpcServer, handler: RequestHandler, driver: EventLoopDriver, settings: Settings
    ):
        """Take the parts that are shut down; the settings have the longest deadline."""
        self.server = server
        self.handler = handler
        self.driver = driver
        longest_deadline = max(spec.deadline for spec in settings.classes)
        lifetime = min(MAX_DRAIN_SECONDS, longest_deadline) + KILL_GRACE_SECONDS
        self.final_answer_after = lifetime - FINAL_ANSWER_SECONDS  # s after SIGTERM

    async def run(self, started_at: float) -> None:
        """Drain; `started_at` is the time of SIGTERM by the event loop's clock."""
        loop = asyncio.get_running_loop()
        final_answer_at = started_at + self.final_answer_after
        self.handler.set_shutdown_deadline(self.driver.now() + self.final_answer_after)
        await asyncio.sleep(started_at + ACCEPT_SECONDS - loop.time())
        self.server.stop_accepting()
        # A request on a kept connection that is read just before the exit would get no answer, so none may
        # come then. Until shortly before, new requests are decided on with the time there is: short work
        # still has its answer.
        self.server.drain(final_answer_at - REJECT_NEW_SECONDS - loop.time())
        while self._is_busy() and loop.time() < final_answer_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.handler.finish_all()
        while self._is_busy() and loop.time() < final_answer_at + FINAL_ANSWER_SECONDS / 2:
            await asyncio.sleep(FINAL_POLL_SECONDS)

    def _is_busy(self) -> bool:
        """Return whether an answer is owed, or a client has yet to end the message that it began."""
        return bool(self.server.open_requests or self.server.connections)
