"""Owns the decision module: its clock, its batches of events and its timers; routes actions to requests."""

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
from .arrival_order import TICK, Arrivals, Source

# A pass over a long line costs the same for one event as for many, and must leave time for the sockets:
PACE = 0.004  # s between the starts of two batches at least, and
SHARE = 3.0  # times what the last one took
LAG_SPAN = 3.0  # s over which a late loop is kept in mind
STALLED = 0.03  # s late from which it is logged
# A batch that runs later than that waits for so many turns, in which sockets are read: guards engines against
# work for clients that have gone meanwhile, and drains that lie unread.
UNREAD, TURNS = 0.06, 4
LAG_MOST = 0.1  # s of it that are taken off a client's patience
# From the write of an answer to the next attempt of its key: no less, no more, and how often lateness counts.
GAP = (0.25, 1.0)  # s
LATE_TIMES = 2.0

ForRequest = api.Send | api.Terms | api.Reject | api.Fail | api.Cancel


def one_list(events: list[api.Event]) -> list[api.Event]:
    """All news of the list in a batch as one: the module goes through all its engines for each."""
    entries: dict[int, api.EngineEntry] = {}
    whole = False
    for event in events:
        if isinstance(event, api.EngineList):
            if event.whole:
                whole = True
                entries.clear()
            entries.update((entry.engine, entry) for entry in event.entries)
    rest = [event for event in events if not isinstance(event, api.EngineList)]
    return [api.EngineList(tuple(entries.values()), whole), *rest]


class Driver:
    """All that is ready in one turn of the loop goes to the module as one batch, never re-entrantly."""

    def __init__(
        self,
        controller: AdmissionController,
        fleet: EnginePool,
        counters: Counters,
        clock: Callable[[], float] = time.time,
    ):
        self.controller, self.fleet, self.counters, self.clock = controller, fleet, counters, clock
        self.routes: dict[int, Callable[[ForRequest], None]] = {}
        self.waiting: list[api.Event] = []
        self.lists = 0  # news of the engine list among them
        self.news: dict[int, api.PeerLoadReport] = {}  # of each engine as one, for the next batch
        self.latest = 0.0
        self.numbers = 0
        self.due = 0.0  # of the batch, by the loop's clock
        self.pace = PACE
        self.lag, self.lag_at = 0.0, 0.0  # how late batches ran lately
        self.slow, self.slow_at = 0.0, 0.0  # how long peers took to answer a question lately
        self.arrivals, self.current = Arrivals(), asyncio.Event()
        self.current.set()
        # The sockets that requests come by: each tells its source, and whether there is something to read.
        self.inlets: list[Callable[[], list[tuple[Source, bool]]]] = []
        self.ticker: asyncio.TimerHandle | None = None

    def now(self) -> float:
        """The system's Unix clock, which engines' starts are told by; a step back is not passed on."""
        self.latest = max(self.latest, self.clock())
        return self.latest

    def enter(self, take: Callable[[ForRequest], None]) -> int:
        """A number for a new request, under which its actions go to `take`."""
        self.numbers += 1
        self.routes[self.numbers] = take
        return self.numbers

    def leave(self, number: int) -> None:
        self.routes.pop(number, None)

    def post(self, event: api.Event) -> None:
        if not self.waiting:
            loop = asyncio.get_running_loop()
            now = loop.time()
            self.due = max(now, self.due + self.pace)
            if self.due == now:
                loop.call_soon(self._flush)
            else:
                loop.call_at(self.due, self._flush)
        self.waiting.append(event)
        self.lists += isinstance(event, api.EngineList)

    def heard(self, event: api.PeerLoadReport) -> None:
        """A peer's news goes along with the next batch: it is no reason for one of its own."""
        former = self.news.get(event.engine, event)
        if former is not event:
            event = api.PeerLoadReport(
                event.engine, event.report or former.report, event.threads + former.threads
            )
        self.news[event.engine] = event

    def delay(self) -> float:
        """How long a message may have waited unread: a loop that runs late reads late."""
        return min(LAG_MOST, self.lag * exp((self.lag_at - self.latest) / LAG_SPAN))

    def gap(self) -> float:
        """s from the write of an answer until its client surely has it: who shares the machine with a loop
        that runs late, or peers that answer late, may read as late."""
        slow = self.slow * exp((self.slow_at - self.latest) / LAG_SPAN)
        return min(GAP[1], GAP[0] + LATE_TIMES * max(self.delay(), slow))

    def resting(self) -> set[int]:
        """Engines that the module avoids by its own choice for now. A rest ends by the clock, with no event
        to count, so this looks at each: once for a call of an operator."""
        now = self.now()
        return {number for number, engine in self.controller.engines.items() if engine.rest_until > now}

    def tick(self) -> None:
        """Guards the order of keys: after a loop that stood still they wait until the rest is read."""
        arrivals, now = self.arrivals, self.now()
        self.ticker = asyncio.get_running_loop().call_later(TICK, self.tick)
        if arrivals.ticked(now):
            self.counters["stood_still"] += 1
            self.current.clear()
        elif arrivals.behind and arrivals.caught_up(
            all(arrivals.settled(*one) for inlet in self.inlets for one in inlet()), now
        ):
            self.current.set()

    def stop(self) -> None:
        if self.ticker is not None:
            self.ticker.cancel()

    def _read_first(self, turns: int) -> None:
        if turns:
            asyncio.get_running_loop().call_soon(self._read_first, turns - 1)
        else:
            self._batch()

    def _flush(self) -> None:
        late = asyncio.get_running_loop().time() - self.due
        self._read_first(TURNS if late > UNREAD else 0)

    def _batch(self) -> None:
        events, self.waiting = self.waiting, []
        if self.lists > 1:
            events = one_list(events)
        self.lists = 0
        if self.news:
            events = [*self.news.values(), *events]
            self.news.clear()
        loop = asyncio.get_running_loop()
        late = loop.time() - self.due
        self.due += late
        if late >= self.delay():
            self.lag, self.lag_at = late, self.now()
        if late > STALLED:
            self.counters["stalls"] += 1
            log_event("loop", f"a batch ran {late * 1000:.0f} ms late")
        self.counters["batches"] += 1
        try:
            actions = self.controller.handle(self.now(), events)
        except Exception:  # guards the other requests; those of this batch end by the broker's own timer
            self.counters["module_errors"] += 1
            log_event("module", traceback.format_exc())
            return
        for action in actions:
            self._act(action)
        self.pace = max(PACE, SHARE * (loop.time() - self.due))

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send() | api.Terms() | api.Reject() | api.Fail() | api.Cancel():
                take = self.routes.get(action.request)
                if take is not None:  # else its client has gone, and its attempt was given up with it
                    take(action)
            case api.SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.after, self.post, api.Timer(action.token))
            case api.Probe():
                self._probe(action.engine)
            case api.Log():
                log_event("module", action.text)
            case _:  # the list is pushed and no peer is messaged: nothing to subscribe to, fetch or tell
                self.counters["actions_without_use"] += 1

    def _probe(self, engine: int) -> None:
        self.counters["probes"] += 1
        asked = self.now()

        def told(result: api.Result, report: tuple) -> None:
            took = self.now() - asked
            if result is api.Result.OK and took >= self.slow * exp((self.slow_at - self.latest) / LAG_SPAN):
                self.slow, self.slow_at = took, self.latest
            self.post(api.ProbeResult(engine, result, took, report))

        self.fleet.probe(engine, told)
