"""The wait queue, and the order of requests that share an order key."""

from dataclasses import replace

import pytest
from policy_driver import LOOKUP, PolicyDriver, actions_of, make_settings

from applevale import api
from applevale.policy import AdmissionController

Result = api.Result
ORDERED = replace(LOOKUP, repeat=api.RepeatPolicy.UNSAFE, is_ordered=True)


def request_ids(kind, actions):
    """Return the request ids of the actions of type `kind`."""
    return [action.request_id for action in actions_of(kind, actions)]


def test_a_request_waits_for_an_engine_to_become_ready():
    driver = PolicyDriver(entries=(api.EngineEntry(1, state=api.EngineState.DRAINING),))
    request_id, actions = driver.submit()
    assert not actions
    actions = driver.handle(api.EngineList((api.EngineEntry(2),)))
    assert request_ids(api.Send, actions) == [request_id]


def test_the_wait_queue_is_bounded():
    driver = PolicyDriver(entries=(api.EngineEntry(1, state=api.EngineState.DRAINING),))
    rejected_count = sum(len(actions_of(api.Reject, driver.submit()[1])) for _ in range(1000))
    assert rejected_count + len(driver.controller.scheduler.waiting) == 1000
    assert 0 < len(driver.controller.scheduler.waiting) <= 500


def test_requests_of_an_order_key_run_one_at_a_time_with_a_pause_after_a_timeout():
    driver = PolicyDriver(classes=(ORDERED,), order_pause=0.4)
    first = driver.send_request(order_key=9)
    second_id, actions = driver.submit(order_key=9)
    assert not actions_of(api.Send, actions)
    driver.finish(first, Result.TIMEOUT)
    assert not actions_of(api.Send, driver.run(0.3))
    assert request_ids(api.Send, driver.run(0.3)) == [second_id]


def test_an_overdue_unsafe_request_fails_early_only_if_others_of_its_order_key_wait():
    """A request without an answer must not block its order key until its deadline."""
    driver = PolicyDriver(classes=(replace(ORDERED, deadline=25.0),))
    alone = driver.send_request(order_key=5)
    overdue = driver.send_request(order_key=9)
    waiting_id, _ = driver.submit(order_key=9)
    actions = driver.run(12.0)
    assert request_ids(api.Fail, actions) == [
        overdue.request_id
    ]  # not rejected, since it may have been executed
    assert request_ids(api.Cancel, actions) == [overdue.request_id]
    assert alone.request_id not in request_ids(api.Fail, actions)
    assert request_ids(api.Send, driver.finish(overdue, Result.CANCELLED)) == [waiting_id]


def test_a_late_request_is_rejected_only_if_one_behind_it_can_then_end_in_time():
    """In an overloaded order key, each request would otherwise start just before its deadline."""
    driver = PolicyDriver(classes=(replace(ORDERED, deadline=25.0),))
    first = driver.send_request(order_key=9, work=0.5)
    short_id, _ = driver.submit(order_key=9, work=0.5, timeout=2.5)
    long_id, _ = driver.submit(order_key=9, work=0.5, timeout=20.0)
    assert not actions_of(api.Reject, driver.run(0.1))  # the request behind it has enough time
    # The urgent request ends in time only if the short one is rejected.
    urgent_id, _ = driver.submit(order_key=9, work=0.1, timeout=2.6)
    assert request_ids(api.Reject, driver.run(0.1)) == [short_id]
    sends = actions_of(api.Send, driver.finish(first, work=0.5) + driver.run(0.1))
    assert [send.request_id for send in sends] == [long_id]
    assert request_ids(api.Send, driver.finish(sends[0], work=0.5)) == [urgent_id]


@pytest.mark.parametrize("result", [Result.OK, Result.RESET, Result.ERROR])
def test_the_next_request_of_an_order_key_waits_for_the_delivery_of_the_last_answer(result):
    """No engine must have the next request before the client has the last answer."""
    driver = PolicyDriver(classes=(ORDERED,), order_gap=0.02)
    first = driver.send_request(order_key=7)
    second_id, actions = driver.submit(order_key=7)
    assert not actions_of(api.Send, actions + driver.finish(first, result) + driver.run(0.5))
    response_sent = api.ResponseSent(first.request_id, 7, 0.3)
    assert not actions_of(api.Send, driver.handle(response_sent) + driver.run(0.29))
    assert request_ids(api.Send, driver.run(0.2)) == [second_id]


def test_an_answer_that_is_sent_before_the_end_of_its_attempt_does_not_block_the_key():
    driver = PolicyDriver(classes=(ORDERED,), order_gap=0.02)
    first = driver.send_request(order_key=7)
    second_id, _ = driver.submit(order_key=7)
    driver.handle(api.ClientGone(first.request_id), api.ResponseSent(first.request_id, 7, 0.4))
    assert not actions_of(api.Send, driver.run(0.1))
    # The end of the attempt must not shorten the pause.
    assert not actions_of(api.Send, driver.finish(first, Result.CANCELLED) + driver.run(0.25))
    assert request_ids(api.Send, driver.run(0.2)) == [second_id]
    assert not driver.controller.attempts.key_queues.blocks


def test_a_request_of_unknown_order_is_rejected_and_others_wait_for_its_answer():
    driver = PolicyDriver(classes=(ORDERED,), order_gap=0.02)
    actions = driver.handle(
        api.Request(901, 0, order_key=7, timeout=4.0, estimated_work=0.2, is_order_unknown=False),
        api.Request(902, 0, order_key=7, timeout=4.0, estimated_work=0.2, is_order_unknown=True),
    )
    assert [type(action) for action in actions] == [api.Reject]
    assert actions[0].request_id == 902
    assert not actions_of(api.Send, driver.run(0.5))
    driver.handle(api.ResponseSent(902, 7, 0.1))
    assert request_ids(api.Send, driver.run(0.2)) == [901]


class RecordingRouter(api.Router):
    """A router that records each check for saturated zones."""

    def __init__(self):
        self.saturation_checks = []

    def is_saturated(self, now, class_index, work):
        self.saturation_checks.append((now, class_index, work))
        return False


def test_zones_are_also_checked_for_saturation_for_a_late_request():
    """By this call the router learns the time, and may start the recovery of a zone."""
    router = RecordingRouter()
    controller = AdmissionController(make_settings(), 1, router)
    draining = api.EngineEntry(1, state=api.EngineState.DRAINING)
    controller.handle(100.0, (api.EngineList((draining,), is_full=True),))
    actions = controller.handle(100.1, (api.Request(1, 0, timeout=4.0, estimated_work=30.0),))
    assert request_ids(api.Reject, actions) == [1]
    assert router.saturation_checks == [(100.1, 0, 30.0)]
