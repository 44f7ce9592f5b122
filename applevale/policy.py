"""All decisions of applevale (docs/design.md). The types it takes and gives are in applevale/api.

Cheap pass -> flag -> entropy-priced quota of the home engine -> an accepted flag waits for memory room; the
rest takes the table-group route or is refused at once. `may_go` and `may_take` alone check a send's rules."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from math import exp, inf, isfinite, log
from operator import attrgetter
from random import Random

from . import api
from .api import Repeat, Result, Settings, State
from .estimators import DecayingMean, EstimateCorrection, RunningMean, bounded_log
from .hashing import stable_hash

GAMMA, BETA, C_MIN = 1.0, 0.1, 0.2  # a flag's price (paper, section 4): by entropy, off by misses, the least
WINDOW = 3.0  # s between refills, and over which reports fade: a few queries of the longest common kind
NEWS = 0.8  # s over which reports fade where many siblings pass them on
UNSEEN = 0.6  # s that it takes until a report shows what was sent
SMALL = 0.06  # share of an engine's memory under which a query passes at once
P_FLAG, RATE, MISS_LIFE = 0.5, 0.1, 60.0  # confidence that flags; the model's step; s a miss is remembered
OVERRUN = 3.0  # times the usual run that are memory trouble; a bad plan or silence, times the scatter
SCATTER = 1.5  # mean deviations of a run time that are still chance
BOUND = 1.5  # threads a core: the total work done falls beyond; all cores or disks show busy from there
ROOM = (0.7, 0.85, 1.0, 1.6)  # times the bound, by rank: what is worth most per work finds room last of all
DENSE = (0.2, 0.65, 2.0)  # worth per work against the mean from which a request has rank 1, 2, 3
CALM = 1.0  # threads a core up to which all but short work takes the first; past it the least loaded home
OVERFULL = 4.5  # threads a core up to which short work goes past every bound; taken for what says "full"
PROBES = (1.3, 4.0)  # that each request earns its instance, most kept
PROBE_SPEND = (0.0143, 0.035)  # of a request's worth is the most that its probes may cost; if they alone tell
FRESH, PROBE_WAIT = 0.4, 0.06  # s that a report is news; that a probe is waited for: silence is a bad sign
SATURATED = 10.0  # threads a core added for each share past BUSY, where a share can no longer show the queue
HOMES, LOOKS = 3, 6  # engines that instances spread a group of tables over; that one request looks at
STRIKES, ERRORS = 3, 2  # resets in a row that are a bad sign; engines whose errors end a request
REST, EJECT_SHARE = (1.0, 8.0), 0.4  # s of rest after a bad sign: first, and the most; of engines, most
TURN = 4.0  # times its usual run that a request must have left at its key's turn: run times scatter
LONG = 10.0  # s for which a gap is kept in mind and over which the own usual load is smoothed
CUT_LEAST = 0.6  # of the shortest aim: before any cut; a lost answer is asked for again within the aim
COLD_SAFETY, COLD_SINGLE = 0.34, 0.4  # of multiple x cores, told too high; of a window's, for one query
LINE_LOOKS, MOST = 24, 400  # of the line tried at one event; most in it, and of misses and groups kept
BUSY = 0.85  # share of the cores that counts as full
SWEEP, LAST = 0.05, 0.06  # s between looks at what is held; before the client gives up, for our last answer
RATIO_MOST = 20.0  # learners ignore ratios beyond this
SPARE_REQUESTS = 1.5  # of a tenant's share that an instance may be ahead, besides a second's worth
HINT = (0.3, 1.5)  # s, retry hint: least and most


class ClassStats:
    def __init__(self, spec):
        self.spec = spec
        self.work = EstimateCorrection(max(spec.aim / 3 * spec.threads, 0.001), RATIO_MOST)
        self.memory = EstimateCorrection(0.0, RATIO_MOST)
        self.trouble, self.slow = RunningMean(0.0), RunningMean(1.5)
        self.scatter = RunningMean(0.3)  # of run times around the expected, as a log


class Attempt:
    def __init__(self, req, engine, now: float, grant: float):
        self.req, self.index, self.entry, self.at, self.grant = req, len(req.tries), engine.entry, now, grant
        self.clock = now  # from when its age counts; moves on by the instance's own gaps
        self.done, self.cut, self.told_trouble, self.blamed = None, False, False, False  # done: its result


class PendingRequest:
    """A request that this instance has taken and not yet ended."""

    def __init__(self, ask: api.Request, stats: ClassStats, now: float, memory_heeded: bool):
        self.ask, self.spec, self.at = ask, stats.spec, now
        self.until = now + max(0.0, ask.ttl if isfinite(ask.ttl) else stats.spec.deadline)
        self.tries: list[Attempt] = []
        self.out = 0  # attempts without an outcome
        self.over = self.flagged = self.accepted = self.streaming = self.answered = self.waiting = False
        self.features: tuple[float, ...] = ()  # of the flag model
        self.work = max(stats.work.expect(ask.work if isfinite(ask.work) else 0.0), 1e-4)
        told = ask.memory_mb if isfinite(ask.memory_mb) and ask.memory_mb > 0 else 0.0
        self.memory = stats.memory.expect(told)
        self.grant = told * 1.25 if told and not memory_heeded else self.memory * 1.5
        self.run = self.work / stats.spec.threads  # s on free cores
        self.aim = now + stats.spec.aim + stats.spec.aim_stretch * self.run
        self.worth, self.rank, self.place = stats.spec.worth, 1, ()  # place: in the line

    def first_run(self):
        return next((t for t in self.tries if t.done not in api.NEVER_RAN), None)


class Engine:
    """One engine as this instance sees it: its own attempts, and what reports show of the others'."""

    def __init__(self, entry, settings: Settings, debt: float, now: float):
        self.out: dict[tuple[int, int], Attempt] = {}
        self.threads, self.grant, self.settings = 0.0, 0.0, settings  # own, out
        self.loads: dict[float, int] = {}  # own loads out, by the group of tables that each holds
        self.quota, self.troubles, self.misses, self.next_refill = 1.0, 0, 0, 0.0
        kind = settings.kinds[min(entry.kind, len(settings.kinds) - 1)]
        self.cores, self.memory = kind.cores or max(entry.size, 0.1), kind.memory_mb or inf
        self.start(entry, debt, now)

    def start(self, entry, debt: float, now: float) -> None:
        self.entry = entry
        self.others = DecayingMean(NEWS if self.settings.gateways > HOMES else WINDOW)  # threads a core
        self.memory_used = DecayingMean(WINDOW)  # its share
        self.sent = DecayingMean(UNSEEN)  # siblings' threads a core
        self.rest, self.rest_until, self.trial = REST[0], 0.0, False
        self.news_at, self.probe_at, self.last_ok = -inf, inf, -inf  # probe_at: inf while none is out
        self.strikes, self.cold_level, self.cold_at = 0, -debt, now  # not its start: all hear of it at once

    def warmth(self, now: float) -> float:
        """Share of its capacity that it can surely do; the ramp is not told, so the lower half of a line."""
        age = now - self.entry.started
        if self.entry.started <= 0 or age >= self.settings.warm_up * 1.05:
            return 1.0
        share = max(0.0, age / self.settings.warm_up)
        return self.settings.cold_share + (1 - self.settings.cold_share) * share * share

    def cold_fits(self, work: float, now: float) -> bool:
        """A token bucket: guards against pushing a cold engine over, all instances taken together."""
        if self.entry.started <= 0 or (warmth := self.warmth(now)) >= 1.0:
            return True
        told = self.settings
        rate = told.fall_multiple * warmth * self.cores * COLD_SAFETY
        own = rate / told.gateways
        gained = own * max(0.0, now - self.cold_at)
        # The own share may be under one query, so it may go into debt; all start at random points of a debt.
        self.cold_level, self.cold_at = min(self.cold_level + gained, own * told.fall / 4), now
        return self.cold_level >= 0 and work <= rate * told.fall * COLD_SINGLE

    def refill(self, now: float) -> None:
        if now >= self.next_refill:
            self.next_refill = now + WINDOW
            self.quota, self.troubles, self.misses = self.troubles + 1.0, 0, 0


class Flagger:
    """Confidence that a query meets memory trouble: an online logistic model and a list of past misses."""

    def __init__(self):
        self.weights = [-2.0, 2.0, 1.0, 1.0, 1.0]
        self.misses: dict[tuple, float] = {}

    def key(self, req: PendingRequest) -> tuple:
        return (req.ask.cls, req.ask.tables, int(log(max(req.memory, 1.0), 2)))

    def model(self, features) -> float:
        return 1 / (1 + exp(-sum(w * x for w, x in zip(self.weights, features))))

    def confidence(self, req: PendingRequest, now: float, *features: float) -> float:
        req.features = (1.0, *(min(1.0, max(0.0, value)) for value in features))
        return 1.0 if self.misses.get(self.key(req), 0.0) > now else self.model(req.features)

    def learn(self, req: PendingRequest, trouble: bool, now: float) -> None:
        if req.features:
            step = RATE * (trouble - self.model(req.features))
            self.weights = [max(-8.0, min(8.0, w + step * x)) for w, x in zip(self.weights, req.features)]
        if trouble and not req.flagged:
            self.misses.pop(self.key(req), None)
            self.misses[self.key(req)] = now + MISS_LIFE
            while len(self.misses) > MOST:
                del self.misses[next(iter(self.misses))]


def price(p: float, misses: int) -> float:
    """What a flag costs: more the less sure it is, less after misses on this engine."""
    h = 0.0 if p <= 0 or p >= 1 else -(p * log(p, 2) + (1 - p) * log(1 - p, 2))
    return max(1 + GAMMA * h - BETA * misses, C_MIN)


class AdmissionController:
    def __init__(self, settings: Settings, seed: int = 0, router: api.Router | None = None):
        self.settings, self.random, self.router = settings, Random(seed), router or api.Router()
        self.seed = self.random.getrandbits(48)  # spreads the instances over a group's home engines
        self.now, self.seen_at, self.actions = -inf, -inf, []
        self.stats = [ClassStats(c) for c in settings.classes]
        self.engines: dict[int, Engine] = {}
        self.orders: dict[tuple, list[Engine]] = {}  # by group of tables and bounds, of the present list
        self.cores, self.subscribed = 1.0, settings.discovery_push  # cores: of the ready engines
        self.held: dict[int, PendingRequest] = {}
        self.line: list[PendingRequest] = []
        self.rooms: list[float] = []  # thread bound by rank, in this pass over the line
        self.siblings: dict[int, float] = {}  # their threads a core by engine, in this batch
        self.turns: dict[int, deque] = {}  # key -> requests in order of arrival
        self.key_rest, self.turn_gap = {}, 0.0  # by key, until when; s behind an answer, as told last
        self.unread: dict[int, set[int]] = {}  # key -> requests that have ended, their answers still leaving
        self.flagger = Flagger()
        self.cut_least = CUT_LEAST * min(c.aim for c in settings.classes)  # s
        self.taken, self.further = deque(), deque()  # times, for the attempt budget
        self.tokens = [[0.0, -inf] for _ in settings.tenants]
        self.worth, self.work = RunningMean(1.0), RunningMean(1.0)  # of a request
        self.others = DecayingMean(WINDOW)  # siblings' threads a core, over all engines
        self.sent = DecayingMean(UNSEEN)  # siblings' threads sent
        self.usual = DecayingMean(LONG)  # own threads out
        self.threads_each = DecayingMean(LONG)  # threads of a query
        self.threads_out, self.probe_room = 0, PROBES[1]
        self.blind = settings.gateways > 1 and settings.report_how == "probe"  # no answer tells of load
        self.probe_rate = min(PROBES[0], PROBE_SPEND[self.blind] / max(settings.probe_price, 1e-9))
        self.looks = settings.gateways > 1 and self.probe_rate >= 1  # before each send: each can pay for it
        self.last_trouble, self.gap, self.gap_at, self.sweep_due, self.backoff = -inf, 0.0, 0.0, inf, 1.0

    def handle(self, now: float, events) -> list:
        self.now, self.actions, self.siblings = now, [], {}
        if not self.subscribed:
            self.on_timer(api.Timer(1))
        self.notice_gap()
        self.usual.add(now, self.threads_out, min(now - self.seen_at, LONG))
        self.seen_at = now
        for kind, handler in self.HANDLERS.items():
            for event in [event for event in events if type(event) is kind]:
                handler(self, event)
        self.serve_line()
        if self.held and self.sweep_due == inf:
            self.sweep_due = now + SWEEP
            self.do(api.SetTimer(SWEEP, 0))
        return self.actions

    def do(self, action) -> None:
        self.actions.append(action)

    def notice_gap(self) -> None:
        """A gap in the own clock is no one's silence; it widens the margin of last answers for a while."""
        gap = self.now - self.sweep_due
        if gap > 5 * SWEEP:
            for engine in self.engines.values():
                engine.probe_at += gap
                for attempt in engine.out.values():
                    attempt.clock = min(self.now, attempt.clock + gap)
            self.gap, self.gap_at = max(gap, self.seen_gap()), self.now

    def seen_gap(self) -> float:
        return self.gap * exp((self.gap_at - self.now) / LONG)

    def on_timer(self, event: api.Timer) -> None:
        if event.token == 1:
            self.subscribed = True
            self.do(api.Subscribe())
        else:
            self.sweep()

    def on_size(self, event: api.FleetSize) -> None:
        self.settings = replace(self.settings, gateways=event.gateways)
        for engine in self.engines.values():
            engine.settings = self.settings

    def on_list(self, event: api.EngineList) -> None:
        if event.failed:  # ask again with back-off: the list service may be what is overloaded
            self.do(api.SetTimer(self.backoff * (0.5 + self.random.random()), 1))
            self.backoff = min(self.backoff * 2, max(1.0, self.settings.ask_within / 2))
            return
        self.backoff = 1.0
        entries = {entry.engine: entry for entry in event.entries}
        if event.whole:
            entries |= {
                number: replace(engine.entry, state=State.GONE)
                for number, engine in self.engines.items()
                if number not in entries
            }
        for number, entry in entries.items():
            engine, debt = self.engines.get(number), self.random.random() * self.work.value
            if engine is None and entry.state is not State.GONE:
                self.engines[number] = Engine(entry, self.settings, debt, self.now)
            elif engine and entry.state is State.GONE and not engine.out:
                del self.engines[number]
            elif engine and entry.started > engine.entry.started:
                engine.start(entry, debt, self.now)
            elif engine:  # one that is gone is kept until its attempts are over, never used
                engine.entry = entry
        self.orders.clear()
        ready = [(e.entry, e.cores) for e in self.engines.values() if e.entry.state is State.READY]
        self.cores = sum(cores for _, cores in ready) or 1.0
        self.router.on_engine_list(self.now, ready)

    def usual_load(self) -> tuple[float, float]:
        """Own and siblings' threads a core: by reports, else as if each had the own, at most calm."""
        own, siblings = self.usual.mean(self.now, 0.0, SWEEP) / self.cores, self.settings.gateways - 1
        return own, self.others.mean(self.now, min(own * siblings, CALM), 0.5) if siblings else 0.0

    def others_on(self, engine: Engine) -> float:
        """The siblings' threads a core there: its reports, shrunk to the fleet's, and sends not in them."""
        if self.settings.gateways <= 1:
            return 0.0
        engine.sent.decay(self.now)
        # All that hear the same report would go there: what they sent since counts, against the fleet's mean.
        unseen = engine.sent.total - self.sent.total / self.cores
        return max(0.0, engine.others.mean(self.now, self.usual_load()[1], 0.3) + min(unseen, OVERFULL))

    def room(self, rank: int) -> float:
        """The thread bound of a rank: the fuller the fleet, the less for what is worth little per work."""
        pressure = min(max(3 * sum(self.usual_load()) / BOUND - 1.5, 0.0), 1.0) if rank < 3 else 1.0
        return BOUND * (1 + (ROOM[rank] - 1) * pressure)

    def load(self, engine: Engine) -> float:
        """Threads a core, own and others'."""
        number = engine.entry.engine
        if number not in self.siblings:
            self.siblings[number] = self.others_on(engine)
        return engine.threads / engine.cores + self.siblings[number]

    def free_memory(self, engine: Engine) -> float:
        """Capacity less own grants and what the others hold: by reports, else as their threads go by ours."""
        each = sum(s.memory.mean.value / s.spec.threads for s in self.stats) / len(self.stats)
        guess = min(1.0, self.others_on(engine) * engine.cores * each / engine.memory)
        return engine.memory * (1 - engine.memory_used.mean(self.now, guess, 0.3)) - engine.grant

    def take_report(self, engine: Engine, values: tuple) -> None:
        engine.news_at = self.now
        columns = self.settings.report_columns if len(values) == len(self.settings.report_columns) else ()
        told = {name: value for name, value in zip(columns, values) if isfinite(value) and value >= 0}
        shown = None  # threads a core
        if "active" in told:
            shown = told["active"] * self.threads_each.mean(self.now, 1.5, 1.0) / engine.cores
        elif "cpu" in told or "disk_busy" in told:
            busy = min(max(told.get("cpu", 0.0), told.get("disk_busy", 0.0)), 1.0)
            shown = busy * BOUND + max(0.0, busy - BUSY) * SATURATED
        if shown is not None:
            others = min(max(0.0, shown - engine.threads / engine.cores), OVERFULL)
            engine.others.add(self.now, others)
            self.others.add(self.now, others, 1 / len(self.engines) ** 0.5)
        if "memory_used" in told:
            own = engine.grant / engine.memory
            engine.memory_used.add(self.now, max(0.0, min(told["memory_used"], 1.0) - own))
        self.last_trouble = self.now if told.get("waiting", 0) >= 1 else self.last_trouble

    def on_peer_news(self, event: api.PeerLoadReport) -> None:
        if (engine := self.engines.get(event.engine)) is not None:
            engine.sent.add(self.now, event.threads / engine.cores)
            self.sent.add(self.now, event.threads)
            if event.report:
                self.take_report(engine, event.report)

    def lacks_news(self, engine: Engine, req: PendingRequest) -> bool:
        """Who looks before a send: trials; all, if each can pay; long work, if no answer tells of load."""
        long = self.blind and req.work >= self.work.value
        wanted = self.settings.may_probe and (engine.trial or self.looks or long)
        affordable = self.probe_room >= 1 or engine.probe_at <= self.now
        return wanted and affordable and self.now - engine.news_at > FRESH

    def asked(self, engine: Engine) -> bool:
        """Asks, anew after a rest if nothing came, and tells whether an answer may still come."""
        if not engine.probe_at <= self.now <= engine.probe_at + REST[0] and self.settings.may_probe:
            engine.probe_at = self.now
            self.probe_room -= 1
            self.do(api.Probe(engine.entry.engine))
        return engine.probe_at <= self.now <= engine.probe_at + PROBE_WAIT

    def on_probe(self, event: api.ProbeResult) -> None:
        if engine := self.engines.get(event.engine):
            engine.probe_at = inf
            self.router.on_result(self.now, engine.entry, event.result)
            if event.result in (Result.OK, Result.FULL):  # full: too many probes there, no news and no fault
                self.take_report(engine, event.report)
            else:
                engine.strikes += 1
                if event.result is not Result.RESET or engine.strikes >= STRIKES:
                    self.suspect(engine, f"probe: {event.result.value}")

    def on_request(self, ask: api.Request) -> None:
        if ask.request in self.held or not 0 <= ask.cls < len(self.stats):
            return
        stats = self.stats[ask.cls]
        req = PendingRequest(ask, stats, self.now, self.settings.memory_heeded)
        self.held[ask.request] = req
        self.taken.append(self.now)
        self.probe_room = min(self.probe_room + self.probe_rate, PROBES[1])
        for times in (self.taken, self.further):
            while times and times[0] <= self.now - self.settings.budget_span:
                times.popleft()
        req.worth *= self.share_worth(ask.tenant)
        self.work.add(stats.work.mean.value)  # as learned: one told estimate can be hundreds of times off
        self.worth.add(req.worth)
        dense = req.worth / req.work * self.work.value / max(self.worth.value, 1e-9)
        req.rank = sum(dense >= level for level in DENSE)
        if req.spec.ordered and ask.key:
            self.turns.setdefault(ask.key, deque()).append(req)
        if ask.order_unknown:  # sent or not, it could break the order; refused it cannot
            self.give_up(req)
            return
        self.flag(req)
        self.hold(req)  # the line is served at the end of the batch

    def last_moment(self, req: PendingRequest) -> float:
        """When the final answer goes out, whatever is still under way; earlier where gaps were seen."""
        return req.until - LAST - min(self.seen_gap(), 0.3 * (req.until - req.at))

    def share_worth(self, tenant: int) -> float:
        """What is over a tenant's share keeps little worth. The own share may be under one request."""
        if not 0 <= tenant < len(self.tokens) or self.settings.tenants[tenant].quota_rps <= 0:
            return 1.0
        rate = self.settings.tenants[tenant].quota_rps / self.settings.gateways
        level, at = self.tokens[tenant]
        level = min(rate + SPARE_REQUESTS, level + rate * (self.now - at))
        inside = level >= 1
        self.tokens[tenant] = [level - inside, self.now]
        return 1.0 if inside else self.settings.over_share_worth

    def flag(self, req: PendingRequest) -> None:
        """The cheap pass, the flag and its price; an accepted flag waits for memory room."""
        home = next((e for e in self.order(req) if self.usable(e)), None)
        if home is None or req.memory < SMALL * home.memory or self.now - self.last_trouble > WINDOW:
            return
        p = self.flagger.confidence(
            req,
            self.now,
            req.memory / home.memory * 2,
            1 - self.free_memory(home) / home.memory,
            self.load(home) / BOUND / 2,
            self.stats[req.ask.cls].trouble.value,
        )
        req.flagged = p >= P_FLAG
        home.refill(self.now)
        cost = price(p, home.misses)
        if req.flagged and home.quota >= cost:
            home.quota -= cost
            req.accepted = True

    def order(self, req: PendingRequest) -> list[Engine]:
        """Engines it may use, one of its tables' homes first, by instance (rendezvous hashing)."""
        key = group, _ = int(req.ask.tables * 16), req.ask.cls
        if key not in self.orders:
            order = [e for e in self.engines.values() if e.entry.state is State.READY and self.placed(req, e)]
            # A load takes the other end: it would stall its group's readers at their homes.
            tiers = {e: self.router.tier(req.ask.cls, e.entry.zone) for e in order}
            sign = -1 if req.spec.load else 1
            order.sort(key=lambda e: (tiers[e], sign * stable_hash(group, e.entry.engine)))
            near = sum(tier == tiers[order[0]] for tier in tiers.values())  # of the first choice of zones
            spread = min(near, max(1, near - HOMES) if req.spec.load else HOMES)
            if order and self.settings.gateways > 1:
                order.insert(0, order.pop(stable_hash(self.seed, group) % spread))
            if len(self.orders) >= MOST:
                self.orders.clear()
            self.orders[key] = order
        return self.orders[key]

    def placed(self, req: PendingRequest, engine: Engine) -> bool:
        return (req.spec.zones is None or engine.entry.zone in req.spec.zones) and (
            req.spec.kinds is None or engine.entry.kind in req.spec.kinds
        )

    def usable(self, engine: Engine) -> bool:
        ready = engine.entry.state is State.READY and engine.rest_until <= self.now
        return ready and not (engine.trial and engine.out)  # readmission by trickle: one attempt at a time

    def route(self, req: PendingRequest) -> tuple[Engine | None, bool]:
        """Table-group route: the first in the group's order with room; or whether a probe's answer is due."""
        if not self.may_go(req):
            return None, False
        tried = {t.entry.engine for t in req.tries}
        room, short, spare, looks = self.rooms[req.rank], req.rank >= 3 and not req.accepted, [], 0
        for engine in self.order(req):
            if looks >= LOOKS:
                break
            if not self.usable(engine) or not self.may_take(req, engine):
                continue
            looks += 1
            if self.lacks_news(engine, req):
                if self.asked(engine):
                    return None, True
                self.suspect(engine, "silent to a probe")
                continue
            full = req.accepted and self.free_memory(engine) < max(req.memory, req.grant)
            if full or ((req.spec.load or req.spec.yields) and req.ask.tables in engine.loads):
                continue
            load, more = self.load(engine), req.spec.threads / engine.cores
            fits = load + more <= max(room, 1.01 * more)
            # One bad sign makes an engine the last choice but for safe short work, which tries it.
            shunned = engine.entry.engine in tried or (engine.trial and not (short and self.repeatable(req)))
            if not shunned and load + more <= max(min(room, BOUND if short else CALM), 1.01 * more):
                return engine, False
            if fits or (short and load < OVERFULL):
                tier = self.router.tier(req.ask.cls, engine.entry.zone)
                spare.append((shunned, tier, looks > HOMES or not fits, load, engine.entry.engine))
        if self.settings.gateways > HOMES and len(spare) > 2:
            # Many who know the same would all take the emptiest at once, so each takes the better of two.
            spare = [one for one in spare if one[:3] == min(spare)[:3]]
            spare = self.random.sample(spare, min(2, len(spare)))
        return self.engines[min(spare)[4]] if spare else None, False

    def hold(self, req: PendingRequest) -> None:
        if len(self.line) >= MOST:
            self.give_up(req)
        elif not req.waiting:
            req.waiting, req.place = True, (-req.worth / req.work, req.at, req.ask.request)
            self.line.append(req)

    def serve_line(self) -> None:
        if not self.line:
            return
        self.line.sort(key=attrgetter("place"))
        room = self.router.available_rate(self.now, self.cores / self.settings.gateways) * BUSY
        # What stays the same over the pass is worked out once: the line may be long, and passes are many.
        self.rooms = [self.room(rank) for rank in range(len(DENSE) + 1)]
        slow = [min(max(stats.slow.value, 1.0), 1.5) for stats in self.stats]
        now, gap, kept, ahead, looks, nowhere = self.now, self.seen_gap(), [], 0.0, 0, {}
        for req in self.line:
            if req.over:
                continue
            req.waiting, engine, asked = False, None, True
            late = now > (self.last_moment(req) if gap > 0 else req.until - LAST) or self.spent(req)
            # The time left until the latest start that can still make the aim: the waiting deadline.
            left = (req.aim if req.aim < req.until else req.until) - req.run * slow[req.ask.cls] - now
            if looks < LINE_LOOKS and not late and self.turn_free(req):
                looks += 1
                # Sends only fill engines: where one like it found no room in this pass, it finds none either.
                alike, asked = (req.ask.cls, req.ask.tables, req.rank), False
                if req.tries or req.accepted or req.work < nowhere.get(alike, inf):
                    engine, asked = self.route(req)
                    if engine is None and not asked and not req.tries and not req.accepted:
                        nowhere[alike] = req.work
            # The at-once refusal: the line ahead takes longer than it can wait and still make its aim.
            hopeless = not asked and ahead > max(0.0, left) * room and not (req.accepted or req.rank == 3)
            hopeless = hopeless or (engine is None and self.router.is_saturated(now, req.ask.cls, req.work))
            if engine is not None:
                self.send(req, engine)
            elif hopeless or late or (left < 0 and not asked):
                self.give_up(req)
            else:
                req.waiting = True
                kept.append(req)
                ahead += req.work
        self.line = kept

    def turn_free(self, req: PendingRequest) -> bool:
        if not (req.spec.ordered and req.ask.key):
            return True
        self.trim_turns(req.ask.key)
        first = self.turns.get(req.ask.key, (None,))[0] is req and req.ask.key not in self.unread
        return first and self.key_rest.get(req.ask.key, -inf) <= self.now

    def trim_turns(self, key: int) -> None:
        queue = self.turns.get(key)
        while queue and queue[0].over and not queue[0].out:
            queue.popleft()
        if not queue:
            self.turns.pop(key, None)

    def shed(self, key: int, queue: deque) -> None:
        """Refuses who waits for a turn that comes too late, where one behind would miss its own by it."""
        start, late, lose = max(self.now, self.key_rest.get(key, -inf)), [], 0.0
        for req in [req for req in queue if not req.over]:
            takes, ends = self.expected(req) + self.turn_gap, start + TURN * self.expected(req)
            if req.out:
                start += max(0.0, takes - (self.now - req.tries[-1].clock))
            elif ends > req.until:
                late, lose = [*late, req], lose + takes
            else:
                for other in late if ends + lose > req.until else ():
                    self.give_up(other)
                start += takes

    def may_go(self, req: PendingRequest) -> bool:
        """The rules that do not depend on the engine, for first attempts, retries and copies alike."""
        told = self.settings
        over = (
            req.over
            or req.streaming
            or self.now >= req.until
            or len(req.tries) >= told.try_limit
            or (req.out and (not told.parallel_tries or req.out >= 2))
        )
        return not (over or self.spent(req)) and self.turn_free(req) and (not req.tries or self.in_budget())

    def spent(self, req: PendingRequest) -> bool:
        """It may have run, and may not run again: not at all, or not that late."""
        ran = None if req.spec.repeat is Repeat.SAFE else req.first_run()
        return bool(ran) and (req.spec.repeat is Repeat.UNSAFE or self.now >= ran.at + req.spec.repeat_window)

    def may_take(self, req: PendingRequest, engine: Engine) -> bool:
        """The rules that do."""
        spec, now = req.spec, self.now
        if engine.entry.state is not State.READY or not self.placed(req, engine):
            return False
        ran = req.first_run() if spec.repeat is Repeat.KEYED and spec.group != "all" else None
        if ran and getattr(ran.entry, spec.group) != getattr(engine.entry, spec.group):
            return False
        # The cold budget last: it is worked out at each look.
        may = self.router.may_take(now, req.ask.cls, engine.entry.zone, req.work)
        return may and engine.cold_fits(req.work, now)

    def in_budget(self) -> bool:
        told, since = self.settings, self.now - self.settings.budget_span
        if told.budget_share is None:
            return True
        further, taken = (sum(at > since for at in times) for times in (self.further, self.taken))
        return further + 1 <= told.budget_free + told.budget_share * taken

    def send(self, req: PendingRequest, engine: Engine) -> None:
        told = self.settings
        if told.ranks_heeded or told.memory_heeded:
            priority = max(req.rank, 2) if req.spec.load else req.rank  # others wait for the tables it holds
            self.do(api.Terms(req.ask.request, priority, req.grant if told.memory_heeded else 0.0))
        if req.tries and told.budget_share is not None:
            self.further.append(self.now)
        attempt = Attempt(req, engine, self.now, min(req.grant, engine.memory * told.largest_share))
        req.tries.append(attempt)
        req.out += 1
        engine.out[(req.ask.request, attempt.index)] = attempt
        engine.threads += req.spec.threads
        engine.grant += attempt.grant
        if req.spec.load:
            engine.loads[req.ask.tables] = engine.loads.get(req.ask.tables, 0) + 1
        engine.cold_level -= req.work
        self.router.on_send(self.now, engine.entry.zone, req.work)
        self.threads_out += req.spec.threads
        limited = not told.may_cancel and self.repeatable(req) and len(req.tries) < told.try_limit
        limit = min(2 * self.overdue(attempt), req.until - self.now) if limited else 0.0
        announce = self.rooms[0] < BOUND and self.load(engine) < sum(self.usual_load())
        self.do(api.Send(req.ask.request, engine.entry.engine, limit, announce))

    def repeatable(self, req: PendingRequest) -> bool:
        return req.spec.repeat is Repeat.SAFE and not req.streaming and not req.over

    def expected(self, req: PendingRequest) -> float:
        return req.run * min(max(self.stats[req.ask.cls].slow.value, 1.0), 5.0)

    def overdue(self, attempt: Attempt) -> float:
        """Guards against restarts that only waste work: wider where run times scatter, and at each try."""
        times = 2**attempt.index * exp(SCATTER * self.stats[attempt.req.ask.cls].scatter.value)
        return max(self.cut_least, OVERRUN * times * self.expected(attempt.req))

    def give_up(self, req: PendingRequest) -> None:
        """The one final answer of ours; at once, with a hint when to come back."""
        if req.over:
            return
        drops_repeats = req.spec.repeat is Repeat.KEYED and req.spec.group == "all"
        if drops_repeats or req.spec.repeat is Repeat.SAFE or not req.first_run():
            hint = min(self.random.uniform(*HINT), self.settings.max_retry_after)
            self.do(api.Reject(req.ask.request, hint if self.settings.retry_after else 0.0))
        else:
            self.do(api.Fail(req.ask.request))
        self.finish(req)

    def finish(self, req: PendingRequest) -> None:
        req.over = True
        for attempt in req.tries:
            if attempt.done is None and not req.streaming:
                self.cancel(attempt)
        if not req.out:
            self.forget(req)

    def forget(self, req: PendingRequest) -> None:
        self.held.pop(req.ask.request, None)
        req.tries.clear()  # they lead back to it: a cycle would wait for the collector
        if req.spec.ordered and req.ask.key and self.settings.order_gap:
            # The next of its key waits until this one's answer is out: in the same batch, it overtook that.
            self.rest_key(req.ask.key, self.settings.order_gap)
            if not req.answered:
                self.unread.setdefault(req.ask.key, set()).add(req.ask.request)
        self.trim_turns(req.ask.key)

    def rest_key(self, key: int, rest: float) -> None:
        self.key_rest[key] = max(self.key_rest.get(key, -inf), self.now + rest)

    def on_answered(self, event: api.AnswerSent) -> None:
        self.rest_key(event.key, event.delivery_time)
        self.turn_gap = event.delivery_time
        if event.request in self.held:  # an attempt of it has not ended yet
            self.held[event.request].answered = True
        elif event.key in self.unread:
            self.unread[event.key].discard(event.request)
            if not self.unread[event.key]:
                del self.unread[event.key]

    def on_gone(self, event: api.ClientGone) -> None:
        if event.request in self.held:
            self.finish(self.held[event.request])

    def on_started(self, event: api.Started) -> None:
        if event.request in self.held:
            self.held[event.request].streaming = True

    def attempt_of(self, event) -> Attempt | None:
        """The attempt that an outcome or a note tells of, if it has not ended."""
        req = self.held.get(event.request)
        known = req is not None and 0 <= event.attempt < len(req.tries) and not req.tries[event.attempt].done
        return req.tries[event.attempt] if known else None

    def on_outcome(self, event: api.Outcome) -> None:
        if (attempt := self.attempt_of(event)) is None:
            return
        req, attempt.done = attempt.req, event.result
        req.out -= 1
        self.threads_out -= req.spec.threads
        self.router.on_result(self.now, attempt.entry, event.result)
        engine = self.engines.get(attempt.entry.engine)
        if engine and engine.out.pop((event.request, event.attempt), None):
            engine.threads -= req.spec.threads
            if req.spec.load:
                engine.loads[req.ask.tables] -= 1
                if not engine.loads[req.ask.tables]:
                    del engine.loads[req.ask.tables]
            engine.grant = max(0.0, engine.grant - attempt.grant) if engine.out else 0.0
            if event.report:
                self.take_report(engine, event.report)
            self.judge(engine, attempt, event)
            if event.result is Result.OK:
                self.learn(engine, attempt, event)
            if engine.entry.state is State.GONE and not engine.out:  # else each that was replaced would stay
                del self.engines[attempt.entry.engine]
        if req.spec.ordered and event.result in api.MAY_RUN_ON:
            self.rest_key(req.ask.key, self.settings.order_pause)
        if event.final or event.result is Result.OK:
            self.finish(req)
        elif not req.over and not req.out:
            # Guards the engines against a request that none can use, too.
            stuck = self.spent(req) or sum(t.done is Result.ERROR for t in req.tries) >= ERRORS
            if stuck or req.streaming or len(req.tries) >= self.settings.try_limit:
                self.give_up(req)
            else:
                self.hold(req)
        if req.over and not req.out:
            self.forget(req)

    def judge(self, engine: Engine, attempt: Attempt, event: api.Outcome) -> None:
        if event.result is Result.OK:
            engine.last_ok, engine.trial, engine.rest, engine.strikes = self.now, False, REST[0], 0
        elif event.result is Result.FULL:  # overfull by all instances together: no fault of its own
            engine.news_at = self.now
            engine.others.add(self.now, OVERFULL)
        elif event.result is Result.CONNECT_FAILED:
            self.suspect(engine, event.result.value)
        elif event.result in (Result.ERROR, Result.RESET):
            engine.strikes += 1  # a network that resets a connection says little: a dead process resets many
            earlier = next((t for t in attempt.req.tries[:-1] if t.done is Result.ERROR), None)
            if event.result is Result.ERROR and earlier:
                self.pardon(earlier)  # no engine can use this request: that says nothing of them
            elif event.result is Result.ERROR or engine.strikes >= STRIKES:
                self.suspect(engine, event.result.value)
                attempt.blamed = True

    def pardon(self, attempt: Attempt) -> None:
        if (engine := self.engines.get(attempt.entry.engine)) and attempt.blamed and engine.strikes <= 1:
            engine.rest_until, engine.rest, engine.trial, engine.strikes = 0.0, REST[0], False, 0

    def learn(self, engine: Engine, attempt: Attempt, event: api.Outcome) -> None:
        req, stats = attempt.req, self.stats[attempt.req.ask.cls]
        due = (event.work if event.work > 0 else req.work) / req.spec.threads
        slow, usual = (self.now - attempt.clock) / max(due, 0.001), stats.slow.value
        stats.scatter.add(abs(bounded_log((self.now - attempt.clock) / self.expected(req), RATIO_MOST)))
        stats.slow.add(min(slow, RATIO_MOST))
        stats.work.learn(req.ask.work, event.work)
        stats.memory.learn(req.ask.memory_mb, event.memory_mb)
        self.threads_each.add(self.now, req.spec.threads, self.now - attempt.clock)
        spilled = event.memory_mb > attempt.grant > 0
        trouble = attempt.told_trouble or (spilled and slow > usual * 1.5) or slow > usual * OVERRUN
        stats.trouble.add(float(trouble))
        self.flagger.learn(req, trouble, self.now)
        if trouble:
            self.last_trouble = self.now
            engine.refill(self.now)
            engine.troubles, engine.misses = engine.troubles + 1, engine.misses + (not req.flagged)

    def on_note(self, event: api.Note) -> None:
        if (attempt := self.attempt_of(event)) is None:
            return
        if event.kind is api.NoteKind.SPILLS or (event.kind is api.NoteKind.WAITS and event.value == 1):
            attempt.told_trouble, self.last_trouble = True, self.now
        elif event.kind is api.NoteKind.PROGRESS and event.value > 0.001:
            # A bad plan shows in its pace long before it is overdue; also holds against a starved attempt.
            most = max(self.cut_least, OVERRUN * self.expected(attempt.req))
            if (self.now - attempt.clock) / event.value > most:
                self.cut(attempt)

    def suspect(self, engine: Engine, why: str) -> None:
        """One bad sign: a rest that doubles, for a capped share at most; then last choice until an answer."""
        engine.trial = True
        rests = [e.rest_until > self.now for e in self.engines.values() if e.entry.state is State.READY]
        if engine.rest_until <= self.now and sum(rests) < int(len(rests) * EJECT_SHARE):
            if engine.rest == REST[0]:
                self.do(api.Log(f"engine {engine.entry.engine} rests: {why}"))
            engine.rest_until = self.now + engine.rest
            engine.rest = min(engine.rest * 2, REST[1])

    def cut(self, attempt: Attempt) -> None:
        """Stop an attempt far past its time (bad plan, silent or slow engine) and try anew elsewhere."""
        req = attempt.req
        open_try = len(req.tries) < self.settings.try_limit and req.until - self.now >= self.expected(req)
        if open_try and self.repeatable(req) and self.in_budget():
            self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        if self.settings.may_cancel and not attempt.cut:
            attempt.cut = True
            self.do(api.Cancel(attempt.req.ask.request, attempt.index))

    def sweep(self) -> None:
        self.sweep_due = inf
        # Guards against an outcome (a cancel's, a time-out's) that comes too late to answer in time.
        for req in list(self.held.values()):
            if not req.over and not req.streaming and self.now > self.last_moment(req):
                self.give_up(req)
            for attempt in req.tries:
                self.watch(attempt)
        for key, queue in list(self.turns.items()):
            self.shed(key, queue)
        self.key_rest = {key: until for key, until in self.key_rest.items() if until > self.now}

    def watch(self, attempt: Attempt) -> None:
        """What is overdue is cut, in case of a bad plan, and silence is asked about."""
        if attempt.done is not None or self.now - attempt.clock <= self.overdue(attempt):
            return
        engine, key = self.engines.get(attempt.entry.engine), attempt.req.ask.key
        self.cut(attempt)
        if attempt.req.spec.ordered and self.now > attempt.req.aim and len(self.turns.get(key, ())) > 1:
            self.give_up(attempt.req)  # guards those behind it against an answer that never comes
        if engine and max(engine.last_ok, engine.news_at) <= attempt.at and not self.asked(engine):
            self.suspect(engine, "silent")

    HANDLERS = {
        api.FleetSize: on_size,
        api.EngineList: on_list,
        api.PeerLoadReport: on_peer_news,
        api.Outcome: on_outcome,
        api.ProbeResult: on_probe,
        api.Started: on_started,
        api.Note: on_note,
        api.Request: on_request,
        api.ClientGone: on_gone,
        api.AnswerSent: on_answered,
        api.Timer: on_timer,
    }
