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
from ..observability.counters import Counters
from ..observability.events import log_event
from .model import Completed, Failed, Rejected, Request, Response

# Part of the client's timeout that is withheld from the decision module, so that no answer crosses the
# client's cancellation. The module checks pending requests every 50 ms and aims to answer 60 ms before the
# end, by the time of its batch, which runs later than the request.
DEADLINE_MARGIN_SECONDS = 0.03


class DeadlineReached:
    """Signals that the client is about to give up and the decision module has not decided."""


class DiscoveryStale:
    """Signals that the engine list is unconfirmed for too long to keep requests waiting for it."""


InboxEvent = api.Action | AttemptResult | DeadlineReached | DiscoveryStale
DispatchListener = Callable[[int, int], None]  # engine id, threads of the attempt


def ignore_dispatch(engine: int, threads: int) -> None:
    """Do nothing: a dispatch listener for instances without peers."""


@dataclass
class RequestEnvironment:
    """What all requests of one handler share.

    Attributes:
        driver: Takes events to the decision module, and has the clock.
        pool: The engines.
        settings: The settings of the deployment.
        counters: Counts of outcomes.
        on_dispatch: Called with the engine and the threads of each attempt to share with other instances.
        shutdown_deadline: When the process stops, by the driver's clock.
    """

    driver: EventLoopDriver
    pool: EnginePool
    settings: api.Settings
    counters: Counters
    on_dispatch: DispatchListener = ignore_dispatch
    shutdown_deadline: float = inf

    def time_remaining(self, request: Request) -> float:
        """Return the seconds until the client gives up or the process stops."""
        deadline = min(request.received_at + request.timeout, self.shutdown_deadline)
        return deadline - self.driver.now()

    def reject(self) -> Rejected:
        """Return a rejection that the decision module was not asked for."""
        return Rejected(self.settings.max_retry_after if self.settings.retry_after else 0.0)


@dataclass(slots=True)
class AttemptRecord:
    """What is remembered of an attempt until it ends.

    Attributes:
        index: Its number among the attempts of the request, from 0.
        engine: The engine's id.
        sent_at: When it was started, by the driver's clock.
        timeout_timer: Cancels the attempt; None while it is being started.
    """

    index: int
    engine: int
    sent_at: float
    timeout_timer: asyncio.TimerHandle | None = None


class RequestContext:
    """One active request: its inbox, and the attempt that is in flight.

    The results of attempts are recorded where each attempt ends, since its `AttemptResult` may be in the
    inbox behind an event that decides the response.

    Attributes:
        number: The request's number with the decision module.
        inbox: Actions of the decision module, ends of attempts and signals, in their order.
        in_flight: The attempt in flight, if any; there is one at a time.
        attempt_count: Number of attempts so far.
        used_connections: Connections that carried an attempt of this request.
    """

    def __init__(self, environment: RequestEnvironment, request: Request):
        """Register the request with the driver; `close` must follow."""
        self.request = request
        self._spec = environment.settings.classes[request.class_index]
        self.inbox: asyncio.Queue[InboxEvent] = asyncio.Queue()
        self.number = environment.driver.register(self.inbox.put_nowait)
        self.in_flight: Attempt | None = None
        self.attempt_count = 0
        self.used_connections: set[EngineConnection] = set()
        self._environment = environment
        self._driver = environment.driver
        self._priority = 1
        self._rows: bytes | None = None
        # By the driver's clock: when the first attempt that may have been executed was sent.
        self._possibly_executed_at = inf
        self._is_decided = False  # the decision module knows how the request ended

    def time_remaining(self) -> float:
        """Return the seconds until the client gives up or the process stops."""
        return self._environment.time_remaining(self.request)

    async def run(self) -> Response:
        """Submit the request to the decision module and carry out its actions until there is a response."""
        self._submit()
        while True:
            response = self._handle_event(await self.inbox.get())
            if response is not None:
                return response

    def _submit(self) -> None:
        request = self.request
        time_to_live = self.time_remaining() - DEADLINE_MARGIN_SECONDS - self._driver.read_delay()
        event = api.Request(
            self.number,
            request.class_index,
            request.tenant_index,
            request.order_key,
            max(0.0, time_to_live),
            request.estimated_work,
            request.estimated_memory_mb,
            request.table_group,
            request.is_client_retry,
            request.order_unknown,
        )
        self._driver.submit(event)

    def _handle_event(self, event: InboxEvent) -> Response | None:
        """Handle one event of the inbox; return the response if the event decides it."""
        match event:
            case api.Terms(priority=priority):
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
        """Respond without a decision, so that the client gets its one response in any case."""
        self._environment.counters["overdue"] += 1
        log_event("broker", f"no decision on {self._spec.name} within {self.request.timeout:.3f} s")
        return self._final_response()

    def _set_priority(self, priority: int) -> None:
        if priority != self._priority and self.in_flight is not None:
            self.in_flight.set_priority(priority)
        self._priority = priority

    def _send_attempt(self, send: api.Send) -> None:
        loop = asyncio.get_running_loop()
        pool = self._environment.pool
        record = AttemptRecord(self.attempt_count, send.engine, self._driver.now())
        self.attempt_count += 1
        timeout = min(send.timeout or inf, self.time_remaining())
        spec = self._attempt_spec(timeout, self._start_window(timeout, record.sent_at))
        on_end = partial(self._on_attempt_end, record)
        attempt = pool.start_attempt(send.engine, spec, self.used_connections, on_end)
        if attempt.connection is not None:
            # On the same connection a second copy of this attempt's answer would pass for the next one's.
            self.used_connections.add(attempt.connection)
        if not attempt.is_finished:
            if send.announce:
                self._environment.on_dispatch(send.engine, self._spec.threads)
            self.in_flight = attempt
            record.timeout_timer = loop.call_later(max(0.0, timeout), attempt.cancel, api.Result.TIMEOUT)

    def _start_window(self, timeout: float, now: float) -> float:
        """Return the seconds within which an attempt must be written, or not at all.

        Once a request may have been executed, a keyed one is repeated within the engines' window only.
        """
        if self._spec.repeat is not api.Repeat.KEYED:
            return timeout
        return min(timeout, self._possibly_executed_at + self._spec.repeat_window - now)

    def _attempt_spec(self, timeout: float, start_window: float) -> AttemptSpec:
        request = self.request
        now = asyncio.get_running_loop().time()
        return AttemptSpec(
            request.request_id,
            self._spec.name,
            request.statement,
            now + timeout,
            now + start_window,
            self._priority,
            self._spec.repeat is api.Repeat.UNSAFE,
            request.is_client_gone,
            request.idempotency_key,
        )

    def _on_attempt_end(self, record: AttemptRecord, result: AttemptResult) -> None:
        """Record what an attempt proved and report it; it may end while it is being started."""
        self.in_flight = None
        if record.timeout_timer is not None:
            record.timeout_timer.cancel()
        succeeded = isinstance(result, AttemptSucceeded)
        if succeeded:
            self._rows = result.rows
        if result.result not in api.NEVER_RAN:
            self._possibly_executed_at = min(self._possibly_executed_at, record.sent_at)
        outcome = api.Outcome(
            self.number,
            record.index,
            record.engine,
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
        """Return the result if an attempt has succeeded meanwhile, and `response` otherwise."""
        return response if self._rows is None else Completed(self._rows)

    def _final_response(self) -> Response:
        """Return the response without a decision; a rejection only if a repetition is harmless."""
        if self.in_flight is not None:
            # An attempt of which nothing was written ends at once, as not executed.
            self.in_flight.cancel(api.Result.CANCELLED)
        possibly_executed = self._possibly_executed_at < inf or self.in_flight is not None
        if possibly_executed and self._spec.repeat is not api.Repeat.SAFE:
            return self._completed_or(Failed())
        return self._completed_or(self._environment.reject())

    def close(self) -> None:
        """Unregister the request, and cancel the attempt in flight."""
        self._driver.unregister(self.number)
        if not self._is_decided:
            self._driver.submit(api.ClientGone(self.number))
        while not self.inbox.empty():
            event = self.inbox.get_nowait()
            if isinstance(event, api.Send):
                # The decision module counts an attempt as in flight until its outcome comes.
                outcome = api.Outcome(self.number, self.attempt_count, event.engine, api.Result.MOOT)
                self._driver.submit(outcome)
                self.attempt_count += 1
        if self.in_flight is not None:
            self.in_flight.cancel(api.Result.CANCELLED)
