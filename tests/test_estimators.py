"""The arithmetic and the containers of the decision module."""

from math import exp
from random import Random

import pytest

from applevale.circuit_breaker import CircuitBreaker
from applevale.containers import (
    BoundedCache,
    ExpiringKeys,
    KeyedSets,
    Reservations,
    SerialQueues,
    TurnForecast,
)
from applevale.dispatching import dispatch_by_type
from applevale.estimators import (
    LogisticModel,
    RelativeDensity,
    RememberingClassifier,
    RunTimeEstimate,
    TimeWeightedMean,
    binary_entropy,
    finite_readings,
    quadratic_ramp,
    unit_features,
)
from applevale.rate_limits import AdaptiveQuota, ExponentialBackoff, RatioBudget, TokenBucket
from applevale.selection import better_of_two
from applevale.stalls import StallDetector


def test_a_logistic_model_learns_within_its_bounds():
    model = LogisticModel((0.0, 0.0), learning_rate=0.5, max_weight=2.0)
    assert model.predict((1.0, 1.0)) == 0.5
    for _ in range(100):
        model.learn((1.0, 1.0), True)
    assert model.weights == [2.0, 2.0] and model.predict((1.0, 1.0)) > 0.95


def test_a_missed_outcome_is_predicted_until_it_is_forgotten():
    classifier = RememberingClassifier(LogisticModel((-2.0,), 0.1, 8.0), ExpiringKeys(2), lifetime=10.0)
    classifier.learn(0.0, "kind", (), outcome=True, expected=False)
    assert classifier.predict(9.0, "kind", (1.0,)) == 1.0
    assert classifier.predict(11.0, "kind", (1.0,)) < 0.2
    assert classifier.model.weights == [-2.0]  # the model learns nothing without features


def test_entropy_ramp_readings_and_features():
    assert binary_entropy(0.5) == pytest.approx(1.0)
    assert binary_entropy(0.0) == binary_entropy(1.0) == 0.0
    assert [quadratic_ramp(age, 10.0, 0.2) for age in (-1.0, 0.0, 5.0, 10.0)] == [0.2, 0.2, 0.4, 1.0]
    assert finite_readings(("a", "b", "c"), (1.0, float("nan"), -1.0)) == {"a": 1.0}
    assert finite_readings(("a", "b"), (1.0,)) == {}
    assert unit_features(-1.0, 0.5, 3.0) == (1.0, 0.0, 0.5, 1.0)


def test_run_times_are_predicted_by_the_observed_slowdown():
    estimate = RunTimeEstimate(1.5, 0.3, max_ratio=20.0, max_slowdown=5.0)
    assert estimate.expect(2.0) == 3.0
    assert estimate.learn(expected=1.5, free_run_time=1.0, run_time=100.0) == 100.0
    assert estimate.slowdown.value == 20.0 and estimate.expect(1.0) == 5.0
    assert estimate.spread(2.0) == exp(2.0 * estimate.scatter.value)


def test_density_is_relative_to_the_mean_item():
    density = RelativeDensity()
    density.add(value=2.0, usual_cost=4.0)
    assert density.density(value=2.0, cost=4.0) == pytest.approx(1.0)
    assert density.density(value=2.0, cost=1.0) == pytest.approx(4.0)


def test_a_level_is_weighted_by_its_duration():
    mean = TimeWeightedMean(10.0)
    mean.add(0.0, 0.0)
    mean.add(10.0, 4.0)
    assert mean.mean(10.0, prior_weight=0.0) == pytest.approx(4.0 / (1 + exp(-1.0)))


def test_a_token_bucket_fills_to_its_capacity_and_may_be_in_debt():
    bucket = TokenBucket(-1.0, 0.0)
    bucket.refill(1.0, rate=1.5, capacity=1.0)
    assert bucket.level == 0.5 and not bucket.take()
    bucket.refill(9.0, rate=1.5, capacity=1.0)
    assert bucket.take() and bucket.level == 0.0
    bucket.refill(3.0, rate=1.5, capacity=1.0)
    assert bucket.level == 0.0


def test_a_backoff_doubles_up_to_its_limit_and_can_be_reset():
    backoff = ExponentialBackoff(1.0, 3.0)
    assert [backoff.advance() for _ in range(4)] == [1.0, 2.0, 3.0, 3.0]
    assert not backoff.is_initial
    backoff.reset()
    assert backoff.is_initial and backoff.delay == 1.0


def test_extra_events_stay_within_their_share_of_the_window():
    budget = RatioBudget(span=5.0, share=0.5, allowance=0.0)
    assert not budget.allows_extra(0.0)
    for _ in range(4):
        budget.record_ordinary(0.0)
    for _ in range(2):
        assert budget.allows_extra(0.0)
        budget.record_extra(0.0)
    assert not budget.allows_extra(0.0)
    budget.record_ordinary(6.0)
    assert not budget.extra and len(budget.ordinary) == 1
    assert RatioBudget(5.0, share=None, allowance=0.0).allows_extra(0.0)


def test_a_quota_follows_the_events_of_the_last_window():
    quota = AdaptiveQuota(window=3.0, base=1.0)
    quota.record(0.0, is_missed=True)
    quota.record(1.0, is_missed=False)
    assert quota.quota == 1.0 and quota.missed == 1
    quota.refill(3.0)
    assert quota.quota == 3.0 and quota.missed == 0
    assert quota.spend(2.5) and not quota.spend(1.0)


def test_a_circuit_breaker_opens_longer_each_time():
    breaker = CircuitBreaker(1.0, 8.0)
    assert not breaker.record_failure(is_conclusive=False, max_failures=2)
    assert breaker.record_failure(is_conclusive=False, max_failures=2)
    assert breaker.open(0.0) and breaker.is_open(0.5) and not breaker.is_open(1.0)
    assert not breaker.open(1.0) and breaker.is_open(2.5)
    breaker.record_success()
    assert breaker.is_open(2.5) and breaker.consecutive_failures == 0 and breaker.backoff.is_initial
    breaker.close()
    assert not breaker.is_open(2.5)


def test_bounded_containers_drop_the_oldest_key_or_all_values():
    keys = ExpiringKeys(2)
    for key in "abc":
        keys.add(key, 10.0)
    assert [keys.is_valid(key, 5.0) for key in "abc"] == [False, True, True] and not keys.is_valid("c", 10.0)
    cache = BoundedCache(2)
    assert [cache.put(key, key) for key in "abc"] == ["a", "b", "c"]
    assert cache.get("a") is None and cache.get("c") == "c"


def test_reservations_sum_the_threads_and_memory_of_their_items():
    held = Reservations()
    held.add("a", 2, 0.1)
    held.add("b", 1, 0.2)
    assert held.remove("a", 2, 0.1) and not held.remove("a", 2, 0.1)
    assert held.threads == 1 and held.remove("b", 1, 0.2) and held.memory == 0.0


def test_keyed_sets_do_not_store_empty_sets():
    sets = KeyedSets()
    sets.add(1, "a")
    sets.discard(1, "b")
    assert 1 in sets and len(sets) == 1
    sets.discard(1, "a")
    assert 1 not in sets and not sets


def test_serial_queues_keep_the_order_and_respect_pauses_and_blocks():
    ended, first, second = set(), object(), object()  # items are compared by identity
    queues = SerialQueues(ended.__contains__)
    for item in (first, second):
        queues.append(1, item)
    assert queues.has_turn(1, first, 0.0) and not queues.has_turn(1, second, 0.0)
    ended.add(first)
    queues.pause(1, 2.0, blocker=7)
    assert not queues.has_turn(1, second, 3.0)
    queues.blocks.discard(1, 7)
    assert not queues.has_turn(1, second, 1.0) and queues.has_turn(1, second, 2.0)
    ended.add(second)
    queues.drop_ended(1)
    assert not queues.queues and queues.length(1) == 0


def test_a_late_item_is_blocking_only_if_one_behind_it_can_then_end_in_time():
    queues = SerialQueues(lambda item: False)
    for item in ("running", "late", "patient", "urgent", "ended"):
        queues.append(1, item)
    turns = {
        "running": TurnForecast(1.0, 1.0, 1.0, running_for=0.5),
        "late": TurnForecast(1.0, 2.0, 2.0, None),
        "patient": TurnForecast(1.0, 1.0, 9.0, None),
        "urgent": TurnForecast(1.0, 1.0, 3.0, None),
        "ended": None,
    }
    queues.pause(2, 5.0)
    assert list(queues.blocking_items(0.0, turns.get)) == ["late"]
    assert list(queues.blocking_items(5.0, lambda item: None)) == [] and not queues.paused_until


def test_a_late_timer_shows_a_stall_that_decays():
    stalls = StallDetector(interval=0.1, tolerance=0.2, time_constant=10.0)
    assert stalls.check(5.0) == 0.0 and stalls.set_timer(5.0) and not stalls.set_timer(5.0)
    assert stalls.check(5.25) == 0.0
    assert stalls.check(6.1) == pytest.approx(1.0)
    stalls.on_timer()
    assert stalls.check(7.0) == 0.0 and stalls.recent(16.1) == pytest.approx(exp(-1.0))


def test_the_better_of_two_is_from_the_best_class():
    candidates = [(0, 0.5, 1), (0, 0.1, 2), (0, 0.9, 3), (1, 0.0, 4)]
    drawn = {better_of_two(Random(seed), candidates, 1) for seed in range(50)}
    assert drawn == {(0, 0.5, 1), (0, 0.1, 2)}


def test_a_batch_is_handled_type_by_type():
    handled = []
    dispatch_by_type({str: handled.append, int: handled.append}, (1, "a", 2.0, "b", 2))
    assert handled == ["a", "b", 1, 2]
