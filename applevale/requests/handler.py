"""Admits client requests and produces one response for each."""

from __future__ import annotations

import asyncio

from .. import api
from ..dispatch.arrival_order import MAX_ORDER_WAIT_SECONDS
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.pool import EnginePool
from ..observability.counters import Counters
from .context import (
    DEADLINE_MARGIN_SECONDS,
    AttemptListener,
    DeadlineReached,
    DiscoveryStale,
    InboxEvent,
    RequestContext,
    RequestEnvironment,
    ignore_attempt,
)
from .model import Rejected, Request, Response

# Time before the end of the client's timeout at which it gets a response even without a decision.
FINAL_RESPONSE_MARGIN_SECONDS = 0.015


class RequestHandler:
    """Handles requests of any protocol and returns one response for each.

    Attributes:
        active: The admitted requests that have no response yet.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        pool: EnginePool,
        settings: api.Settings,
        counters: Counters,
        on_attempt_sent: AttemptListener = ignore_attempt,
    ):
        """Create a handler.

        Args:
            driver: Passes events to the admission controller and provides the clock.
            pool: The engines.
            settings: The settings of the deployment.
            counters: Counters of outcomes.
            on_attempt_sent: Called with engine and thread count of each attempt that is announced to peers.
        """
        self.active: set[RequestContext] = set()
        self._environment = RequestEnvironment(driver, pool, settings, counters, on_attempt_sent)
        self._driver = driver
        self._counters = counters
        # Numbers of the requests with an order key whose responses are not delivered yet.
        self._undelivered: dict[Request, int] = {}
        self._is_rejecting = False
        self._rejection_timer: asyncio.TimerHandle | None = None

    async def handle(self, request: Request) -> Response:
        """Return the response to a request; the caller cancels the task if the client has gone."""
        if request.order_key and not await self._wait_for_order(request):
            return self.reject()
        if not self._may_admit(request):
            return self.reject()
        context = RequestContext(self._environment, request)
        self.active.add(context)
        if request.order_key:
            self._undelivered[request] = context.number
        deadline_timer = asyncio.get_running_loop().call_later(
            max(0.0, context.time_remaining() - FINAL_RESPONSE_MARGIN_SECONDS),
            context.inbox.put_nowait,
            DeadlineReached(),
        )
        try:
            return await context.run()
        finally:
            deadline_timer.cancel()
            self.active.discard(context)
            context.close()

    async def _wait_for_order(self, request: Request) -> bool:
        """Wait until the order of arrivals is known; return False if that takes too long for the request."""
        time_left = self._environment.time_remaining(request) - FINAL_RESPONSE_MARGIN_SECONDS
        is_known = await self._driver.stall_monitor.wait_for_order(
            max(0.0, min(time_left, MAX_ORDER_WAIT_SECONDS))
        )
        if not is_known:
            self._counters["unsure_order"] += 1
        return is_known

    def _may_admit(self, request: Request) -> bool:
        """Return whether to pass a request to the admission controller; it is rejected at once otherwise."""
        if len(self._driver.action_handlers) >= self._environment.settings.max_open:
            return False
        if self._is_rejecting:
            self._counters["unconfirmed"] += 1
            return False
        if self._environment.time_remaining(request) <= DEADLINE_MARGIN_SECONDS:
            # The admission controller would reject it too, but one batch later, when it may have expired.
            self._counters["no_patience"] += 1
            return False
        return True

    def reject(self) -> Rejected:
        """Return a rejection for a request that was not handled and may be sent again."""
        return self._environment.reject()

    def on_response_delivered(self, request: Request) -> None:
        """Record that the response was written, or can no longer be delivered.

        The server calls this once for each request, including cancelled ones.
        """
        number = self._undelivered.pop(request, None)
        if number is not None:
            self._driver.submit(api.ResponseSent(number, request.order_key, self._driver.delivery_seconds()))

    def set_shutdown_deadline(self, deadline: float) -> None:
        """Set the time, by the driver's clock, at which the process stops; it limits all timeouts."""
        self._environment.shutdown_deadline = deadline

    def reject_after(self, delay: float | None) -> None:
        """Reject requests after `delay` seconds, unless the engine list is confirmed before then.

        None means that the engine list is confirmed again, and that requests are accepted.
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

    def respond_to_all(self) -> None:
        """Respond to all requests now, including those that wait for the order of arrivals to be known."""
        self._driver.stall_monitor.order_known.set()
        self._notify_active(DeadlineReached)

    def _notify_active(self, signal: type[InboxEvent]) -> None:
        for context in self.active:
            context.inbox.put_nowait(signal())
