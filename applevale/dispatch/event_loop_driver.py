"""Runs the admission controller on the event loop: clock, batches of events, timers and actions.

Events are passed to the controller in batches. Each action that it returns is routed to the request that it
names.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from .. import api
from ..engines.pool import EnginePool
from ..observability.counters import Counters
from ..observability.events import log_event
from ..policy import AdmissionController
from .clock import UnixClock
from .decaying_duration import DecayingDuration
from .event_queue import EventQueue
from .prober import EngineProber
from .stall_monitor import StallMonitor

# Interval between the starts of two batches. With a long wait queue, a batch of one event takes as long as a
# batch of many, so batches are spaced out to leave time for reading sockets.
MIN_BATCH_INTERVAL_SECONDS = 0.004
BATCH_INTERVAL_FACTOR = 3.0  # smallest interval, as a multiple of the duration of the last batch

LOGGED_LATENESS_SECONDS = 0.03  # batches that start later than this are logged and counted as stalls
MAX_READ_DELAY_SECONDS = 0.1  # largest read delay that is subtracted from the timeout of a request

# A batch that is later than this is put off until sockets have been read for some loop iterations. Otherwise
# requests would be sent for clients that have disconnected and to engines that have begun to drain, because
# neither has been read yet.
READ_FIRST_LATENESS_SECONDS = 0.06
READ_FIRST_ITERATIONS = 4

# Time from the write of a response until its client has certainly read it. The next request with the same
# order key is not sent before.
MIN_DELIVERY_TIME_SECONDS = 0.25
MAX_DELIVERY_TIME_SECONDS = 1.0
DELIVERY_LATENESS_FACTOR = 2.0  # multiple of the current lateness that is added to the minimum

RequestAction = api.Send | api.SetResources | api.Reject | api.Fail | api.Cancel
ActionHandler = Callable[[RequestAction], None]


class EventLoopDriver:
    """Owns the admission controller and makes all calls to it.

    Events that are submitted before the next batch is due are passed to the controller together. The
    controller is never called re-entrantly.

    Attributes:
        action_handlers: Handler of the actions for each open request, by request number.
        event_queue: The events of the next batch.
        stall_monitor: Detects stalls of the event loop.
    """

    def __init__(
        self,
        controller: AdmissionController,
        engine_pool: EnginePool,
        counters: Counters,
        clock: UnixClock | None = None,
    ):
        """Create a driver without events.

        Args:
            controller: The admission controller.
            engine_pool: The engines, for probes.
            counters: Counters of batches, probes and stalls.
            clock: The clock of the controller; None to create one.
        """
        self.controller = controller
        self.counters = counters
        self.clock = clock or UnixClock()
        self.action_handlers: dict[int, ActionHandler] = {}
        self.last_request_number = 0
        self.event_queue = EventQueue()
        self.batch_due_at = 0.0  # time by the event loop's clock
        self.batch_interval = MIN_BATCH_INTERVAL_SECONDS
        self.batch_lateness = DecayingDuration()
        self.prober = EngineProber(engine_pool, self.clock, self.submit, counters)
        self.stall_monitor = StallMonitor(self.clock, counters)

    def now(self) -> float:
        """Return the Unix time in seconds; it never goes back."""
        return self.clock.now()

    def start(self) -> None:
        """Begin to monitor the running loop for stalls."""
        self.stall_monitor.start()

    def stop(self) -> None:
        """Stop monitoring the loop."""
        self.stall_monitor.stop()

    def register(self, handler: ActionHandler) -> int:
        """Return the number of a new request; `handler` is called with each action for it."""
        self.last_request_number += 1
        self.action_handlers[self.last_request_number] = handler
        return self.last_request_number

    def unregister(self, number: int) -> None:
        """Drop all further actions for a request."""
        self.action_handlers.pop(number, None)

    def submit(self, event: api.Event) -> None:
        """Add an event to the next batch."""
        if not self.event_queue.events:
            self._schedule_batch()
        self.event_queue.add(event)

    def submit_load_report(self, report: api.PeerLoadReport) -> None:
        """Add a peer's load report to the next batch, without scheduling one."""
        self.event_queue.add_load_report(report)

    def read_delay(self) -> float:
        """Return how long (s) a message may have been unread, estimated by the lateness of recent batches."""
        return min(MAX_READ_DELAY_SECONDS, self.batch_lateness.decayed(self.clock.latest))

    def delivery_seconds(self) -> float:
        """Return the seconds from the write of a response until its client has certainly read it.

        The client may share a machine with this process or with the engines, and so be as late as this event
        loop or as replies to probes.
        """
        lateness = max(self.read_delay(), self.prober.latency.decayed(self.clock.latest))
        return min(MAX_DELIVERY_TIME_SECONDS, MIN_DELIVERY_TIME_SECONDS + DELIVERY_LATENESS_FACTOR * lateness)

    def outlier_engines(self) -> set[int]:
        """Return the ids of the engines that are ejected as outliers now.

        An ejection ends by time, without an event, so this checks every engine. It is meant for requests of
        operators, which are rare.
        """
        return self.controller.ejected_engines(self.now())

    def _schedule_batch(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.batch_due_at = max(now, self.batch_due_at + self.batch_interval)
        if self.batch_due_at == now:
            loop.call_soon(self._on_batch_due)
        else:
            loop.call_at(self.batch_due_at, self._on_batch_due)

    def _on_batch_due(self) -> None:
        lateness = asyncio.get_running_loop().time() - self.batch_due_at
        self._run_batch_after(READ_FIRST_ITERATIONS if lateness > READ_FIRST_LATENESS_SECONDS else 0)

    def _run_batch_after(self, iterations: int) -> None:
        """Run the batch after the given number of further loop iterations, each of which reads sockets."""
        if iterations:
            asyncio.get_running_loop().call_soon(self._run_batch_after, iterations - 1)
        else:
            self._run_batch()

    def _run_batch(self) -> None:
        events = self.event_queue.take()
        loop = asyncio.get_running_loop()
        self._record_lateness(loop.time())
        self.counters["batches"] += 1
        try:
            actions = self.controller.handle(self.now(), events)
        except Exception:  # requests of this batch end at their deadlines; others are not affected
            self.counters["module_errors"] += 1
            log_event("policy", traceback.format_exc())
            return
        for action in actions:
            self._execute(action)
        duration = loop.time() - self.batch_due_at
        self.batch_interval = max(MIN_BATCH_INTERVAL_SECONDS, BATCH_INTERVAL_FACTOR * duration)

    def _record_lateness(self, now: float) -> None:
        """Record how late a batch starts, and reset its due time to now for the schedule of the next one."""
        lateness = now - self.batch_due_at
        self.batch_due_at += lateness
        if lateness >= self.read_delay():
            self.batch_lateness.record(lateness, self.now())
        if lateness > LOGGED_LATENESS_SECONDS:
            self.counters["stalls"] += 1
            log_event("event_loop", f"a batch ran {lateness * 1000:.0f} ms late")

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send() | api.SetResources() | api.Reject() | api.Fail() | api.Cancel():
                handler = self.action_handlers.get(action.request_id)
                if handler is not None:  # there is none if the client has gone; its attempt was cancelled
                    handler(action)
            case api.SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self.submit, api.TimerFired(action.token))
            case api.Probe():
                self.prober.probe(action.engine_id)
            case api.Log():
                log_event("policy", action.text)
            case _:
                # Subscriptions, fetches and peer messages are not needed: the program always follows the
                # engine list, and exchanges only load reports with peers.
                self.counters["actions_without_use"] += 1
