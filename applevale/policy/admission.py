"""Admission: flags for requests that may meet memory trouble, their price, and tenants' shares."""

from math import inf, log

from .. import containers, estimators, rate_limits
from . import config
from .load_estimation import LoadEstimator
from .model import Context, Engine, PendingRequest


def flag_price(confidence: float, misses: int) -> float:
    """Return what a flag costs: more the less sure it is, less after misses on this engine."""
    price = 1 + config.ENTROPY_PRICE * estimators.binary_entropy(confidence) - config.MISS_DISCOUNT * misses
    return max(price, config.MIN_FLAG_PRICE)


class Admission:
    """Flags requests and counts tenants' shares; a flag that its engine's quota pays for waits for memory."""

    def __init__(self, context: Context, load: LoadEstimator):
        self.context, self.load = context, load
        model = estimators.LogisticModel(config.MODEL_WEIGHTS, config.MODEL_STEP, max_weight=8.0)
        misses = containers.ExpiringKeys(config.MAX_KEPT)
        self.predictor = estimators.RememberingClassifier(model, misses, config.MISS_LIFETIME)
        self._tenant_buckets = [rate_limits.TokenBucket(0.0, -inf) for _ in context.settings.tenants]

    def kind_of(self, pending: PendingRequest) -> tuple[int, float, int]:
        return (pending.request.cls, pending.request.tables, int(log(max(pending.memory_mb, 1.0), 2)))

    def flag(self, pending: PendingRequest, engines: list[Engine]) -> None:
        now, home = self.context.now, next(filter(Engine.is_available, engines), None)
        is_calm = now - self.context.memory_trouble_at > config.WINDOW
        if home is None or is_calm or pending.memory_mb < config.SMALL_MEMORY_SHARE * home.memory_mb:
            return
        size, used = pending.memory_mb / home.memory_mb, 1 - self.load.free_memory(home) / home.memory_mb
        load = self.load.engine_load(home) / config.THREAD_LIMIT
        pending.features = estimators.unit_features(size * 2, used, load / 2, pending.stats.trouble.value)
        confidence = self.predictor.predict(now, self.kind_of(pending), pending.features)
        pending.is_flagged = confidence >= config.FLAG_CONFIDENCE
        home.flag_quota.refill(now)
        price = flag_price(confidence, home.flag_quota.missed)
        pending.is_flag_accepted = pending.is_flagged and home.flag_quota.spend(price)

    def learn(self, pending: PendingRequest, engine: Engine, met_trouble: bool) -> None:
        now, is_flagged = self.context.now, pending.is_flagged
        kind = self.kind_of(pending) if met_trouble else None
        self.predictor.learn(now, kind, pending.features, met_trouble, is_flagged)
        if met_trouble:
            self.context.memory_trouble_at = now
            engine.flag_quota.record(now, not is_flagged)

    def worth_factor(self, tenant: int) -> float:
        settings = self.context.settings
        if not 0 <= tenant < len(self._tenant_buckets) or settings.tenants[tenant].quota_rps <= 0:
            return 1.0
        rate = settings.tenants[tenant].quota_rps / settings.gateways  # may be under one request
        self._tenant_buckets[tenant].refill(self.context.now, rate, rate + config.TENANT_BURST)
        return 1.0 if self._tenant_buckets[tenant].take() else settings.over_share_worth
