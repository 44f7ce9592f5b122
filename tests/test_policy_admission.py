"""Admission: memory risks, quotas of tenants, corrected estimates, priorities, early rejections."""

from math import log
from random import Random

import pytest
from policy_driver import PolicyDriver, actions_of

from applevale import api
from applevale.estimators import DecayingMean, EstimateCorrection
from applevale.policy.admission import memory_risk_cost
from applevale.policy.config import MAX_LEARNED_RATIO


def test_the_cost_of_a_memory_risk_rises_with_uncertainty_and_falls_with_misses():
    assert memory_risk_cost(1.0, 0) == pytest.approx(1.0)
    assert memory_risk_cost(0.5, 0) == pytest.approx(2.0)
    assert memory_risk_cost(0.5, 5) < memory_risk_cost(0.5, 0)
    assert memory_risk_cost(1.0, 100) == pytest.approx(0.2)


def test_after_a_miss_similar_requests_are_memory_risks_for_a_while():
    driver = PolicyDriver()
    request_id, _ = driver.submit(1, work=2.0, memory=3000.0)
    request = driver.pending_request(request_id)
    admission = driver.controller.admission
    key = admission.similarity_key(request)
    features = (1.0, 0.1, 0.1, 0.1, 0.0)
    admission.learn(request, driver.engine(1), True)
    assert admission.predictor.predict(driver.now + 1, key, features) == 1.0
    assert admission.predictor.predict(driver.now + 1000, key, features) < 1.0


def test_a_memory_risk_waits_for_free_memory_and_is_rejected_at_its_deadline():
    driver = PolicyDriver(engines=1)
    engine = driver.engine(1)
    driver.controller.context.memory_pressure_at = driver.now
    driver.controller.admission.predictor.model.weights = [8.0, 0.0, 0.0, 0.0, 0.0]
    driver.report_load(1, memory_used=0.95)
    engine.memory_risk_quota.quota = 5.0
    engine.memory_risk_quota.next_refill = driver.now + 3.0
    request_id, actions = driver.submit(1, work=3.0, memory=4000.0)
    assert not actions_of(api.Send, actions)
    assert not actions_of(api.Reject, actions)
    later_actions = []
    for _ in range(60):
        driver.report_load(1, memory_used=0.95)
        later_actions += driver.run(0.1)
    rejections = actions_of(api.Reject, later_actions)
    assert [rejection.request_id for rejection in rejections] == [request_id]
    assert rejections[0].retry_after > 0
    assert not actions_of(api.Send, later_actions)


def test_requests_sent_after_a_load_report_reduce_the_free_memory():
    driver = PolicyDriver(engines=1)
    engine = driver.engine(1)
    driver.report_load(1, memory_used=0.5)
    reported = driver.controller.load.free_memory(engine)
    driver.now += 0.01
    driver.submit(1, work=1.0, memory=2000.0)
    assert driver.controller.load.free_memory(engine) <= reported - 2000.0


def test_a_request_with_a_very_short_timeout_is_rejected_at_once():
    driver = PolicyDriver()
    _, actions = driver.submit(timeout=0.02)
    assert actions_of(api.Reject, actions)
    assert not actions_of(api.Send, actions)


def test_a_timeout_of_zero_does_not_mean_the_deadline_of_the_class():
    driver = PolicyDriver()
    request = api.Request(900, 0, timeout=0.0, estimated_work=0.2)
    assert actions_of(api.Reject, driver.handle(request))


def test_memory_is_granted_only_where_engines_honor_it():
    for is_honored in (True, False):
        driver = PolicyDriver(engines_honor_memory=is_honored)
        driver.submit(1, memory=1000.0)
        (resources,) = driver.logged(api.SetResources)
        assert (resources.memory_mb > 0) is is_honored


def test_light_values_do_not_hide_heavy_ones_in_a_decaying_mean():
    slowness = DecayingMean(5.0)
    for step in range(4):
        slowness.add(step * 0.1, 4.0, 1.0)
        for _ in range(6):
            slowness.add(step * 0.1, 1.0, 0.02)
    assert slowness.mean(0.4, 1.0, 1.0) > 2.0


def test_requests_beyond_the_quota_of_their_tenant_have_a_low_value():
    tenants = (api.TenantSpec("a", 2.0), api.TenantSpec("b", 100.0))
    driver = PolicyDriver(tenants=tenants, over_share_worth=0.1)
    request_ids = [driver.submit(tenant_index=0)[0] for _ in range(6)]
    values = [driver.pending_request(request_id).value for request_id in request_ids]
    assert 1.0 in values
    assert values[-1] == pytest.approx(0.1)


def test_scattered_and_biased_estimates_are_corrected():
    random = Random(5)
    correction = EstimateCorrection(1.0, MAX_LEARNED_RATIO)
    errors_of_mean_factor = []
    errors_of_correction = []
    for number in range(400):
        needed = random.lognormvariate(0.0, 0.5)
        estimate = 3.0 * needed * random.lognormvariate(0.0, 1.2)
        if number >= 100:
            errors_of_mean_factor.append(abs(log(estimate / 3.0 / needed)))
            errors_of_correction.append(abs(log(correction.expect(estimate) / needed)))
        correction.learn(estimate, needed)
    assert sum(errors_of_correction) < 0.6 * sum(errors_of_mean_factor)
    new_correction = EstimateCorrection(1.0, MAX_LEARNED_RATIO)
    assert new_correction.expect(2.0) == pytest.approx(2.0, rel=0.5)  # nothing learned: the estimate itself


def test_an_extreme_estimate_does_not_change_the_priorities_of_other_requests():
    driver = PolicyDriver()
    driver.submit(1, work=3.0)
    request_id, _ = driver.submit(0, work=0.05)
    priority = driver.pending_request(request_id).priority
    driver.submit(1, work=100000.0)
    driver.submit(0, work=1e-6)
    later_id, _ = driver.submit(0, work=0.05)
    assert driver.pending_request(later_id).priority == priority
    assert priority > 0


def test_load_limits_of_low_priorities_fall_only_in_a_busy_fleet():
    driver = PolicyDriver(engines=4, gateways=100)
    driver.controller.load.update_thread_limits()
    limits_when_idle = driver.controller.load.thread_limits
    for _ in range(3):
        for engine in range(1, 5):
            driver.report_load(engine, cpu=1.0)
    driver.controller.load.update_thread_limits()
    limits_when_full = driver.controller.load.thread_limits
    assert limits_when_idle[0] == limits_when_idle[1] == limits_when_idle[2]
    assert limits_when_full[0] < limits_when_full[1] < limits_when_full[2] < limits_when_full[3]
    assert limits_when_full[3] == limits_when_idle[3]


@pytest.mark.parametrize("gateways", [1, 60, 300])
def test_a_quota_below_one_request_is_usable_and_an_excess_is_still_detected(gateways):
    """The share of one instance in a tenant's quota can be below one request per second."""
    factors = {1.0: [], 4.0: []}  # keys are the offered load as a multiple of the quota
    for load, factors_of_load in factors.items():
        for seed in range(20):
            tenants = (api.TenantSpec("a", 30.0),)
            driver = PolicyDriver(seed=seed, gateways=gateways, tenants=tenants, over_share_worth=0.0)
            interval = gateways / (30.0 * load)
            for _ in range(200):
                driver.controller.context.now += interval
                factors_of_load.append(driver.controller.admission.value_factor(0))
    assert sum(factors[1.0]) / len(factors[1.0]) > 0.9
    assert sum(factors[4.0]) / len(factors[4.0]) < 0.45


def test_own_load_alone_does_not_lead_to_rejections():
    """Without load reports, it is unknown whether other instances load the engines as much."""
    driver = PolicyDriver(engines=30, gateways=200)
    for _ in range(6):
        _, actions = driver.submit(1, work=9.0)
        assert actions_of(api.Send, actions)
    driver.run(3.0)
    _, actions = driver.submit()
    assert actions_of(api.Send, actions)
