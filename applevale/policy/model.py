"""What this instance knows: its requests and their attempts, classes, engines, and what all parts share."""

from __future__ import annotations

from math import inf, isfinite
from random import Random

from .. import api, circuit_breaker, containers, estimators, rate_limits
from . import config


class Attempt:
    """One execution of a request on one engine."""

    def __init__(self, pending: PendingRequest, engine: Engine):
        self.pending, self.entry, self.index = pending, engine.entry, len(pending.attempts)
        self.sent_at = self.running_since = engine.context.now  # the latter is moved on by own stalls
        self.granted_mb = min(pending.grant_mb, engine.memory_mb * engine.context.settings.largest_share)
        self.result: api.Result | None = None
        self.is_cancelled = self.met_memory_trouble = self.caused_ejection = False


class PendingRequest:
    """A request that this instance has taken and not yet ended."""

    def __init__(self, request: api.Request, context: Context, worth_factor: float):
        now, stats = context.now, context.classes[request.cls]
        self.request, self.stats, self.spec = request, stats, stats.spec
        self.deadline = now + max(0.0, request.ttl if isfinite(request.ttl) else stats.spec.deadline)
        self.max_stall_margin = 0.3 * (self.deadline - now)
        self.attempts, self.in_flight, self.features = [], 0, ()  # the last: of the flag model
        self.is_finished = self.is_streaming = self.is_answered = False
        self.is_flagged = self.is_flag_accepted = False
        self.work = max(stats.work.expect(request.work if isfinite(request.work) else 0.0), 1e-4)
        announced_mb = max(request.memory_mb, 0.0) if isfinite(request.memory_mb) else 0.0
        self.memory_mb = stats.memory.expect(announced_mb)
        is_fixed = announced_mb and not context.settings.memory_heeded
        self.grant_mb = announced_mb * 1.25 if is_fixed else self.memory_mb * 1.5
        self.run_time, self.worth = self.work / stats.spec.threads, stats.spec.worth * worth_factor
        self.aim_at = now + stats.spec.aim + stats.spec.aim_stretch * self.run_time
        context.request_density.add(self.worth, stats.work.mean.value)  # an announced estimate can be far off
        density = context.request_density.density(self.worth, self.work)
        self.rank = sum(density >= level for level in config.RANK_DENSITIES)
        self.queue_key = (-self.worth / self.work, now, request.request)

    def allows(self, entry: api.EngineEntry) -> bool:
        zones, kinds = self.spec.zones, self.spec.kinds
        return (zones is None or entry.zone in zones) and (kinds is None or entry.kind in kinds)

    def is_repeatable(self) -> bool:
        return self.spec.repeat is api.Repeat.SAFE and not self.is_streaming and not self.is_finished

    def first_executed(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.result not in api.NEVER_RAN), None)

    def is_spent(self, now: float) -> bool:
        first = None if self.spec.repeat is api.Repeat.SAFE else self.first_executed()
        window = self.spec.repeat_window if self.spec.repeat is api.Repeat.KEYED else -inf
        return first is not None and now >= first.sent_at + window

    def final_answer_at(self, stall: float) -> float:
        return self.deadline - config.FINAL_ANSWER_MARGIN - min(stall, self.max_stall_margin)

    def expected_run_time(self) -> float:
        return self.stats.run_time.expect(self.run_time)


class ClassStatistics:
    """What is learned of the requests of one class."""

    def __init__(self, spec: api.ClassSpec):
        self.spec = spec
        self.work = estimators.EstimateCorrection(max(spec.aim / 3 * spec.threads, 0.001), config.MAX_RATIO)
        self.memory = estimators.EstimateCorrection(0.0, config.MAX_RATIO)
        self.trouble = estimators.RunningMean(0.0)  # share of requests that met memory trouble
        priors = (config.SLOWDOWN_PRIOR, config.SCATTER_PRIOR)
        self.run_time = estimators.RunTimeEstimate(*priors, config.MAX_RATIO, config.MAX_EXPECTED_SLOWDOWN)

    def learn(self, attempt: Attempt, event: api.Outcome, run_time: float) -> bool:
        pending, usual_slowdown = attempt.pending, self.run_time.slowdown.value
        free_run_time = (event.work if event.work > 0 else pending.work) / self.spec.threads
        slowdown = self.run_time.learn(pending.expected_run_time(), free_run_time, run_time)
        self.work.learn(pending.request.work, event.work)
        self.memory.learn(pending.request.memory_mb, event.memory_mb)
        spilled = event.memory_mb > attempt.granted_mb > 0
        is_slow = slowdown > usual_slowdown * (config.SPILL_SLOWDOWN if spilled else config.OVERRUN)
        self.trouble.add(float(attempt.met_memory_trouble or is_slow))
        return attempt.met_memory_trouble or is_slow


class Engine:
    """One engine: the own attempts on it, what reports show of the others', and its health."""

    def __init__(self, entry: api.EngineEntry, context: Context, cold_debt: float):
        kind = context.settings.kinds[min(entry.kind, len(context.settings.kinds) - 1)]
        self.context, self.flag_quota = context, rate_limits.AdaptiveQuota(config.WINDOW, base=1.0)
        self.attempts: containers.Reservations[Attempt] = containers.Reservations()  # own, in flight
        self.cores, self.memory_mb = kind.cores or max(entry.size, 0.1), kind.memory_mb or inf
        self.start(entry, cold_debt)

    def start(self, entry: api.EngineEntry, cold_debt: float) -> None:
        self.entry, has_many_peers = entry, self.context.settings.gateways > config.HOME_ENGINES
        report_fade = config.REPORT_FADE_MANY if has_many_peers else config.WINDOW
        self.peer_load = estimators.DecayingMean(report_fade)  # threads per core
        self.peer_memory = estimators.DecayingMean(config.WINDOW)  # share of its memory
        self.peer_sends = estimators.DecayingMean(config.SEND_FADE)  # threads per core
        self.health = circuit_breaker.CircuitBreaker(config.EJECTION_TIME, config.MAX_EJECTION_TIME)
        self.reported_at, self.succeeded_at, self.probed_at = -inf, -inf, inf  # inf: no probe is in flight
        self.cold_budget = rate_limits.TokenBucket(-cold_debt, self.context.now)  # not as of its start

    def has_load_of(self, tables: float) -> bool:
        loads = (one.pending for one in self.attempts.items if one.pending.spec.load)
        return any(load.request.tables == tables for load in loads)

    def is_available(self) -> bool:
        is_ready = self.entry.state is api.State.READY and self.health.open_until <= self.context.now
        return is_ready and not (self.health.on_probation and self.attempts.items)

    def warmth(self, now: float) -> float:
        age, settings = now - self.entry.started, self.context.settings
        is_warm = self.entry.started <= 0 or age >= settings.warm_up * 1.05
        return 1.0 if is_warm else estimators.quadratic_ramp(age, settings.warm_up, settings.cold_share)

    def cold_budget_allows(self, work: float, now: float) -> bool:
        if self.entry.started <= 0 or (warmth := self.warmth(now)) >= 1.0:
            return True
        settings = self.context.settings
        rate = settings.fall_multiple * warmth * self.cores * config.COLD_SAFETY
        own_rate = rate / settings.gateways  # may be under one query, so it may go into debt
        self.cold_budget.refill(now, own_rate, own_rate * settings.fall / 4)
        return self.cold_budget.level >= 0 and work <= rate * settings.fall * config.COLD_SINGLE_SHARE


class Context:
    """Settings, clock, random numbers, zone router, engines, classes, and the actions of this batch."""

    def __init__(self, settings: api.Settings, seed: int, zone_router: api.Router):
        self.settings, self.zone_router, self.random = settings, zone_router, Random(seed)
        self.instance_hash = self.random.getrandbits(48)  # spreads the instances over a group's home engines
        self.now, self.memory_trouble_at = -inf, -inf  # the latter: its last sign on any engine
        self.actions, self.engines = [], {}  # an engine that is gone stays until its attempts have ended
        self.ready_cores, self.request_density = 1.0, estimators.RelativeDensity()  # worth per work
        self.classes = [ClassStatistics(spec) for spec in settings.classes]

    def ready_engines(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.entry.state is api.State.READY]
