"""The state of one active request, from its admission to its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from math import inf

from .. import api
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.attempt import Attempt, AttemptResult, AttemptSpec, AttemptSucceeded
from ..engines.connection import EngineConnection
from ..engines.pool import EnginePool
from ..engines.resp import DEFAULT_PRIORITY
from ..observability.counters import Counters
from ..observability.events import log_event
from .model import Completed, Failed, Rejected, Request, Response

# Part of the client's timeout that is withheld from the admission controller, so that the response reaches
# the client before it cancels the request. The controller checks pending requests every 50 ms and aims to
# decide 60 ms before the end, by the time of its batch, which is later than the time of the request.
DEADLINE_MARGIN_SECONDS = 0.03


class DeadlineReached:
    """Signals that the client's timeout is about to expire without a decision by the admission controller."""


class DiscoveryStale:
    """Signals that the engine list has been unconfirmed for too long for requests to wait any longer."""


InboxEvent = api.Action | AttemptResult | DeadlineReached | DiscoveryStale
AttemptListener = Callable[[int, int], None]  # engine id, threads of the attempt


def ignore_attempt(engine: int, threads: int) -> None:
    """Do nothing; the attempt listener of instances without peers."""


@dataclass
class RequestEnvironment:
    """Objects that all requests of one handler share.

    Attributes:
        driver: Passes events to the admission controller and provides the clock.
        pool: The engines.
        settings: The settings of the deployment.
        counters: Counters of outcomes.
        on_attempt_sent: Called with engine and thread count of each attempt that is announced to peers.
        shutdown_deadline: Time at which the process stops, by the driver's clock.
    """

    driver: EventLoopDriver
    pool: EnginePool
    settings: api.Settings
    counters: Counters
    on_attempt_sent: AttemptListener = ignore_attempt
    shutdown_deadline: float = inf

    def time_remaining(self, request: Request) -> float:
        """Return the seconds until the client's timeout expires or the process stops."""
        deadline = min(request.received_at + request.timeout, self.shutdown_deadline)
        return deadline - self.driver.now()

    def reject(self) -> Rejected:
        """Return a rejection that is not a decision of the admission controller."""
        return Rejected(self.settings.max_retry_after if self.settings.may_advise_retry_after else 0.0)


@dataclass(slots=True)
class AttemptRecord:
    """Bookkeeping of an attempt until it ends.

    Attributes:
        index: Index among the attempts of the request, from 0.
        engine_id: Id of its engine.
        sent_at: Time at which it was started, by the driver's clock.
        timeout_timer: Timer that cancels the attempt; None while it is being started.
    """

    index: int
    engine_id: int
    sent_at: float
    timeout_timer: asyncio.TimerHandle | None = None


class RequestContext:
    """An active request: its inbox of events and its attempts.

    The result of an attempt is recorded when the attempt ends. In the inbox, the `AttemptResult` may come
    after an event that decides the response.

    Attributes:
        number: The number by which the admission controller knows the request.
        inbox: Actions of the admission controller, results of attempts and signals, in order.
        in_flight: The attempt in flight, or None; there is at most one at a time.
        attempt_count: Number of attempts so far.
        used_connections: Connections that have carried an attempt of this request.
    """

    def __init__(self, environment: RequestEnvironment, request: Request):
        """Register the request with the driver; the caller must call `close` in the end."""
        self.request = request
        self._spec = environment.settings.classes[request.class_index]
        self.inbox: asyncio.Queue[InboxEvent] = asyncio.Queue()
        self.number = environment.driver.register(self.inbox.put_nowait)
        self.in_flight: Attempt | None = None
        self.attempt_count = 0
        self.used_connections: set[EngineConnection] = set()
        self._environment = environment
        self._driver = environment.driver
        self._priority = DEFAULT_PRIORITY
        self._rows: bytes | None = None
        # Send time, by the driver's clock, of the first attempt that was possibly executed.
        self._possibly_executed_at = inf
        # Whether the admission controller already knows that the request has ended.
        self._is_decided = False

    def time_remaining(self) -> float:
        """Return the seconds until the client's timeout expires or the process stops."""
        return self._environment.time_remaining(self.request)

    async def run(self) -> Response:
        """Submit the request to the admission controller and execute its actions until it has a response."""
        self._submit()
        while True:
            response = self._handle_event(await self.inbox.get())
            if response is not None:
                return response

    def _submit(self) -> None:
        request = self.request
        timeout = self.time_remaining() - DEADLINE_MARGIN_SECONDS - self._driver.read_delay()
        event = api.Request(
            self.number,
            request.class_index,
            request.tenant_index,
            request.order_key,
            max(0.0, timeout),
            request.estimated_work,
            request.estimated_memory_mb,
            request.table_group,
            request.is_client_retry,
            request.is_order_unknown,
        )
        self._driver.submit(event)

    def _handle_event(self, event: InboxEvent) -> Response | None:
        """Handle an event from the inbox; return the response if the event decides it."""
        match event:
            case api.SetResources(priority=priority):
                self._set_priority(priority)
            case api.Send():
                self._send_attempt(event)
            case api.Cancel() if self.in_flight is not None:
                self.in_flight.cancel(api.Result.CANCELLED)
            case AttemptSucceeded(rows=rows):
                self._is_decided = True
                return Completed(rows)
            case api.Reject(retry_after=retry_after):
                self._is_decided = True
                return self._completed_or(Rejected(retry_after))
            case api.Fail():
                self._is_decided = True
                return self._completed_or(Failed())
            case DiscoveryStale() if self.in_flight is None:
                self._environment.counters["unconfirmed"] += 1
                return self._final_response()
            case DeadlineReached():
                return self._on_deadline()
        return None

    def _on_deadline(self) -> Response:
        """Respond without a decision, so that every request gets a response."""
        self._environment.counters["overdue"] += 1
        log_event(
            "request",
            f"{self._spec.name} request: no decision within its timeout of {self.request.timeout:.3f} s",
        )
        return self._final_response()

    def _set_priority(self, priority: int) -> None:
        if priority != self._priority and self.in_flight is not None:
            self.in_flight.set_priority(priority)
        self._priority = priority

    def _send_attempt(self, send: api.Send) -> None:
        loop = asyncio.get_running_loop()
        pool = self._environment.pool
        record = AttemptRecord(self.attempt_count, send.engine_id, self._driver.now())
        self.attempt_count += 1
        timeout = min(send.timeout or inf, self.time_remaining())
        spec = self._attempt_spec(timeout, self._start_window(timeout, record.sent_at))
        on_end = partial(self._on_attempt_end, record)
        attempt = pool.start_attempt(send.engine_id, spec, self.used_connections, on_end)
        if attempt.connection is not None:
            # A late or repeated reply to this attempt would be taken for the reply to a later one on the same
            # connection.
            self.used_connections.add(attempt.connection)
        if not attempt.is_finished:
            if send.announce_to_peers:
                self._environment.on_attempt_sent(send.engine_id, self._spec.threads)
            self.in_flight = attempt
            record.timeout_timer = loop.call_later(max(0.0, timeout), attempt.cancel, api.Result.TIMEOUT)

    def _start_window(self, timeout: float, now: float) -> float:
        """Return the seconds within which the attempt must be written, or else be dropped.

        Engines recognize a repeated request of a keyed class only within `repeat_window` of its first
        possible execution.
        """
        if self._spec.repeat is not api.RepeatPolicy.KEYED:
            return timeout
        return min(timeout, self._possibly_executed_at + self._spec.repeat_window - now)

    def _attempt_spec(self, timeout: float, start_window: float) -> AttemptSpec:
        request = self.request
        now = asyncio.get_running_loop().time()
        return AttemptSpec(
            request_id=request.request_id,
            class_name=self._spec.name,
            statement=request.statement,
            deadline=now + timeout,
            start_before=now + start_window,
            priority=self._priority,
            exclusive=self._spec.repeat is api.RepeatPolicy.UNSAFE,
            is_client_gone=request.is_client_gone,
            idempotency_key=request.idempotency_key,
        )

    def _on_attempt_end(self, record: AttemptRecord, result: AttemptResult) -> None:
        """Record and report the result of an attempt, which may end while it is being started."""
        self.in_flight = None
        if record.timeout_timer is not None:
            record.timeout_timer.cancel()
        succeeded = isinstance(result, AttemptSucceeded)
        if succeeded:
            self._rows = result.rows
        if result.result not in api.NEVER_EXECUTED:
            self._possibly_executed_at = min(self._possibly_executed_at, record.sent_at)
        outcome = api.AttemptOutcome(
            self.number,
            record.index,
            record.engine_id,
            result.result,
            self._driver.now() - record.sent_at,
            succeeded,
            result.work_seconds if succeeded else 0.0,
            result.memory_mb if succeeded else 0.0,
            result.report,
        )
        self._driver.submit(outcome)
        self.inbox.put_nowait(result)

    def _completed_or(self, response: Response) -> Response:
        """Return the rows if an attempt has succeeded in the meantime, and `response` otherwise."""
        return response if self._rows is None else Completed(self._rows)

    def _final_response(self) -> Response:
        """Return the response without a decision: a rejection only if the request may be executed again."""
        if self.in_flight is not None:
            # The attempt ends at once, as not executed, if none of its command was written.
            self.in_flight.cancel(api.Result.CANCELLED)
        possibly_executed = self._possibly_executed_at < inf or self.in_flight is not None
        if possibly_executed and self._spec.repeat is not api.RepeatPolicy.SAFE:
            return self._completed_or(Failed())
        return self._completed_or(self._environment.reject())

    def close(self) -> None:
        """Unregister the request and cancel the attempt in flight."""
        self._driver.unregister(self.number)
        if not self._is_decided:
            self._driver.submit(api.ClientGone(self.number))
        while not self.inbox.empty():
            event = self.inbox.get_nowait()
            if isinstance(event, api.Send):
                # The admission controller counts the attempt as in flight until it gets an outcome.
                outcome = api.AttemptOutcome(
                    self.number, self.attempt_count, event.engine_id, api.Result.WITHDRAWN
                )
                self._driver.submit(outcome)
                self.attempt_count += 1
        if self.in_flight is not None:
            self.in_flight.cancel(api.Result.CANCELLED)
