"""Admits client requests, and sees each one through to its response."""

from __future__ import annotations

import asyncio

from .. import api
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.pool import EnginePool
from ..observability.counters import Counters
from .context import (
    DEADLINE_MARGIN_SECONDS,
    DeadlineReached,
    DiscoveryStale,
    DispatchListener,
    InboxEvent,
    RequestContext,
    RequestEnvironment,
    ignore_dispatch,
)
from .model import Rejected, Request, Response

# Before the client gives up, when it gets a response even if the decision module still owes it.
FINAL_ANSWER_MARGIN_SECONDS = 0.015


class RequestHandler:
    """Takes requests of any protocol, and returns one response for each.

    Attributes:
        active: The requests without a response.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        pool: EnginePool,
        settings: api.Settings,
        counters: Counters,
        on_dispatch: DispatchListener = ignore_dispatch,
    ):
        """Handle requests with the decision module behind `driver` and the engines of `pool`.

        Args:
            driver: Takes events to the decision module, and has the clock.
            pool: The engines.
            settings: The settings of the deployment.
            counters: Counts of outcomes.
            on_dispatch: Called with the attempts to share with other instances.
        """
        self.active: set[RequestContext] = set()
        self._environment = RequestEnvironment(driver, pool, settings, counters, on_dispatch)
        self._driver = driver
        self._counters = counters
        # Requests with an order key, and their numbers, until their responses are delivered.
        self._undelivered: dict[Request, int] = {}
        self._is_rejecting = False
        self._rejection_timer: asyncio.TimerHandle | None = None

    async def handle(self, request: Request) -> Response:
        """Return the response to a request; the task is cancelled when the client has gone."""
        if request.order_key:
            await self._driver.stall_monitor.order_known.wait()
        if not self._may_admit(request):
            return self.reject()
        context = RequestContext(self._environment, request)
        self.active.add(context)
        if request.order_key:
            self._undelivered[request] = context.number
        deadline_timer = asyncio.get_running_loop().call_later(
            max(0.0, context.time_remaining() - FINAL_ANSWER_MARGIN_SECONDS),
            context.inbox.put_nowait,
            DeadlineReached(),
        )
        try:
            return await context.run()
        finally:
            deadline_timer.cancel()
            self.active.discard(context)
            context.close()

    def _may_admit(self, request: Request) -> bool:
        """Return whether a request goes to the decision module, or is rejected at once."""
        if len(self._driver.action_handlers) >= self._environment.settings.max_open:
            return False
        if self._is_rejecting:
            self._counters["unconfirmed"] += 1
            return False
        if self._environment.time_remaining(request) <= DEADLINE_MARGIN_SECONDS:
            # The decision module would reject it too, but a batch later, when the client may have given up.
            self._counters["no_patience"] += 1
            return False
        return True

    def reject(self) -> Rejected:
        """Return a rejection for a request that was not handled: it is safe to send again."""
        return self._environment.reject()

    def on_response_delivered(self, request: Request) -> None:
        """Note that the response was written whole, or can reach no one.

        A server calls this once for each request, also for one that was cancelled.
        """
        number = self._undelivered.pop(request, None)
        if number is not None:
            self._driver.submit(api.AnswerSent(number, request.order_key, self._driver.answer_gap()))

    def set_shutdown_deadline(self, deadline: float) -> None:
        """Set the time, by the driver's clock, at which the process stops; no request is given more."""
        self._environment.shutdown_deadline = deadline

    def reject_after(self, delay: float | None) -> None:
        """Reject requests once the engine list has been stale for `delay` seconds from now.

        None: the list is confirmed again, and requests are accepted.
        """
        if self._rejection_timer is not None:
            self._rejection_timer.cancel()
        self._is_rejecting = False
        self._rejection_timer = None
        if delay is not None:
            self._rejection_timer = asyncio.get_running_loop().call_later(delay, self._start_rejecting)

    def _start_rejecting(self) -> None:
        self._is_rejecting = True
        self._notify_active(DiscoveryStale)

    def finish_all(self) -> None:
        """Respond to all active requests now, also to those that wait for the order of their key."""
        self._driver.stall_monitor.order_known.set()
        self._notify_active(DeadlineReached)

    def _notify_active(self, signal: type[InboxEvent]) -> None:
        for context in self.active:
            context.inbox.put_nowait(signal())
