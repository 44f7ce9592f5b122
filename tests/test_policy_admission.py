"""Admission: the flag on costly requests, prices, shares of tenants, estimates, early rejections."""

from math import log
from random import Random

import pytest
from policy_driver import PolicyDriver, actions_of

from applevale import api
from applevale.estimators import DecayingMean, EstimateCorrection
from applevale.policy.admission import memory_risk_price
from applevale.policy.config import MAX_RATIO


def test_the_price_grows_with_uncertainty_and_falls_with_misses():
    assert memory_risk_price(1.0, 0) == pytest.approx(1.0)
    assert memory_risk_price(0.5, 0) == pytest.approx(2.0)
    assert memory_risk_price(0.5, 5) < memory_risk_price(0.5, 0)
    assert memory_risk_price(1.0, 100) == pytest.approx(0.2)


def test_a_miss_flags_later_requests_of_its_kind_for_a_while():
    driver = PolicyDriver()
    request_id, _ = driver.submit(1, work=2.0, memory=3000.0)
    request = driver.pending_request(request_id)
    admission = driver.controller.admission
    kind = admission.similarity_key(request)
    features = (1.0, 0.1, 0.1, 0.1, 0.0)
    admission.learn(request, driver.engine(1), True)
    assert admission.predictor.predict(driver.now + 1, kind, features) == 1.0
    assert admission.predictor.predict(driver.now + 1000, kind, features) < 1.0


def test_a_flagged_request_waits_for_memory_and_is_rejected_at_its_deadline():
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
    assert [rejection.request for rejection in rejections] == [request_id]
    assert rejections[0].retry_after > 0
    assert not actions_of(api.Send, later_actions)


def test_requests_admitted_after_a_report_reduce_the_free_memory():
    driver = PolicyDriver(engines=1)
    engine = driver.engine(1)
    driver.report_load(1, memory_used=0.5)
    reported = driver.controller.load.free_memory(engine)
    driver.now += 0.01
    driver.submit(1, work=1.0, memory=2000.0)
    assert driver.controller.load.free_memory(engine) <= reported - 2000.0


def test_a_request_with_hardly_any_time_left_is_rejected_at_once():
    driver = PolicyDriver()
    _, actions = driver.submit(ttl=0.02)
    assert actions_of(api.Reject, actions)
    assert not actions_of(api.Send, actions)


def test_a_timeout_of_zero_is_not_the_deadline_of_the_class():
    driver = PolicyDriver()
    request = api.Request(900, 0, ttl=0.0, work=0.2)
    assert actions_of(api.Reject, driver.handle(request))


def test_memory_is_granted_only_where_engines_heed_it():
    for heeded in (True, False):
        driver = PolicyDriver(memory_heeded=heeded)
        driver.submit(1, memory=1000.0)
        (terms,) = driver.logged(api.Terms)
        assert (terms.memory_mb > 0) is heeded


def test_short_requests_do_not_hide_the_pressure_of_long_ones():
    slowness = DecayingMean(5.0)
    for step in range(4):
        slowness.add(step * 0.1, 4.0, 1.0)
        for _ in range(6):
            slowness.add(step * 0.1, 1.0, 0.02)
    assert slowness.mean(0.4, 1.0, 1.0) > 2.0


def test_requests_of_a_tenant_over_its_share_have_a_low_worth():
    tenants = (api.TenantSpec("a", 2.0), api.TenantSpec("b", 100.0))
    driver = PolicyDriver(tenants=tenants, over_share_worth=0.1)
    request_ids = [driver.submit(tenant=0)[0] for _ in range(6)]
    worths = [driver.pending_request(request_id).value for request_id in request_ids]
    assert 1.0 in worths
    assert worths[-1] == pytest.approx(0.1)


def test_scattered_estimates_are_corrected_towards_what_was_needed():
    random = Random(5)
    correction = EstimateCorrection(1.0, MAX_RATIO)
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
    new_correction = EstimateCorrection(1.0, MAX_RATIO)
    assert new_correction.expect(2.0) == pytest.approx(2.0, rel=0.5)  # the estimate itself


def test_one_absurd_estimate_does_not_change_the_ranks():
    driver = PolicyDriver()
    driver.submit(1, work=3.0)
    request_id, _ = driver.submit(0, work=0.05)
    rank = driver.pending_request(request_id).priority
    driver.submit(1, work=100000.0)
    driver.submit(0, work=1e-6)
    later_id, _ = driver.submit(0, work=0.05)
    assert driver.pending_request(later_id).priority == rank
    assert rank > 0


def test_low_ranks_find_less_room_only_as_the_engines_fill():
    driver = PolicyDriver(engines=4, gateways=100)
    driver.controller.load.update_thread_limits()
    room_when_idle = driver.controller.load.thread_limits
    for _ in range(3):
        for engine in range(1, 5):
            driver.report_load(engine, cpu=1.0)
    driver.controller.load.update_thread_limits()
    room_when_full = driver.controller.load.thread_limits
    assert room_when_idle[0] == room_when_idle[1] == room_when_idle[2]
    assert room_when_full[0] < room_when_full[1] < room_when_full[2] < room_when_full[3]
    assert room_when_full[3] == room_when_idle[3]


@pytest.mark.parametrize("gateways", [1, 60, 300])
def test_a_share_of_less_than_one_request_is_usable_and_an_excess_is_still_detected(gateways):
    """One instance's part of a tenant's share is less than one request a second here."""
    worths = {1.0: [], 4.0: []}  # by offered load, in shares
    for load, worths_of_load in worths.items():
        for seed in range(20):
            tenants = (api.TenantSpec("a", 30.0),)
            driver = PolicyDriver(seed=seed, gateways=gateways, tenants=tenants, over_share_worth=0.0)
            interval = gateways / (30.0 * load)
            for _ in range(200):
                driver.controller.context.now += interval
                worths_of_load.append(driver.controller.admission.value_factor(0))
    assert sum(worths[1.0]) / len(worths[1.0]) > 0.9
    assert sum(worths[4.0]) / len(worths[4.0]) < 0.45


def test_the_load_of_this_instance_alone_is_no_reason_to_reject():
    """Without reports of engines nothing says that they are as busy with others' requests."""
    driver = PolicyDriver(engines=30, gateways=200)
    for _ in range(6):
        _, actions = driver.submit(1, work=9.0)
        assert actions_of(api.Send, actions)
    driver.run(3.0)
    _, actions = driver.submit()
    assert actions_of(api.Send, actions)
