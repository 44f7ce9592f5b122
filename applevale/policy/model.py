"""The state that the parts of the decision module share: requests, attempts, classes and engines."""

from __future__ import annotations

from math import inf
from random import Random

from .. import api, circuit_breaker, containers, estimators, rate_limits
from . import config


class Attempt:
    """One execution of a request on one engine."""

    def __init__(self, pending: PendingRequest, engine: Engine):
        """Create an attempt that is sent now."""
        self.pending = pending
        self.entry = engine.entry
        self.index = len(pending.attempts)  # position among the attempts of the request
        self.sent_at = engine.context.now
        self.running_since = self.sent_at  # moved forward by each stall of this instance
        self.granted_mb = min(pending.grant_mb, engine.memory_mb * engine.context.settings.largest_share)
        self.result: api.Result | None = None
        self.is_cancelled = False
        self.met_memory_pressure = False  # whether the engine reported memory pressure
        self.caused_ejection = False


class PendingRequest:
    """A request that was received and has not ended."""

    def __init__(self, request: api.Request, context: Context, value_factor: float):
        """Create a request that is received now; `value_factor` is lower beyond its tenant's quota."""
        self.request = request
        self.stats = context.classes[request.class_index]
        self.spec = self.stats.spec
        self.deadline = context.now + max(0.0, estimators.finite_or(request.timeout, self.spec.deadline))
        self.max_stall_margin = config.MAX_STALL_MARGIN_SHARE * (self.deadline - context.now)
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts without a result
        self.is_finished = False  # whether it has its final answer, or its client is gone
        self.is_streaming = False  # whether its client receives rows: no other attempt can answer it
        self.is_answered = False  # whether its final answer has been delivered
        self.is_memory_risk = False  # whether it may exhaust the memory of its engine
        self.waits_for_memory = False  # whether it needs an engine with enough free memory
        # Inputs of the prediction of memory pressure; empty if there was none.
        self.features: tuple[float, ...] = ()
        announced_work = estimators.finite_or(request.estimated_work, 0.0)
        self.work = max(self.stats.work.expect(announced_work), config.MIN_WORK_SECONDS)
        announced_mb = estimators.finite_or(max(request.estimated_memory_mb, 0.0), 0.0)
        self.memory_mb = self.stats.memory.expect(announced_mb)
        if announced_mb and not context.settings.engines_honor_memory:
            self.grant_mb = announced_mb * config.ANNOUNCED_MEMORY_MARGIN
        else:
            self.grant_mb = self.memory_mb * config.EXPECTED_MEMORY_MARGIN
        self.run_time = self.work / self.spec.threads  # expected run time on an idle engine
        self.target_at = context.now + self.spec.aim + self.spec.aim_stretch * self.run_time
        self.value = self.spec.worth * value_factor  # value of an answer by `target_at`
        # The usual work of the class is added to the mean, since one announced estimate can be far off.
        context.value_density.add(self.value, self.stats.work.mean.value)
        density = context.value_density.density(self.value, self.work)
        self.priority = sum(density >= least_density for least_density in config.PRIORITY_DENSITIES)
        self.queue_key = (-self.value / self.work, context.now, request.request_id)

    def allows(self, entry: api.EngineEntry) -> bool:
        """Return whether the placement rules of its class allow an engine."""
        is_zone_allowed = self.spec.zones is None or entry.zone in self.spec.zones
        is_kind_allowed = self.spec.kinds is None or entry.kind in self.spec.kinds
        return is_zone_allowed and is_kind_allowed

    def is_safely_repeatable(self) -> bool:
        """Return whether another execution is harmless and can still answer it."""
        return self.spec.repeat is api.RepeatPolicy.SAFE and not self.is_streaming and not self.is_finished

    def first_executed(self) -> Attempt | None:
        """Return the first attempt that may have been executed."""
        return next((attempt for attempt in self.attempts if attempt.result not in api.NEVER_EXECUTED), None)

    def is_repeat_forbidden(self, now: float) -> bool:
        """Return whether it may have been executed, and engines would not recognize a repetition."""
        first = None if self.spec.repeat is api.RepeatPolicy.SAFE else self.first_executed()
        window = self.spec.repeat_window if self.spec.repeat is api.RepeatPolicy.KEYED else -inf
        return first is not None and now >= first.sent_at + window

    def final_answer_at(self, stall: float) -> float:
        """Return the time of its final answer, which is earlier after a recent stall (s)."""
        return self.deadline - config.FINAL_ANSWER_MARGIN_SECONDS - min(stall, self.max_stall_margin)

    def expected_run_time(self) -> float:
        """Return its expected run time on an engine with the usual load."""
        return self.stats.run_time.expect(self.run_time)


class ClassStatistics:
    """What is learned from the completed requests of one class."""

    def __init__(self, spec: api.ClassSpec):
        """Create the statistics of a class without completed requests."""
        self.spec = spec
        mean_work = max(
            spec.aim / config.TARGET_TO_RUN_TIME_RATIO * spec.threads, config.MIN_MEAN_WORK_SECONDS
        )
        self.work = estimators.EstimateCorrection(mean_work, config.MAX_LEARNED_RATIO)
        self.memory = estimators.EstimateCorrection(0.0, config.MAX_LEARNED_RATIO)
        self.memory_pressure_share = estimators.RunningMean(0.0)  # share of requests that met pressure
        self.run_time = estimators.RunTimeEstimate(
            config.SLOWDOWN_PRIOR,
            config.SCATTER_PRIOR,
            config.MAX_LEARNED_RATIO,
            config.MAX_EXPECTED_SLOWDOWN,
        )

    def learn(self, attempt: Attempt, event: api.AttemptOutcome, run_time: float) -> bool:
        """Learn from a completed attempt; return whether it met memory pressure."""
        pending = attempt.pending
        usual_slowdown = self.run_time.slowdown.value
        used_work = event.used_work if event.used_work > 0 else pending.work
        free_run_time = used_work / self.spec.threads
        slowdown = self.run_time.learn(pending.expected_run_time(), free_run_time, run_time)
        self.work.learn(pending.request.estimated_work, event.used_work)
        self.memory.learn(pending.request.estimated_memory_mb, event.used_memory_mb)
        has_spilled = event.used_memory_mb > attempt.granted_mb > 0
        limit = config.SPILL_PRESSURE_SLOWDOWN if has_spilled else config.MEMORY_PRESSURE_SLOWDOWN
        met_pressure = attempt.met_memory_pressure or slowdown > usual_slowdown * limit
        self.memory_pressure_share.add(float(met_pressure))
        return met_pressure


class Engine:
    """One engine: the attempts of this instance in flight on it, its reported load, and its health."""

    def __init__(self, entry: api.EngineEntry, context: Context, initial_debt: float):
        """Create an engine that was added to the list; `initial_debt` is passed on to `reset`."""
        kinds = context.settings.kinds
        kind = kinds[min(entry.kind, len(kinds) - 1)]
        self.context = context
        self.cores = kind.cores or max(entry.size, config.MIN_CORES)
        self.memory_mb = kind.memory_mb or inf
        self.attempts: containers.Reservations[Attempt] = containers.Reservations()
        self.memory_risk_quota = rate_limits.AdaptiveQuota(config.MEMORY_PRESSURE_WINDOW_SECONDS, base=1.0)
        self.reset(entry, initial_debt)

    def reset(self, entry: api.EngineEntry, initial_debt: float) -> None:
        """Reset load and health at a restart; the cold budget starts with a debt, in seconds of work."""
        self.entry = entry
        has_many_peers = self.context.settings.gateways > config.AFFINITY_ENGINES
        decay = config.REPORT_DECAY_MANY_PEERS_SECONDS if has_many_peers else config.REPORT_DECAY_SECONDS
        self.peer_load = estimators.DecayingMean(decay)  # threads per core
        self.peer_memory = estimators.DecayingMean(config.REPORT_DECAY_SECONDS)  # share of its memory
        self.peer_sends = estimators.DecayingMean(config.PEER_SEND_DECAY_SECONDS)  # threads per core
        self.health = circuit_breaker.CircuitBreaker(config.EJECTION_SECONDS, config.MAX_EJECTION_SECONDS)
        self.reported_at = -inf
        self.succeeded_at = -inf
        self.probed_at = inf  # time at which the probe in flight was sent; infinite if there is none
        # Work (s) that the engine may get while it warms up.
        self.cold_budget = rate_limits.TokenBucket(-initial_debt, self.context.now)

    def runs_table_load(self, table_group: float) -> bool:
        """Return whether this instance runs a load of these tables on it, which blocks their readers."""
        requests = (attempt.pending for attempt in self.attempts.items)
        return any(pending.spec.load and pending.request.table_group == table_group for pending in requests)

    def is_available(self) -> bool:
        """Return whether it may get an attempt; on probation it gets one at a time."""
        is_ready = self.entry.state is api.EngineState.READY and self.health.open_until <= self.context.now
        return is_ready and not (self.health.on_probation and self.attempts.items)

    def capacity_share(self, now: float) -> float:
        """Return the share of its full capacity that it has; it grows to 1 during the warm-up."""
        settings = self.context.settings
        age = now - self.entry.started_at
        is_warm = self.entry.started_at <= 0 or age >= settings.warm_up * config.WARM_UP_MARGIN
        return 1.0 if is_warm else estimators.quadratic_ramp(age, settings.warm_up, settings.cold_share)

    def cold_budget_allows(self, work: float, now: float) -> bool:
        """Return whether it may get this much work (s); there is no limit after the warm-up."""
        capacity_share = self.capacity_share(now)
        if self.entry.started_at <= 0 or capacity_share >= 1.0:
            return True
        settings = self.context.settings
        fleet_rate = settings.fall_multiple * capacity_share * self.cores * config.COLD_CAPACITY_FACTOR
        own_rate = fleet_rate / settings.gateways
        max_level = own_rate * settings.fall / config.COLD_BURST_DIVISOR
        self.cold_budget.refill(now, own_rate, max_level)
        max_work = fleet_rate * settings.fall * config.COLD_REQUEST_SHARE
        # This instance's share may be smaller than one request, so a request that is sent may leave a debt.
        return self.cold_budget.level >= 0 and work <= max_work


class Context:
    """What all parts of the decision module share: settings, clock, random numbers, engines, actions."""

    def __init__(self, settings: api.Settings, seed: int, zone_router: api.Router):
        """Create the state of an instance that knows no engine."""
        self.settings = settings
        self.zone_router = zone_router
        self.random = Random(seed)
        # The hash makes the order of engines differ between instances.
        self.instance_hash = self.random.getrandbits(config.INSTANCE_HASH_BITS)
        self.now = -inf  # time of the present batch of events
        self.memory_pressure_at = -inf  # time of the last memory pressure on any engine
        self.actions: list[api.Action] = []  # actions of the present batch
        self.engines: dict[int, Engine] = {}  # an engine that is gone stays until its attempts have ended
        self.ready_cores = 1.0  # cores of all ready engines; never 0
        self.value_density = estimators.RelativeDensity()
        self.classes = [ClassStatistics(spec) for spec in settings.classes]

    def ready_engines(self) -> list[Engine]:
        """Return the engines that are listed as ready, including ejected ones."""
        return [engine for engine in self.engines.values() if engine.entry.state is api.EngineState.READY]
