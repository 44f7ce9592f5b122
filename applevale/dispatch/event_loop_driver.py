"""Runs the admission controller on the event loop: its clock, its batches of events and its timers.

Events go to the controller in batches, and the actions that it returns go to the requests that they name.
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
from .event_queue import EventQueue
from .lateness import DecayingLateness
from .prober import EngineProber
from .stall_monitor import StallMonitor

# A batch over a long queue costs the same for one event as for many, and must leave time for the sockets.
MIN_BATCH_INTERVAL_SECONDS = 0.004  # between the starts of two batches
BATCH_INTERVAL_FACTOR = 3.0  # the interval in multiples of what the last batch took, where that is more

LOGGED_LATENESS_SECONDS = 0.03  # of a batch
MAX_READ_DELAY_SECONDS = 0.1  # that is assumed of a message, and taken off its request's timeout

# A batch that is later than that first leaves some loop iterations to the sockets: else work is sent on for
# clients that have disconnected meanwhile, and to engines whose drain is still unread.
READ_FIRST_LATENESS_SECONDS = 0.06
READ_FIRST_ITERATIONS = 4

# From the write of an answer to the next attempt with its ordering key.
MIN_ANSWER_GAP_SECONDS = 0.25
MAX_ANSWER_GAP_SECONDS = 1.0
ANSWER_GAP_LATENESS_FACTOR = 2.0  # weight of the lateness that is added to the least gap

RequestAction = api.Send | api.Terms | api.Reject | api.Fail | api.Cancel
ActionHandler = Callable[[RequestAction], None]


class EventLoopDriver:
    """Owns the admission controller, and is the only one that calls it.

    What is submitted in one loop iteration goes to the controller as one batch, never re-entrantly.

    Attributes:
        action_handlers: For each open request, by its number, what takes the actions that name it.
        event_queue: The events of the next batch.
        stall_monitor: Watches the loop for stalls.
    """

    def __init__(
        self,
        controller: AdmissionController,
        engine_pool: EnginePool,
        counters: Counters,
        clock: UnixClock | None = None,
    ):
        """Create a driver that has no events yet.

        Args:
            controller: Decides on requests.
            engine_pool: Carries out probes.
            counters: Counts batches, probes and stalls.
            clock: The clock of all decisions; None for one of its own.
        """
        self.controller = controller
        self.counters = counters
        self.clock = clock or UnixClock()
        self.action_handlers: dict[int, ActionHandler] = {}
        self.last_request_number = 0
        self.event_queue = EventQueue()
        self.batch_due_at = 0.0  # by the loop's clock
        self.batch_interval = MIN_BATCH_INTERVAL_SECONDS
        self.batch_lateness = DecayingLateness()
        self.prober = EngineProber(engine_pool, self.clock, self.submit, counters)
        self.stall_monitor = StallMonitor(self.clock, counters)

    def now(self) -> float:
        """Return the Unix time in seconds, as engines state their start times; it never goes back."""
        return self.clock.now()

    def start(self) -> None:
        """Begin to watch the loop for stalls."""
        self.stall_monitor.start()

    def stop(self) -> None:
        """Stop watching the loop."""
        self.stall_monitor.stop()

    def register(self, handler: ActionHandler) -> int:
        """Return the number of a new request, whose actions go to the handler."""
        self.last_request_number += 1
        self.action_handlers[self.last_request_number] = handler
        return self.last_request_number

    def unregister(self, number: int) -> None:
        """Drop all further actions of a request."""
        self.action_handlers.pop(number, None)

    def submit(self, event: api.Event) -> None:
        """Add an event to the next batch."""
        if not self.event_queue.events:
            self._schedule_batch()
        self.event_queue.add(event)

    def submit_gossip(self, report: api.PeerLoadReport) -> None:
        """Add a peer's load report to the next batch; it is no reason for a batch of its own."""
        self.event_queue.add_load_report(report)

    def read_delay(self) -> float:
        """Return for how many seconds a message may have waited unread: a loop that runs late reads late."""
        return min(MAX_READ_DELAY_SECONDS, self.batch_lateness.weighted(self.clock.latest))

    def answer_gap(self) -> float:
        """Return the seconds from the write of an answer until its client surely has it.

        A client that shares the machine with a late loop, or with peers that answer late, may read as late.
        """
        lateness = max(self.read_delay(), self.prober.latency.weighted(self.clock.latest))
        return min(MAX_ANSWER_GAP_SECONDS, MIN_ANSWER_GAP_SECONDS + ANSWER_GAP_LATENESS_FACTOR * lateness)

    def outlier_engines(self) -> set[int]:
        """Return the engines that the controller avoids as outliers now.

        That state ends by the clock and without an event, so this looks at each engine: it is for calls of
        operators.
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
        """Run the batch once so many iterations of the loop have read sockets."""
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
        except Exception:  # guards the other requests; those of this batch end by their own deadlines
            self.counters["module_errors"] += 1
            log_event("module", traceback.format_exc())
            return
        for action in actions:
            self._execute(action)
        duration = loop.time() - self.batch_due_at
        self.batch_interval = max(MIN_BATCH_INTERVAL_SECONDS, BATCH_INTERVAL_FACTOR * duration)

    def _record_lateness(self, now: float) -> None:
        """Note how late a batch starts, by the loop's clock, and that it was due now for all that follows."""
        lateness = now - self.batch_due_at
        self.batch_due_at += lateness
        if lateness >= self.read_delay():
            self.batch_lateness.record(lateness, self.now())
        if lateness > LOGGED_LATENESS_SECONDS:
            self.counters["stalls"] += 1
            log_event("loop", f"a batch ran {lateness * 1000:.0f} ms late")

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send() | api.Terms() | api.Reject() | api.Fail() | api.Cancel():
                handler = self.action_handlers.get(action.request)
                if handler is not None:  # else its client has gone, and its attempt was cancelled with it
                    handler(action)
            case api.SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.after, self.submit, api.Timer(action.token))
            case api.Probe():
                self.prober.probe(action.engine)
            case api.Log():
                log_event("module", action.text)
            case _:  # the list is pushed and no peer is messaged: nothing to subscribe to, fetch or tell
                self.counters["actions_without_use"] += 1
