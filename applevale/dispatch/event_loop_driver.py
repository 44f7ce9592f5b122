"""Runs the admission controller on the event loop: its clock, its batches of events and its timers.

Events go to the controller in batches, and the actions that it returns go to the requests that they name.
"""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from math import exp

from .. import api
from ..engines.pool import EnginePool
from ..observability.counters import Counters
from ..observability.events import log_event
from ..policy import AdmissionController
from .arrival_order import TICK_SECONDS, ArrivalOrder, Source

# A batch over a long queue costs the same for one event as for many, and must leave time for the sockets.
MIN_BATCH_INTERVAL_SECONDS = 0.004  # between the starts of two batches
BATCH_INTERVAL_FACTOR = 3.0  # the interval in multiples of what the last batch took, where that is more

LATENESS_DECAY_SECONDS = 3.0  # time constant with which a measured lateness loses weight
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


def merge_list_updates(events: list[api.Event]) -> list[api.Event]:
    """Merge all updates of the engine list in a batch into one, which comes first.

    The controller goes through all its engines for each update.
    """
    entries: dict[int, api.EngineEntry] = {}
    whole = False
    for event in events:
        if isinstance(event, api.EngineList):
            if event.whole:
                whole = True
                entries.clear()
            entries.update((entry.engine, entry) for entry in event.entries)
    others = [event for event in events if not isinstance(event, api.EngineList)]
    return [api.EngineList(tuple(entries.values()), whole), *others]


class DecayingLateness:
    """The last large lateness that was measured, which loses weight exponentially with its age."""

    __slots__ = ("measured_at", "seconds")

    def __init__(self) -> None:
        """Start with none."""
        self.seconds = 0.0
        self.measured_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Take a new measurement for the old one."""
        self.seconds = seconds
        self.measured_at = now

    def weighted(self, now: float) -> float:
        """Return what is left of it, in seconds."""
        return self.seconds * exp((self.measured_at - now) / LATENESS_DECAY_SECONDS)


class EventLoopDriver:
    """Owns the admission controller, and is the only one that calls it.

    What is submitted in one loop iteration goes to the controller as one batch, never re-entrantly.

    Attributes:
        action_handlers: For each open request, by its number, what takes the actions that name it.
        order_known: Cleared by a stall of the loop, and set once all that accumulated has been read. Requests
            with an ordering key wait for it.
        source_listings: Functions that list sources of requests, each with whether it is readable.
    """

    def __init__(
        self,
        controller: AdmissionController,
        engine_pool: EnginePool,
        counters: Counters,
        clock: Callable[[], float] = time.time,
    ):
        """Create a driver that has no events yet.

        Args:
            controller: Decides on requests.
            engine_pool: Carries out probes.
            counters: Counts batches, probes and stalls.
            clock: The system's Unix clock, in seconds.
        """
        self.controller = controller
        self.engine_pool = engine_pool
        self.counters = counters
        self.clock = clock
        self.latest_time = 0.0
        self.action_handlers: dict[int, ActionHandler] = {}
        self.last_request_number = 0
        self.pending_events: list[api.Event] = []
        self.pending_list_updates = 0  # among the pending events
        self.pending_load_reports: dict[int, api.PeerLoadReport] = {}  # by engine, for the next batch
        self.batch_due_at = 0.0  # by the loop's clock
        self.batch_interval = MIN_BATCH_INTERVAL_SECONDS
        self.batch_lateness = DecayingLateness()
        self.probe_latency = DecayingLateness()
        self.arrival_order = ArrivalOrder()
        self.order_known = asyncio.Event()
        self.order_known.set()
        self.source_listings: list[Callable[[], list[tuple[Source, bool]]]] = []
        self.tick_timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        """Return the Unix time in seconds, as engines state their start times; it never goes back."""
        self.latest_time = max(self.latest_time, self.clock())
        return self.latest_time

    def start(self) -> None:
        """Begin to watch the loop for stalls."""
        self._tick()

    def stop(self) -> None:
        """Stop watching the loop."""
        if self.tick_timer is not None:
            self.tick_timer.cancel()

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
        if not self.pending_events:
            self._schedule_batch()
        self.pending_events.append(event)
        self.pending_list_updates += isinstance(event, api.EngineList)

    def submit_gossip(self, report: api.PeerLoadReport) -> None:
        """Add a peer's load report to the next batch; it is no reason for a batch of its own."""
        former = self.pending_load_reports.get(report.engine, report)
        if former is not report:
            report = api.PeerLoadReport(
                report.engine, report.report or former.report, report.threads + former.threads
            )
        self.pending_load_reports[report.engine] = report

    def read_delay(self) -> float:
        """Return for how many seconds a message may have waited unread: a loop that runs late reads late."""
        return min(MAX_READ_DELAY_SECONDS, self.batch_lateness.weighted(self.latest_time))

    def answer_gap(self) -> float:
        """Return the seconds from the write of an answer until its client surely has it.

        A client that shares the machine with a late loop, or with peers that answer late, may read as late.
        """
        lateness = max(self.read_delay(), self.probe_latency.weighted(self.latest_time))
        return min(MAX_ANSWER_GAP_SECONDS, MIN_ANSWER_GAP_SECONDS + ANSWER_GAP_LATENESS_FACTOR * lateness)

    def outlier_engines(self) -> set[int]:
        """Return the engines that the controller avoids as outliers now.

        That state ends by the clock and without an event, so this looks at each engine: it is for calls of
        operators.
        """
        return self.controller.ejected_engines(self.now())

    def _tick(self) -> None:
        """Hold the requests with a key back, after a stall, until what accumulated has been read."""
        order = self.arrival_order
        now = self.now()
        self.tick_timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)
        if order.on_tick(now):
            self.counters["stood_still"] += 1
            self.order_known.clear()
        elif order.is_catching_up and order.finish_catching_up(self._all_caught_up(), now):
            self.order_known.set()

    def _all_caught_up(self) -> bool:
        order = self.arrival_order
        return all(
            order.is_caught_up(source, readable)
            for list_sources in self.source_listings
            for source, readable in list_sources()
        )

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
        events = self._take_events()
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

    def _take_events(self) -> list[api.Event]:
        """Return the events of a batch: load reports, then the engine list if there were several updates."""
        events = self.pending_events
        self.pending_events = []
        if self.pending_list_updates > 1:
            events = merge_list_updates(events)
        self.pending_list_updates = 0
        if self.pending_load_reports:
            events = [*self.pending_load_reports.values(), *events]
            self.pending_load_reports.clear()
        return events

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
                self._probe(action.engine)
            case api.Log():
                log_event("module", action.text)
            case _:  # the list is pushed and no peer is messaged: nothing to subscribe to, fetch or tell
                self.counters["actions_without_use"] += 1

    def _probe(self, engine: int) -> None:
        """Probe an engine, and submit the result."""
        self.counters["probes"] += 1
        started_at = self.now()

        def on_result(result: api.Result, report: tuple) -> None:
            duration = self.now() - started_at
            latency = self.probe_latency
            if result is api.Result.OK and duration >= latency.weighted(self.latest_time):
                latency.record(duration, self.latest_time)
            self.submit(api.ProbeResult(engine, result, duration, report))

        self.engine_pool.probe(engine, on_result)
