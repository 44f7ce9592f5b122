"""Online estimators: running means, decaying means and the correction of announced quantities.

They know no request, engine or setting; constants that belong to a decision are passed in by the decision
module. None of them reads a clock.
"""

from __future__ import annotations

from math import exp, inf, log

# Priors of an EstimateCorrection, in observations.
EXCESS_PRIOR_COUNT = 2
VARIANCE_PRIOR_COUNT = 3
VARIANCE_PRIOR = 1.0
COVARIANCE_PRIOR = 0.8
MIN_VARIANCE = 0.01


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
