"""Admission: recognizes requests that may exhaust an engine's memory, and enforces the quotas of tenants."""

from math import inf, log

from .. import containers, estimators, rate_limits
from . import config
from .load_estimation import LoadEstimator
from .model import Context, Engine, PendingRequest


def memory_risk_cost(probability: float, miss_count: int) -> float:
    """Return the cost of a memory risk: it rises with the uncertainty and falls with recent misses."""
    cost = 1 + estimators.binary_entropy(probability) - config.MISS_DISCOUNT * miss_count
    return max(cost, config.MIN_MEMORY_RISK_COST)


class Admission:
    """Recognizes memory risks and enforces the quotas of tenants.

    A memory risk is a request that may exhaust the memory of its engine. It waits for free memory if the
    engine's quota covers its cost, and is treated like any other request otherwise.
    """

    def __init__(self, context: Context, load: LoadEstimator):
        """Create the admission of an instance, with an untrained model and empty quotas."""
        self._context = context
        self._load = load
        model = estimators.LogisticModel(
            config.INITIAL_MODEL_WEIGHTS, config.LEARNING_RATE, config.MAX_MODEL_WEIGHT
        )
        misses = containers.ExpiringKeys(config.MAX_REMEMBERED_MISSES)
        self.predictor = estimators.RememberingClassifier(model, misses, config.MISS_LIFETIME_SECONDS)
        self._tenant_buckets = [rate_limits.TokenBucket(0.0, -inf) for _ in context.settings.tenants]

    def similarity_key(self, pending: PendingRequest) -> tuple[int, float, int]:
        """Return the key of similar requests: class, table group and magnitude of the memory."""
        memory_magnitude = int(log(max(pending.memory_mb, 1.0), config.MEMORY_LOG_BASE))
        return (pending.request.class_index, pending.request.table_group, memory_magnitude)

    def assess_memory_risk(self, pending: PendingRequest, engines: list[Engine]) -> None:
        """Mark a request that may exhaust the memory of the first available engine in `engines`."""
        now = self._context.now
        engine = next(filter(Engine.is_available, engines), None)
        pressure_age = now - self._context.memory_pressure_at
        if engine is None or pressure_age > config.MEMORY_PRESSURE_WINDOW_SECONDS:
            return
        if pending.memory_mb < config.SMALL_MEMORY_SHARE * engine.memory_mb:
            return
        memory_share = pending.memory_mb / engine.memory_mb
        used_share = 1 - self._load.free_memory(engine) / engine.memory_mb
        relative_load = self._load.engine_load(engine) / config.THREAD_LIMIT
        pending.features = estimators.unit_features(
            memory_share * config.FEATURE_SCALE,
            used_share,
            relative_load / config.FEATURE_SCALE,
            pending.stats.memory_pressure_share.value,
        )
        probability = self.predictor.predict(now, self.similarity_key(pending), pending.features)
        pending.is_memory_risk = probability >= config.MEMORY_RISK_THRESHOLD
        engine.memory_risk_quota.refill(now)
        cost = memory_risk_cost(probability, engine.memory_risk_quota.missed)
        pending.waits_for_memory = pending.is_memory_risk and engine.memory_risk_quota.spend(cost)

    def learn(self, pending: PendingRequest, engine: Engine, met_pressure: bool) -> None:
        """Learn from a completed request whether it met memory pressure on its engine."""
        now = self._context.now
        key = self.similarity_key(pending) if met_pressure else None
        self.predictor.learn(now, key, pending.features, met_pressure, pending.is_memory_risk)
        if met_pressure:
            self._context.memory_pressure_at = now
            engine.memory_risk_quota.record(now, not pending.is_memory_risk)

    def value_factor(self, tenant: int) -> float:
        """Count a request of a tenant; return the factor of its value, which is lower above the quota."""
        settings = self._context.settings
        is_known = 0 <= tenant < len(self._tenant_buckets)
        if not is_known or settings.tenants[tenant].quota_rps <= 0:
            return 1.0
        # The rate may be below one request per second.
        own_rate = settings.tenants[tenant].quota_rps / settings.gateways
        bucket = self._tenant_buckets[tenant]
        bucket.refill(self._context.now, own_rate, own_rate + config.TENANT_BURST_REQUESTS)
        return 1.0 if bucket.take() else settings.over_share_worth
