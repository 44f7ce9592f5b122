"""Online estimators: running and decaying means, a logistic model, corrections of estimates.

They are independent of requests, engines and settings, and read no clock.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from math import exp, inf, isfinite, log

from .containers import ExpiringKeys

# Priors of EstimateCorrection; a count is the number of observations that a prior weighs as much as.
EXCESS_PRIOR_COUNT = 2
VARIANCE_PRIOR_COUNT = 3
VARIANCE_PRIOR = 1.0
COVARIANCE_PRIOR = 0.8
MIN_VARIANCE = 0.01

MIN_FREE_RUN_TIME_SECONDS = 0.001  # shorter times count as this in ratios
MIN_MEAN_VALUE = 1e-9  # avoids a division by zero


class RunningMean:
    """The plain mean of the first `max_count` values, and an exponentially weighted mean after them.

    Attributes:
        value: The mean.
        count: Number of values that the mean weighs as much as, at most `max_count`.
    """

    def __init__(self, prior: float, max_count: int = 200, count: int = 0):
        """Create a mean with a prior that weighs as much as `count` values."""
        self.value = prior
        self.count = count
        self.max_count = max_count

    def add(self, value: float) -> None:
        """Add a value."""
        self.count = min(self.count + 1, self.max_count)
        self.value += (value - self.value) / self.count


class DecayingMean:
    """A weighted mean of values whose weights decay exponentially with time.

    Attributes:
        total: Sum of the products of values and weights, at the time `updated_at`.
        weight: Sum of the weights, at the time `updated_at`.
        updated_at: Time (s) of the last decay.
    """

    def __init__(self, time_constant: float):
        """Create a mean without values, whose weights decay to 1/e in `time_constant` seconds."""
        self.time_constant = time_constant
        self.total = 0.0
        self.weight = 0.0
        self.updated_at = -inf

    def decay(self, now: float) -> None:
        """Let the weights decay until `now` (s), unless that is before the last decay."""
        kept = exp((self.updated_at - now) / self.time_constant) if self.updated_at < now else 1.0
        self.total *= kept
        self.weight *= kept
        self.updated_at = now

    def add(self, now: float, value: float, weight: float = 1.0) -> None:
        """Add a value with its weight."""
        self.decay(now)
        self.total += value * weight
        self.weight += weight

    def mean(self, now: float, prior: float, prior_weight: float) -> float:
        """Return the mean at `now` (s), with a prior of the weight `prior_weight`."""
        self.decay(now)
        return (self.total + prior * prior_weight) / (self.weight + prior_weight)


class LogisticModel:
    """An online logistic regression of the probability of an outcome on features."""

    def __init__(self, weights: Iterable[float], learning_rate: float, max_weight: float):
        """Create a model.

        Args:
            weights: Initial weights, one for each feature.
            learning_rate: Factor of the gradient in each step.
            max_weight: Bound of the absolute value of each weight.
        """
        self.weights = list(weights)
        self.learning_rate = learning_rate
        self.max_weight = max_weight

    def predict(self, features: Sequence[float]) -> float:
        """Return the probability of the outcome."""
        return 1 / (1 + exp(-sum(weight * value for weight, value in zip(self.weights, features))))

    def learn(self, features: Sequence[float], outcome: bool) -> None:
        """Learn whether the outcome occurred."""
        step = self.learning_rate * (outcome - self.predict(features))
        limit = self.max_weight
        self.weights = [
            max(-limit, min(limit, weight + step * value)) for weight, value in zip(self.weights, features)
        ]


def binary_entropy(probability: float) -> float:
    """Return the entropy (bits) of an outcome of this probability; 0 if it is not between 0 and 1."""
    if probability <= 0 or probability >= 1:
        return 0.0
    return -(probability * log(probability, 2) + (1 - probability) * log(1 - probability, 2))


def bounded_log(ratio: float, max_ratio: float) -> float:
    """Return the natural logarithm of `ratio`, which is bounded to `max_ratio` and its inverse."""
    return log(min(max(ratio, 1 / max_ratio), max_ratio))


class EstimateCorrection:
    """Corrects announced quantities, which may be noisy and biased, by the quantities that were needed.

    It is an online linear regression of the logarithms. Where nothing was announced, it predicts the mean of
    the needed quantities.

    Attributes:
        mean: Mean of the needed quantities.
        announced_log: Mean logarithm of the announced quantities.
        excess: Mean logarithm of the ratio of needed to announced quantities.
        variance: Variance of the logarithms of the announced quantities.
        covariance: Covariance of the logarithms of the announced and the needed quantities.
    """

    def __init__(self, mean: float, max_ratio: float):
        """Create a correction with a prior mean; ratios of needed to announced are bounded to `max_ratio`."""
        self.max_ratio = max_ratio
        self.mean = RunningMean(mean)
        self.announced_log = RunningMean(0.0)
        self.excess = RunningMean(0.0, count=EXCESS_PRIOR_COUNT)
        self.variance = RunningMean(VARIANCE_PRIOR, count=VARIANCE_PRIOR_COUNT)
        self.covariance = RunningMean(COVARIANCE_PRIOR, count=VARIANCE_PRIOR_COUNT)

    def expect(self, announced: float) -> float:
        """Return the quantity that is expected to be needed; `announced` is 0 or less if unknown."""
        if announced <= 0:
            return self.mean.value
        variance = max(self.variance.value, MIN_VARIANCE)
        slope = min(max(self.covariance.value / variance, 0.0), 1.0)
        offset = log(announced) - self.announced_log.value if self.announced_log.count else 0.0
        return announced * exp(self.excess.value - (1 - slope) * offset)

    def learn(self, announced: float, needed: float) -> None:
        """Learn the quantity that was needed; either argument is 0 or less if unknown."""
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
    """Predicts run times from free run times, which are those on an idle machine.

    Attributes:
        slowdown: Mean ratio of run time to free run time.
        scatter: Mean deviation of the logarithm of the run time from that of the expected one.
    """

    def __init__(self, slowdown_prior: float, scatter_prior: float, max_ratio: float, max_slowdown: float):
        """Create an estimate without runs.

        Args:
            slowdown_prior: Slowdown before the first run.
            scatter_prior: Scatter before the first run.
            max_ratio: Bound of learned ratios.
            max_slowdown: Bound of the expected slowdown.
        """
        self.max_ratio = max_ratio
        self.max_slowdown = max_slowdown
        self.slowdown = RunningMean(slowdown_prior)
        self.scatter = RunningMean(scatter_prior)

    def expect(self, free_run_time: float) -> float:
        """Return the expected run time (s) for a free run time (s)."""
        return free_run_time * min(max(self.slowdown.value, 1.0), self.max_slowdown)

    def spread(self, deviations: float) -> float:
        """Return the ratio to the expected run time of one that is this many mean deviations longer."""
        return exp(deviations * self.scatter.value)

    def learn(self, expected: float, free_run_time: float, run_time: float) -> float:
        """Learn from a run; return its slowdown. All arguments are in seconds."""
        slowdown = run_time / max(free_run_time, MIN_FREE_RUN_TIME_SECONDS)
        self.scatter.add(abs(bounded_log(run_time / expected, self.max_ratio)))
        self.slowdown.add(min(slowdown, self.max_ratio))
        return slowdown


def finite_or(value: float, default: float) -> float:
    """Return `value`, or `default` in place of an infinite value or NaN."""
    return value if isfinite(value) else default


def finite_readings(names: Sequence[str], values: Sequence[float]) -> dict[str, float]:
    """Return values by name, without negative, infinite and NaN values; empty if the lengths differ."""
    if len(values) != len(names):
        return {}
    return {name: value for name, value in zip(names, values) if isfinite(value) and value >= 0}


def quadratic_ramp(age: float, duration: float, initial: float) -> float:
    """Return the value at `age` of a quadratic ramp from `initial` at age 0 to 1 at age `duration`."""
    progress = max(0.0, age / duration)
    return initial + (1 - initial) * progress * progress


class TimeWeightedMean:
    """A decaying mean over time of a level that is sampled at irregular intervals."""

    def __init__(self, time_constant: float):
        """Create a mean without values, whose weights decay to 1/e in `time_constant` seconds."""
        self.levels = DecayingMean(time_constant)
        self.sampled_at = -inf

    def add(self, now: float, level: float) -> None:
        """Add the level since the last sample, weighted by the time since then, at most one time constant."""
        self.levels.add(now, level, min(now - self.sampled_at, self.levels.time_constant))
        self.sampled_at = now

    def mean(self, now: float, prior_weight: float) -> float:
        """Return the mean at `now` (s), with a prior of 0 that weighs `prior_weight` seconds."""
        return self.levels.mean(now, 0.0, prior_weight)


class RelativeDensity:
    """Compares the value per cost of an item with that of the mean item."""

    def __init__(self):
        """Create a comparison with a mean value and a mean cost of 1."""
        self.mean_value = RunningMean(1.0)
        self.mean_cost = RunningMean(1.0)

    def add(self, value: float, usual_cost: float) -> None:
        """Add an item by its value and the usual cost of such an item."""
        self.mean_cost.add(usual_cost)
        self.mean_value.add(value)

    def density(self, value: float, cost: float) -> float:
        """Return the value per cost, relative to that of the mean item."""
        return value / cost * self.mean_cost.value / max(self.mean_value.value, MIN_MEAN_VALUE)


class RememberingClassifier:
    """Predicts an outcome by a logistic model, except for kinds whose outcome was recently missed."""

    def __init__(self, model: LogisticModel, misses: ExpiringKeys, lifetime: float):
        """Create a classifier that remembers a missed outcome for `lifetime` seconds."""
        self.model = model
        self.misses = misses
        self.lifetime = lifetime

    def predict(self, now: float, kind: Hashable, features: Sequence[float]) -> float:
        """Return the probability of the outcome; 1 if an outcome of this kind was recently missed."""
        return 1.0 if self.misses.is_valid(kind, now) else self.model.predict(features)

    def learn(
        self, now: float, kind: Hashable, features: Sequence[float], outcome: bool, expected: bool
    ) -> None:
        """Learn whether the outcome occurred; a kind whose outcome was not expected is remembered.

        The model learns only if there are features.
        """
        if features:
            self.model.learn(features, outcome)
        if outcome and not expected:
            self.misses.add(kind, now + self.lifetime)


def unit_features(*values: float) -> tuple[float, ...]:
    """Return the features of a model: 1 for the bias, and the values, bounded to the range 0 to 1."""
    return (1.0, *(min(1.0, max(0.0, value)) for value in values))
