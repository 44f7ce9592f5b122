"""The wait queue, and the order of requests with one order key."""

from dataclasses import replace

import pytest
from policy_driver import LOOKUP, PolicyDriver, actions_of, make_settings

from applevale import api
from applevale.policy import AdmissionController

Result = api.Result
ORDERED = replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True)


def request_ids(kind, actions):
    """Return the ids of the requests that actions of type `kind` are for."""
    return [action.request for action in actions_of(kind, actions)]


def test_a_request_waits_while_an_engine_may_still_come():
    driver = PolicyDriver(entries=(api.EngineEntry(1, state=api.State.DRAINING),))
    request_id, actions = driver.submit()
    assert not actions
    actions = driver.handle(api.EngineList((api.EngineEntry(2),)))
    assert request_ids(api.Send, actions) == [request_id]


def test_the_wait_queue_is_bounded():
    driver = PolicyDriver(entries=(api.EngineEntry(1, state=api.State.DRAINING),))
    rejected_count = sum(len(actions_of(api.Reject, driver.submit()[1])) for _ in range(1000))
    assert rejected_count + len(driver.controller.scheduler.waiting) == 1000
    assert 0 < len(driver.controller.scheduler.waiting) <= 500


def test_requests_of_one_key_are_sent_one_at_a_time_with_a_pause_after_a_timeout():
    driver = PolicyDriver(classes=(ORDERED,), order_pause=0.4)
    first = driver.send_request(key=9)
    second_id, actions = driver.submit(key=9)
    assert not actions_of(api.Send, actions)
    driver.finish(first, Result.TIMEOUT)
    assert not actions_of(api.Send, driver.run(0.3))
    assert request_ids(api.Send, driver.run(0.3)) == [second_id]


def test_an_overdue_unsafe_request_is_failed_early_only_if_others_of_its_key_wait():
    """An answer that never comes must not hold its key until the client's deadline."""
    driver = PolicyDriver(classes=(replace(ORDERED, deadline=25.0),))
    alone = driver.send_request(key=5)
    overdue = driver.send_request(key=9)
    waiting_id, _ = driver.submit(key=9)
    actions = driver.run(12.0)
    assert request_ids(api.Fail, actions) == [overdue.request]  # possibly executed: not rejected
    assert request_ids(api.Cancel, actions) == [overdue.request]
    assert alone.request not in request_ids(api.Fail, actions)
    assert request_ids(api.Send, driver.finish(overdue, Result.CANCELLED)) == [waiting_id]


def test_a_request_whose_turn_comes_too_late_is_rejected_only_for_one_behind_it():
    """With more loads of a key than can be executed, each would be begun just before its deadline."""
    driver = PolicyDriver(classes=(replace(ORDERED, deadline=25.0),))
    first = driver.send_request(key=9, work=0.5)
    short_id, _ = driver.submit(key=9, work=0.5, ttl=2.5)
    long_id, _ = driver.submit(key=9, work=0.5, ttl=20.0)
    assert not actions_of(api.Reject, driver.run(0.1))  # the one behind it has time enough
    urgent_id, _ = driver.submit(key=9, work=0.1, ttl=2.6)  # in time, but not behind all of those
    assert request_ids(api.Reject, driver.run(0.1)) == [short_id]
    sends = actions_of(api.Send, driver.finish(first, work=0.5) + driver.run(0.1))
    assert [send.request for send in sends] == [long_id]
    assert request_ids(api.Send, driver.finish(sends[0], work=0.5)) == [urgent_id]


@pytest.mark.parametrize("result", [Result.OK, Result.RESET, Result.ERROR])
def test_the_next_request_of_a_key_waits_until_the_answer_before_it_was_sent(result):
    """The engine must not have the next request before the client has the answer."""
    driver = PolicyDriver(classes=(ORDERED,), order_gap=0.02)
    first = driver.send_request(key=7)
    second_id, actions = driver.submit(key=7)
    assert not actions_of(api.Send, actions + driver.finish(first, result) + driver.run(0.5))
    answer_sent = api.AnswerSent(first.request, 7, 0.3)
    assert not actions_of(api.Send, driver.handle(answer_sent) + driver.run(0.29))
    assert request_ids(api.Send, driver.run(0.2)) == [second_id]


def test_an_answer_sent_before_its_attempt_ended_does_not_block_the_key():
    driver = PolicyDriver(classes=(ORDERED,), order_gap=0.02)
    first = driver.send_request(key=7)
    second_id, _ = driver.submit(key=7)
    driver.handle(api.ClientGone(first.request), api.AnswerSent(first.request, 7, 0.4))
    assert not actions_of(api.Send, driver.run(0.1))
    # The end of the attempt must not shorten the pause.
    assert not actions_of(api.Send, driver.finish(first, Result.CANCELLED) + driver.run(0.25))
    assert request_ids(api.Send, driver.run(0.2)) == [second_id]
    assert not driver.controller.attempts.key_queues.blocks


def test_a_request_of_unknown_order_is_rejected_and_the_other_waits_for_that_answer():
    driver = PolicyDriver(classes=(ORDERED,), order_gap=0.02)
    actions = driver.handle(
        api.Request(901, 0, key=7, ttl=4.0, work=0.2, order_unknown=False),
        api.Request(902, 0, key=7, ttl=4.0, work=0.2, order_unknown=True),
    )
    assert [type(action) for action in actions] == [api.Reject]
    assert actions[0].request == 902
    assert not actions_of(api.Send, driver.run(0.5))
    driver.handle(api.AnswerSent(902, 7, 0.1))
    assert request_ids(api.Send, driver.run(0.2)) == [901]


class RecordingRouter(api.Router):
    """A router that keeps for which requests it was asked whether all zones are saturated."""

    def __init__(self):
        self.saturation_checks = []

    def is_saturated(self, now, request_class, work):
        self.saturation_checks.append((now, request_class, work))
        return False


def test_the_router_is_also_asked_for_a_request_that_is_too_late():
    """A router notices by this call that time has passed, and may begin the recovery of a zone."""
    router = RecordingRouter()
    controller = AdmissionController(make_settings(), 1, router)
    draining = api.EngineEntry(1, state=api.State.DRAINING)
    controller.handle(100.0, (api.EngineList((draining,), whole=True),))
    actions = controller.handle(100.1, (api.Request(1, 0, ttl=4.0, work=30.0),))
    assert request_ids(api.Reject, actions) == [1]
    assert router.saturation_checks == [(100.1, 0, 30.0)]
