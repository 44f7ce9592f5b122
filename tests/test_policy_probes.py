"""Probes: when the controller asks an engine for a load report before it sends a request."""

import pytest
from policy_driver import PolicyDriver, actions_of

from applevale import api

IDLE_REPORT = (0.0, 0.2, 0.0, 0.1)
BUSY_REPORT = (0.0, 1.0, 0.0, 0.1)


def test_long_requests_are_sent_after_a_probe_and_silent_engines_are_skipped():
    driver = PolicyDriver(engines=4, gateways=100, may_probe=True)
    request_id, actions = driver.submit(1, work=3.0, table_group=1.0)
    (first_probe,) = actions_of(api.Probe, actions)
    assert not actions_of(api.Send, actions)
    (second_probe,) = actions_of(api.Probe, driver.run(0.11))  # the first probe had no answer
    assert second_probe.engine_id != first_probe.engine_id
    actions = driver.handle(api.ProbeResult(second_probe.engine_id, api.Result.OK, load_report=IDLE_REPORT))
    sends = [(send.request_id, send.engine_id) for send in actions_of(api.Send, actions)]
    assert sends == [(request_id, second_probe.engine_id)]


@pytest.mark.parametrize(
    "price, min_count, max_per_request", [(0.0, 50, 1.3), (0.011, 50, 1.3), (0.08, 0, 0.18)]
)
def test_the_number_of_probes_per_request_is_limited_and_depends_on_their_price(
    price, min_count, max_per_request
):
    driver = PolicyDriver(engines=40, gateways=300, may_probe=True, probe_price=price)
    for engine in driver.controller.engines.values():
        engine.health.on_probation = True  # probed at any price
    for group in range(100):
        driver.now += 0.5
        _, actions = driver.submit(1, work=3.0, table_group=float(group))
        for probe in actions_of(api.Probe, actions):
            driver.handle(api.ProbeResult(probe.engine_id, api.Result.OK, load_report=BUSY_REPORT))
    assert min_count < len(driver.logged(api.Probe)) <= 100 * max_per_request + 4


@pytest.mark.parametrize("price, probe_count", [(0.011, 1), (0.08, 0)])
def test_a_request_is_sent_after_a_probe_only_if_probes_are_cheap(price, probe_count):
    driver = PolicyDriver(engines=4, gateways=40, may_probe=True, probe_price=price)
    _, actions = driver.submit(1, work=3.0, table_group=1.0)
    assert len(actions_of(api.Probe, actions)) == probe_count
    assert len(actions_of(api.Send, actions)) == 1 - probe_count


@pytest.mark.parametrize(
    "load_report_mode, work, is_probed",
    [("probe", 9.0, True), ("probe", 0.1, False), ("answers", 9.0, False)],
)
def test_long_requests_need_a_probe_if_answers_carry_no_load_report(load_report_mode, work, is_probed):
    """Only a probe can show that other instances keep the preferred engine busy."""
    driver = PolicyDriver(
        engines=4, gateways=100, may_probe=True, probe_price=0.08, load_report_mode=load_report_mode
    )
    driver.submit(work=0.01)
    _, actions = driver.submit(1, work=work)
    assert bool(actions_of(api.Probe, actions)) is is_probed
