"""The life of one request, whatever protocol it came by."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from .. import api
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.connection import Attempt, Done, Ending, Fleet, Link, Want
from ..observability.counters import Counters
from ..observability.events import log_event

# Guards against answers that cross the client's giving up. The module looks at what it holds every 50 ms and
# aims for 60 ms before the end, by the time of its batch, which comes later than the request.
SPARE = 0.03  # s of the client's patience that the module is not told of
LAST = 0.015  # s before the client gives up at which the answer is ours, should the module still owe it


@dataclass(frozen=True, eq=False)
class Query:
    ref: bytes
    cls: int
    statement: bytes
    arrived: float  # by the driver's clock
    allow: float  # s from `arrived` that the client waits
    tenant: int = 0
    key: int = 0
    work: float = 0.0  # estimated, s on one core
    memory_mb: float = 0.0  # estimated
    tables: float = 0.0
    client_retry: bool = False
    unsure: bool = False  # whether it came behind the others of its key
    gone: Callable[[], bool] = lambda: False  # whether its client has hung up, read or not
    idempotency_key: str = ""  # by which engines know a repeat


@dataclass(frozen=True)
class Served:
    rows: bytes


@dataclass(frozen=True)
class Refused:
    retry_in: float  # s; 0: no advice


@dataclass(frozen=True)
class Failed:
    pass


Answer = Served | Refused | Failed


class Overdue:
    """The client's patience is all but over, and the module has not decided."""


class Unconfirmed:
    """The engine list has not been confirmed for so long that nothing more is held for it."""


class Broker:
    def __init__(self, driver: EventLoopDriver, fleet: Fleet, settings: api.Settings, counters: Counters):
        self.driver, self.fleet, self.settings, self.counters = driver, fleet, settings, counters
        self.lives: set[Life] = set()
        self.unread: dict[Query, int] = {}  # keyed requests and their numbers, until their answers have left
        self.until = inf  # by the driver's clock: at the end of the program, when it stops
        self.shut = False  # the list is not confirmed, and new work is refused
        self.holding: asyncio.TimerHandle | None = None
        # What a refusal of the broker's own advises.
        self.advice = settings.max_retry_after if settings.retry_after else 0.0

    def expire(self) -> None:
        """What is still open is answered now, also what waits for those before it of its key."""
        self.driver.order_known.set()
        for life in self.lives:
            life.inbox.put_nowait(Overdue())

    def hold(self, most: float | None) -> None:
        """New work finds no engine from now on; past `most` s it is refused at once. None: that is over."""
        if self.holding is not None:
            self.holding.cancel()
        self.shut = False
        self.holding = None if most is None else asyncio.get_running_loop().call_later(most, self._shut)

    def _shut(self) -> None:
        self.shut = True
        for life in self.lives:
            life.inbox.put_nowait(Unconfirmed())

    def turn_away(self) -> Answer:
        """A refusal of our own, without the module's word: only where trying again is harmless."""
        return Refused(self.advice)

    async def serve(self, query: Query) -> Answer:
        """Query in, one answer out; cancelled when the client has gone."""
        if query.key:
            await self.driver.order_known.wait()
        if len(self.driver.action_handlers) >= self.settings.max_open:
            return self.turn_away()
        if self.shut:
            self.counters["unconfirmed"] += 1
            return self.turn_away()
        if min(query.arrived + query.allow, self.until) - self.driver.now() <= SPARE:
            # Guards against answers that come too late: told of no patience at all, the module
            # refuses too, but a batch later.
            self.counters["no_patience"] += 1
            return self.turn_away()
        life = Life(self, query)
        self.lives.add(life)
        if query.key:
            self.unread[query] = life.number
        guard = asyncio.get_running_loop().call_later(
            max(0.0, life.left() - LAST), life.inbox.put_nowait, Overdue()
        )
        try:
            return await life.run()
        finally:
            guard.cancel()
            self.lives.discard(life)
            life.close()

    def answered(self, query: Query) -> None:
        """Each front tells this once for each query: its answer has left whole, or can reach no one."""
        number = self.unread.pop(query, None)
        if number is not None:
            self.driver.submit(api.AnswerSent(number, query.key, self.driver.answer_gap()))


class Life:
    """What one request holds while it lasts: its number, its inbox and the attempt that is out."""

    def __init__(self, broker: Broker, query: Query):
        self.query, self.broker, self.driver, self.fleet = query, broker, broker.driver, broker.fleet
        self.counters = broker.counters
        self.spec = broker.settings.classes[query.cls]
        self.inbox: asyncio.Queue[api.Action | Ending | Overdue | Unconfirmed] = asyncio.Queue()
        self.number = self.driver.register(self.inbox.put_nowait)
        self.out: Attempt | None = None
        self.tries, self.urgency = 0, 1
        # What the attempts proved, settled where each ends: its ending may lie in the inbox behind an answer.
        self.rows: bytes | None = None
        self.ran_at = inf  # by the driver's clock: when the first attempt that may have run was sent
        self.answered = False
        self.avoid: set[Link] = set()  # that carried an attempt

    def left(self) -> float:
        return min(self.query.arrived + self.query.allow, self.broker.until) - self.driver.now()

    async def run(self) -> Answer:
        query = self.query
        patience = max(0.0, self.left() - SPARE - self.driver.read_delay())
        self.driver.submit(
            api.Request(
                self.number,
                query.cls,
                query.tenant,
                query.key,
                patience,
                query.work,
                query.memory_mb,
                query.tables,
                query.client_retry,
                query.unsure,
            )
        )
        while True:
            match await self.inbox.get():
                case api.Terms(priority=urgency):
                    if urgency != self.urgency and self.out is not None:
                        self.out.hurry(urgency)
                    self.urgency = urgency
                case api.Send() as send:
                    self.send(send)
                case api.Cancel() if self.out is not None:
                    self.out.give_up(api.Result.CANCELLED)
                case Done(body=rows):
                    self.answered = True
                    return Served(rows)
                case api.Reject(retry_after=after):
                    self.answered = True
                    return self.or_served(Refused(after))
                case api.Fail():
                    self.answered = True
                    return self.or_served(Failed())
                case Unconfirmed() if self.out is None:
                    self.counters["unconfirmed"] += 1
                    return self.last_answer()
                case Overdue():  # guards the client's one answer against a decision that never comes
                    self.counters["overdue"] += 1
                    log_event("broker", f"no decision on {self.spec.name} within {query.allow:.3f} s")
                    return self.last_answer()

    def send(self, send: api.Send) -> None:
        """One attempt; its end goes to the module at once, and to this request's inbox."""
        index, engine, sent = self.tries, send.engine, self.driver.now()
        self.tries += 1
        loop = asyncio.get_running_loop()
        limit = by = min(send.timeout or inf, self.left())
        if self.spec.repeat is api.Repeat.KEYED:  # once it may have run, only so long may another be begun
            by = min(by, self.ran_at + self.spec.repeat_window - sent)
        timer: asyncio.TimerHandle | None = None

        def ended(ending: Ending) -> None:
            self.out = None
            if timer is not None:
                timer.cancel()
            done = isinstance(ending, Done)
            if done:
                self.rows = ending.body
            if ending.result not in api.NEVER_RAN:
                self.ran_at = min(self.ran_at, sent)
            self.driver.submit(
                api.Outcome(
                    self.number,
                    index,
                    engine,
                    ending.result,
                    self.driver.now() - sent,
                    done,
                    ending.work if done else 0.0,
                    ending.memory_mb if done else 0.0,
                    ending.report,
                )
            )
            self.inbox.put_nowait(ending)

        query, alone = self.query, self.spec.repeat is api.Repeat.UNSAFE
        want = Want(
            query.ref,
            self.spec.name,
            query.statement,
            loop.time() + limit,
            loop.time() + by,
            self.urgency,
            alone,
            query.gone,
            query.idempotency_key,
        )
        attempt = self.fleet.start(engine, want, self.avoid, ended)
        if attempt.link is not None:  # a second copy of its answer must not be taken for the next attempt's
            self.avoid.add(attempt.link)
        if not attempt.over:
            if send.announce:
                self.fleet.sent(engine, self.spec.threads)
            self.out = attempt
            timer = loop.call_later(max(0.0, limit), attempt.give_up, api.Result.TIMEOUT)

    def or_served(self, answer: Answer) -> Answer:
        """Guards a good end that lies in the inbox behind another answer: it has run, and is the truth."""
        return answer if self.rows is None else Served(self.rows)

    def last_answer(self) -> Answer:
        """Without a word from the module: refusing is harmless only if nothing can have run."""
        if self.out is not None:  # one of which nothing was written ends here, and proves that it never ran
            self.out.give_up(api.Result.CANCELLED)
        ran = self.ran_at < inf or self.out is not None
        return self.or_served(
            Failed() if ran and self.spec.repeat is not api.Repeat.SAFE else self.broker.turn_away()
        )

    def close(self) -> None:
        """The answer is out, or no longer owed: what is still out is given up, and the module hears of it."""
        self.driver.unregister(self.number)
        if not self.answered:
            self.driver.submit(api.ClientGone(self.number))
        while not self.inbox.empty():
            # Guards the module's counts: a send that is not carried out would be out for ever.
            if isinstance(send := self.inbox.get_nowait(), api.Send):
                self.driver.submit(api.Outcome(self.number, self.tries, send.engine, api.Result.MOOT))
                self.tries += 1
        if self.out is not None:
            self.out.give_up(api.Result.CANCELLED)
