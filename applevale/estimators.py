"""Online estimators: running and decaying means, a logistic model, the correction of announced quantities.

They know no request, engine or setting; constants that belong to a decision are passed in by the decision
module. None of them reads a clock.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from math import exp, inf, isfinite, log

from .containers import ExpiringKeys

# Priors of an EstimateCorrection, in observations.
EXCESS_PRIOR_COUNT = 2
VARIANCE_PRIOR_COUNT = 3
VARIANCE_PRIOR = 1.0
COVARIANCE_PRIOR = 0.8
MIN_VARIANCE = 0.01

MIN_FREE_RUN_TIME = 0.001  # seconds, of a RunTimeEstimate
MIN_MEAN_VALUE = 1e-9  # of a RelativeDensity


class RunningMean:
    """A mean of the last values: plain at first, then an exponentially weighted one.

    `value` is the present mean and `count` the number of values it stands for, at most `max_count`.
    """

    def __init__(self, prior: float, max_count: int = 200, count: int = 0):
        """Start with `prior`, which weighs as much as `count` values."""
        self.value = prior
        self.count = count
        self.max_count = max_count

    def add(self, value: float) -> None:
        """Take in one value."""
        self.count = min(self.count + 1, self.max_count)
        self.value += (value - self.value) / self.count


class DecayingMean:
    """A weighted mean whose evidence decays exponentially with time, towards the prior it is asked with.

    `total` is the sum of value x weight and `weight` the sum of weights, both as of the time `updated_at`.
    """

    def __init__(self, time_constant: float):
        """Let the evidence decay by 1/e within `time_constant` seconds."""
        self.time_constant = time_constant
        self.total = 0.0
        self.weight = 0.0
        self.updated_at = -inf

    def decay(self, now: float) -> None:
        """Let the evidence decay until `now` (s); an earlier time leaves it as it is."""
        kept = exp((self.updated_at - now) / self.time_constant) if self.updated_at < now else 1.0
        self.total *= kept
        self.weight *= kept
        self.updated_at = now

    def add(self, now: float, value: float, weight: float = 1.0) -> None:
        """Take in one value with its weight."""
        self.decay(now)
        self.total += value * weight
        self.weight += weight

    def mean(self, now: float, prior: float, prior_weight: float) -> float:
        """Return the mean as of `now`, with a prior that weighs `prior_weight`."""
        self.decay(now)
        return (self.total + prior * prior_weight) / (self.weight + prior_weight)


class LogisticModel:
    """An online logistic regression: the probability of an outcome by some features."""

    def __init__(self, weights: Iterable[float], step: float, max_weight: float):
        """Start with `weights`, one for each feature; no weight grows beyond `max_weight` either way."""
        self.weights = list(weights)
        self.step = step
        self.max_weight = max_weight

    def predict(self, features: Sequence[float]) -> float:
        """Return the probability of the outcome."""
        return 1 / (1 + exp(-sum(weight * value for weight, value in zip(self.weights, features))))

    def learn(self, features: Sequence[float], outcome: bool) -> None:
        """Take in whether the outcome came about."""
        step = self.step * (outcome - self.predict(features))
        limit = self.max_weight
        self.weights = [
            max(-limit, min(limit, weight + step * value)) for weight, value in zip(self.weights, features)
        ]


def binary_entropy(probability: float) -> float:
    """Return the entropy (bits) of an outcome of this probability; 0 outside of ]0, 1[."""
    if probability <= 0 or probability >= 1:
        return 0.0
    return -(probability * log(probability, 2) + (1 - probability) * log(1 - probability, 2))


def bounded_log(ratio: float, max_ratio: float) -> float:
    """Return the natural logarithm of `ratio`, bounded to `max_ratio` and its inverse."""
    return log(min(max(ratio, 1 / max_ratio), max_ratio))


class EstimateCorrection:
    """Predicts a needed quantity from an announced one that scatters and may be biased.

    A linear regression of the logarithms; without an announced quantity it predicts the mean of what was
    needed.
    """

    def __init__(self, mean: float, max_ratio: float):
        """Start from a mean; ratios of needed to announced beyond `max_ratio` count as that."""
        self.max_ratio = max_ratio
        self.mean = RunningMean(mean)
        self.announced_log = RunningMean(0.0)
        self.excess = RunningMean(0.0, count=EXCESS_PRIOR_COUNT)
        self.variance = RunningMean(VARIANCE_PRIOR, count=VARIANCE_PRIOR_COUNT)
        self.covariance = RunningMean(COVARIANCE_PRIOR, count=VARIANCE_PRIOR_COUNT)

    def expect(self, announced: float) -> float:
        """Return the quantity expected to be needed; 0 or less means that none was announced."""
        if announced <= 0:
            return self.mean.value
        slope = min(max(self.covariance.value / max(self.variance.value, MIN_VARIANCE), 0.0), 1.0)
        offset = log(announced) - self.announced_log.value if self.announced_log.count else 0.0
        return announced * exp(self.excess.value - (1 - slope) * offset)

    def learn(self, announced: float, needed: float) -> None:
        """Take in what was needed where `announced` had been told; 0 or less means unknown."""
        if needed <= 0:
            return
        self.mean.add(needed)
        if announced <= 0:
            return
        excess = bounded_log(needed / announced, self.max_ratio)
        self.announced_log.add(log(announced))
        self.excess.add(excess)
        offset = log(announced) - self.announced_log.value
        self.variance.add(offset * offset)
        self.covariance.add(offset * (offset + excess - self.excess.value))


class RunTimeEstimate:
    """Learns how much longer runs take than on a free machine, and how much that scatters.

    `slowdown` is the mean ratio of run time to free run time, `scatter` the mean deviation of the logarithm
    of a run time from the expected one.
    """

    def __init__(self, slowdown_prior: float, scatter_prior: float, max_ratio: float, max_slowdown: float):
        """Start from these priors.

        Args:
            slowdown_prior: The slowdown before the first run.
            scatter_prior: The scatter before the first run.
            max_ratio: Ratios beyond it count as that.
            max_slowdown: The longest expected run time, as a multiple of the free run time.
        """
        self.max_ratio = max_ratio
        self.max_slowdown = max_slowdown
        self.slowdown = RunningMean(slowdown_prior)
        self.scatter = RunningMean(scatter_prior)

    def expect(self, free_run_time: float) -> float:
        """Return the expected run time (s)."""
        return free_run_time * min(max(self.slowdown.value, 1.0), self.max_slowdown)

    def spread(self, deviations: float) -> float:
        """Return the factor to the expected run time that is so many mean deviations above it."""
        return exp(deviations * self.scatter.value)

    def learn(self, expected: float, free_run_time: float, run_time: float) -> float:
        """Take in a run; return its slowdown."""
        slowdown = run_time / max(free_run_time, MIN_FREE_RUN_TIME)
        self.scatter.add(abs(bounded_log(run_time / expected, self.max_ratio)))
        self.slowdown.add(min(slowdown, self.max_ratio))
        return slowdown


def finite_or(value: float, default: float) -> float:
    """Return `value`, or `default` in place of an infinite value or NaN."""
    return value if isfinite(value) else default


def finite_readings(names: Sequence[str], values: Sequence[float]) -> dict[str, float]:
    """Return the values by name, without negative and infinite ones; none if their number does not match."""
    if len(values) != len(names):
        return {}
    return {name: value for name, value in zip(names, values) if isfinite(value) and value >= 0}


def quadratic_ramp(age: float, duration: float, initial: float) -> float:
    """Return the height of a ramp from `initial` at age 0 to 1 at `duration` that is slow at first."""
    progress = max(0.0, age / duration)
    return initial + (1 - initial) * progress * progress


class TimeWeightedMean:
    """A decaying mean over time of a level that was seen from time to time."""

    def __init__(self, time_constant: float):
        """Let the evidence decay by 1/e within `time_constant` seconds."""
        self.levels = DecayingMean(time_constant)
        self.seen_at = -inf

    def add(self, now: float, level: float) -> None:
        """Take in the level since the last call, which counts for a time constant at most."""
        self.levels.add(now, level, min(now - self.seen_at, self.levels.time_constant))
        self.seen_at = now

    def mean(self, now: float, prior_weight: float) -> float:
        """Return the mean as of `now` (s), with a prior of 0."""
        return self.levels.mean(now, 0.0, prior_weight)


class RelativeDensity:
    """Compares the value per cost of an item with the mean of all items."""

    def __init__(self):
        """Begin with a mean value and cost of 1."""
        self.mean_value = RunningMean(1.0)
        self.mean_cost = RunningMean(1.0)

    def add(self, value: float, usual_cost: float) -> None:
        """Take in an item by its value, and a cost that must not be far off."""
        self.mean_cost.add(usual_cost)
        self.mean_value.add(value)

    def density(self, value: float, cost: float) -> float:
        """Return the value per cost, 1 for the mean item."""
        return value / cost * self.mean_cost.value / max(self.mean_value.value, MIN_MEAN_VALUE)


class RememberingClassifier:
    """Predicts an outcome by a logistic model, or by an outcome of the same kind that it missed lately."""

    def __init__(self, model: LogisticModel, misses: ExpiringKeys, lifetime: float):
        """Remember a missed outcome for `lifetime` seconds."""
        self.model = model
        self.misses = misses
        self.lifetime = lifetime

    def predict(self, now: float, kind: Hashable, features: Sequence[float]) -> float:
        """Return the probability of the outcome; 1 if one of its kind was missed lately."""
        return 1.0 if self.misses.is_valid(kind, now) else self.model.predict(features)

    def learn(
        self, now: float, kind: Hashable, features: Sequence[float], outcome: bool, expected: bool
    ) -> None:
        """Take in whether the outcome came about, and was expected; the model learns only from features."""
        if features:
            self.model.learn(features, outcome)
        if outcome and not expected:
            self.misses.add(kind, now + self.lifetime)


def unit_features(*values: float) -> tuple[float, ...]:
    """Return features of a model: 1 for its bias, and the values bounded to 0 and 1."""
    return (1.0, *(min(1.0, max(0.0, value)) for value in values))
