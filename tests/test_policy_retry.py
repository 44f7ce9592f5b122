"""Retries: which requests are sent again, where and how often; cancellation of overdue attempts."""

from dataclasses import replace

import pytest
from policy_driver import LOOKUP, PolicyDriver, actions_of

from applevale import api

Result = api.Result
UNSAFE = replace(LOOKUP, repeat=api.RepeatPolicy.UNSAFE)


def test_an_unsafe_request_that_may_have_been_executed_fails_without_a_retry():
    for result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED):
        driver = PolicyDriver(classes=(UNSAFE,))
        actions = driver.finish(driver.send_request(), result)
        assert actions_of(api.Fail, actions)
        assert not actions_of(api.Send, actions)
        assert not actions_of(api.Reject, actions)


def test_an_unsafe_request_that_was_not_executed_is_retried_on_another_engine():
    driver = PolicyDriver(classes=(UNSAFE,))
    first = driver.send_request()
    retries = actions_of(api.Send, driver.finish(first, Result.CONNECT_FAILED))
    assert retries
    assert retries[0].engine_id != first.engine_id


@pytest.mark.parametrize("group", ["zone", "cell"])
def test_a_keyed_request_is_retried_only_in_its_repeat_group_and_window(group):
    keyed = replace(LOOKUP, repeat=api.RepeatPolicy.KEYED, repeat_group=group, repeat_window=1.0)
    entries = tuple(api.EngineEntry(engine, zone=engine % 2, cell=engine % 2) for engine in range(1, 7))
    driver = PolicyDriver(classes=(keyed,), entries=entries)
    first = driver.send_request()
    driver.now += 0.3
    retries = actions_of(api.Send, driver.finish(first, Result.RESET))
    assert retries
    assert retries[0].engine_id % 2 == first.engine_id % 2
    driver.now += 0.8
    actions = driver.finish(retries[0], Result.RESET, attempt=1)
    assert not actions_of(api.Send, actions)
    assert not actions_of(api.Reject, actions)
    assert actions_of(api.Fail, actions + driver.run(5.0))


@pytest.mark.parametrize("group, answer", [("all", api.Reject), ("cell", api.Fail)])
def test_a_request_is_answered_when_its_repeat_window_ends(group, answer):
    """Without another attempt, there is no reason to wait until the deadline of the request."""
    keyed = api.ClassSpec(
        "post", aim=3.0, deadline=20.0, repeat=api.RepeatPolicy.KEYED, repeat_group=group, repeat_window=0.5
    )
    ready = (api.EngineEntry(1, cell=1), api.EngineEntry(2, cell=2))
    draining = tuple(replace(entry, state=api.EngineState.DRAINING) for entry in ready)
    driver = PolicyDriver(entries=ready, classes=(keyed,))
    _, actions = driver.submit()
    (send,) = actions_of(api.Send, actions)
    driver.handle(api.EngineList(draining))
    assert not actions_of(answer, driver.finish(send, Result.RESET))
    later_actions = driver.run(0.6)
    assert actions_of(answer, later_actions)
    assert not actions_of(api.Send, later_actions)


def test_retries_stay_within_the_budget():
    driver = PolicyDriver(engines=6, budget_share=0.1, budget_free=1.0, budget_span=5.0, try_limit=5)
    sends = [driver.send_request(table_group=float(group)) for group in range(10)]
    retry_count = sum(len(actions_of(api.Send, driver.finish(send, Result.ERROR))) for send in sends)
    assert 1 <= retry_count <= 2


def test_a_request_has_one_attempt_at_a_time_and_no_more_than_the_limit():
    driver = PolicyDriver(engines=5, try_limit=2)
    first = driver.send_request()
    retries = actions_of(api.Send, driver.finish(first, Result.ERROR))
    assert len(retries) == 1
    actions = driver.finish(retries[0], Result.ERROR, attempt=1)
    assert actions_of(api.Reject, actions)
    assert not actions_of(api.Send, actions)


def test_an_attempt_without_an_answer_is_cancelled_within_any_target_latency():
    """A fixed minimum time before a cancellation would be longer than a short target latency."""
    for scale in (1.0, 0.3):
        driver = PolicyDriver(classes=(replace(LOOKUP, aim=scale, deadline=5 * scale),))
        for _ in range(60):
            send = driver.send_request(work=0.1 * scale)
            driver.run(0.1 * scale)
            driver.finish(send, work=0.1 * scale)
        lost = driver.send_request(work=0.1 * scale)
        cancels = actions_of(api.Cancel, driver.run(0.75 * scale))
        assert [cancel.request_id for cancel in cancels] == [lost.request_id]


def test_attempts_on_a_silent_engine_are_cancelled_and_retried_on_another_one():
    driver = PolicyDriver(engines=3)
    silent = driver.send_request(table_group=1.0)
    cancels = []
    for step in range(40):
        driver.now += 0.1
        _, actions = driver.submit(table_group=float(step % 5))
        for send in actions_of(api.Send, actions):
            if send.engine_id != silent.engine_id:
                driver.finish(send)
        cancels += actions_of(api.Cancel, driver.run(0.0))
    assert (silent.request_id, 0) in [(cancel.request_id, cancel.attempt_index) for cancel in cancels]
    retries = actions_of(api.Send, driver.finish(silent, Result.CANCELLED))
    assert all(retry.engine_id != silent.engine_id for retry in retries)


def test_attempts_become_overdue_later_with_scattered_run_times_and_with_each_attempt():
    driver = PolicyDriver()
    request_id, _ = driver.submit(1, work=3.0)
    attempt = driver.pending_request(request_id).attempts[0]
    overdue_at_first = driver.controller.attempts.overdue_after(attempt)
    driver.controller.context.classes[1].run_time.scatter.value = 1.0
    overdue_with_scatter = driver.controller.attempts.overdue_after(attempt)
    attempt.index = 1
    assert overdue_at_first < overdue_with_scatter
    assert driver.controller.attempts.overdue_after(attempt) == pytest.approx(2 * overdue_with_scatter)


def test_an_attempt_with_little_progress_is_cancelled_before_it_is_overdue():
    driver = PolicyDriver(progress=0.5)
    request_id, _ = driver.submit(1, work=3.0)
    engine = driver.pending_request(request_id).attempts[0].entry.engine_id
    driver.run(0.7)
    assert not driver.handle(api.AttemptUpdate(request_id, 0, engine, api.AttemptUpdateKind.PROGRESS, 0.5))
    actions = driver.handle(api.AttemptUpdate(request_id, 0, engine, api.AttemptUpdateKind.PROGRESS, 0.01))
    assert actions_of(api.Cancel, actions)
