"""Ejection of failing engines by the outlier detector, and their readmission."""

from policy_driver import PolicyDriver, actions_of

from applevale import api

Result = api.Result


def test_a_failing_engine_is_ejected_and_readmitted_with_one_attempt_at_a_time():
    driver = PolicyDriver(engines=4)
    first = driver.send_request(table_group=1.0)
    failing = first.engine_id
    driver.finish(first, Result.CONNECT_FAILED)
    assert all(driver.send_request(table_group=1.0, work=0.05).engine_id != failing for _ in range(6))
    assert sum(str(failing) in line.text for line in driver.logged(api.Log)) == 1
    driver.run(1.2)
    engines = [driver.send_request(table_group=1.0, work=0.05).engine_id for _ in range(3)]
    assert engines.count(failing) == 1


def test_an_engine_is_ejected_after_three_consecutive_resets():
    """Single resets may come from the network, or from a corrupt answer to another client."""
    driver = PolicyDriver(engines=4)
    sends = [driver.send_request(table_group=1.0, work=0.05) for _ in range(6)]
    results = (Result.RESET, Result.RESET, Result.OK, Result.RESET, Result.RESET)
    for send, result in zip(sends, results):
        driver.finish(send, result)
    driver.handle(api.ProbeResult(99, Result.RESET))
    assert not driver.is_ejected(sends[0].engine_id)
    driver.handle(api.ProbeResult(sends[0].engine_id, Result.RESET))
    assert driver.is_ejected(sends[0].engine_id)


def test_a_request_with_errors_from_two_engines_is_rejected_and_ejects_neither():
    driver = PolicyDriver(engines=5)
    first = driver.send_request()
    (second, *_) = actions_of(api.Send, driver.finish(first, Result.ERROR))
    assert driver.is_ejected(first.engine_id)
    (answer,) = driver.finish(second, Result.ERROR, attempt=1)
    assert isinstance(answer, api.Reject)
    assert answer.retry_after > 0
    for engine_id, engine in driver.controller.engines.items():
        assert not driver.is_ejected(engine_id)
        assert not engine.health.on_probation


def test_the_number_of_ejected_engines_is_limited_when_all_fail():
    driver = PolicyDriver(engines=5)
    for group in range(60):
        _, actions = driver.submit(table_group=float(group))
        for send in actions_of(api.Send, actions):
            driver.finish(send, Result.ERROR)
    assert sum(driver.is_ejected(engine_id) for engine_id in driver.controller.engines) <= 2
