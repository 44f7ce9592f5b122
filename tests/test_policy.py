"""The controller as a whole: timers, stalls, invalid events, determinism, and memory."""

import gc
import os
import subprocess
import sys

import pytest
from policy_driver import PolicyDriver, actions_of

from applevale import api
from applevale.policy import AdmissionController
from applevale.policy.model import PendingRequest


def test_every_request_is_answered_before_its_timeout():
    driver = PolicyDriver(engines=1)
    request_id, actions = driver.submit(timeout=2.0)
    assert actions_of(api.Send, actions)
    driver.run(2.5)
    answer_times = [
        time
        for time, action in driver.log
        if isinstance(action, (api.Reject, api.Fail)) and action.request_id == request_id
    ]
    assert len(answer_times) == 1
    assert answer_times[0] < 102.0


def test_a_stall_of_the_instance_does_not_count_as_silence_of_an_engine():
    driver = PolicyDriver(engines=3)
    send = driver.send_request(1, work=1.0, table_group=1.0)
    driver.now += 3.0
    driver.timers.clear()
    outcome = api.AttemptOutcome(send.request_id, 0, send.engine_id, api.Result.OK, 0.4, True, 1.0, 50.0)
    actions = driver.handle(api.TimerFired(0), outcome)
    assert not actions_of(api.Cancel, actions)
    assert not actions_of(api.Log, actions)
    assert not any(engine.health.on_probation for engine in driver.controller.engines.values())


def test_final_answers_are_given_earlier_after_a_stall():
    driver = PolicyDriver(engines=1)
    driver.submit(1)
    driver.now += 1.5
    driver.timers.clear()
    driver.handle(api.TimerFired(0))
    request_id, _ = driver.submit(timeout=4.0)
    submitted_at = driver.now
    driver.run(5.0)
    (rejected_at,) = [
        time
        for time, action in driver.log
        if isinstance(action, api.Reject) and action.request_id == request_id
    ]
    assert rejected_at < submitted_at + 4.0 - 1.0


def test_an_idle_controller_sets_no_timer():
    driver = PolicyDriver(engines=40, gateways=300)
    send = driver.send_request()
    driver.finish(send)
    driver.run(1.0)
    assert not driver.timers
    assert not driver.controller.attempts.pending


def test_events_about_unknown_requests_and_engines_are_ignored():
    driver = PolicyDriver()
    assert not driver.handle(
        api.AttemptOutcome(77, 0, 1, api.Result.OK),
        api.ClientGone(88),
        api.AttemptUpdate(99, 0, 1, api.AttemptUpdateKind.SPILLING),
        api.ProbeResult(55, api.Result.OK),
        api.StreamStarted(44, 0, 1),
        api.PeerMessage(3, b"x"),
    )
    not_a_number = float("nan")
    infinity = float("inf")
    infinite_request = api.Request(
        5000, 0, timeout=4.0, estimated_work=not_a_number, estimated_memory_mb=infinity
    )
    assert actions_of(api.Send, driver.handle(infinite_request))
    negative_request = api.Request(5001, 0, timeout=4.0, estimated_work=-3.0, estimated_memory_mb=-1.0)
    assert actions_of(api.Send, driver.handle(negative_request))


def test_a_failed_subscription_is_retried_with_backoff():
    driver = PolicyDriver(discovery_push=False)
    assert driver.logged(api.SubscribeToEngineList)
    driver.handle(api.EngineList(has_failed=True))
    assert len(actions_of(api.SubscribeToEngineList, driver.run(2.0))) == 1


@pytest.mark.parametrize("key, value", [("gateways", 0), ("warm_up", float("nan")), ("drain_grace", -1.0)])
def test_invalid_settings_raise_an_error_that_names_the_key(key, value):
    with pytest.raises(api.SettingsError, match=key):
        PolicyDriver(**{key: value})


SCRIPT = """
import sys; sys.path.insert(0, 'tests')
from policy_driver import PolicyDriver
driver = PolicyDriver(engines=5, seed=7)
for number in range(300):
    driver.now += 0.01
    _, actions = driver.submit(number % 7 == 0, table_group=float(number % 13), work=0.1 + number % 5)
    driver.run(0.02)
    for action in actions:
        if type(action).__name__ == 'Send' and number % 3:
            driver.finish(action)
print(driver.log)
"""


def run_script(hash_seed):
    """Return the output of SCRIPT in a process with the given hash seed."""
    environment = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": "."}
    command = [sys.executable, "-c", SCRIPT]
    completed = subprocess.run(command, capture_output=True, text=True, check=True, env=environment)
    return completed.stdout


def test_actions_are_the_same_in_a_process_with_another_hash_seed():
    output = run_script("1")
    assert output == run_script("2")
    assert "Send" in output


def test_controllers_in_one_process_share_no_state():
    alone = PolicyDriver(seed=3)
    first_of_two = PolicyDriver(seed=3)
    second_of_two = PolicyDriver(seed=4)
    for group in range(50):
        alone.submit(table_group=float(group))
        first_of_two.submit(table_group=float(group))
        _, actions = second_of_two.submit(table_group=float(group))
        for send in actions_of(api.Send, actions):
            second_of_two.finish(send, api.Result.ERROR)
    assert alone.log == first_of_two.log
    assert isinstance(first_of_two.controller, AdmissionController)


def test_a_removed_engine_is_kept_until_its_attempts_have_ended():
    driver = PolicyDriver(engines=2)
    send = driver.send_request()
    driver.handle(api.EngineList((api.EngineEntry(send.engine_id, state=api.EngineState.GONE),)))
    assert send.engine_id in driver.controller.engines
    driver.finish(send)
    assert send.engine_id not in driver.controller.engines
    assert len(driver.controller.engines) == 1


def test_ended_requests_are_freed_without_the_garbage_collector():
    """A request and its attempts must not stay a reference cycle: those pile up between collections."""
    driver = PolicyDriver()
    sends = [driver.send_request() for _ in range(5)]
    gc.collect()
    gc.disable()
    try:
        gc.set_debug(gc.DEBUG_SAVEALL)
        driver.finish(sends[0])
        (retry, *_) = actions_of(api.Send, driver.finish(sends[1], api.Result.RESET))
        for send, attempt in [(retry, 1), *((send, 0) for send in sends[2:])]:
            driver.handle(api.ClientGone(send.request_id))
            driver.finish(send, api.Result.CANCELLED, attempt=attempt)
        gc.collect()
        assert not driver.controller.attempts.pending
        assert not [garbage for garbage in gc.garbage if isinstance(garbage, PendingRequest)]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
