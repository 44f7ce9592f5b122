"""How an instance starts among hundreds: latency, backoff, staleness guard, connect schedule, watchers."""

from random import Random

import pytest

from applevale.checkers.history import max_in_window
from applevale.discovery.endpoints import AttributeNames
from applevale.discovery.registry.endpoint_table import EndpointTable
from applevale.discovery.registry.watcher import RegistryWatcher
from applevale.startup.adaptive_backoff import AdaptiveBackoff
from applevale.startup.connect_schedule import ConnectSchedule
from applevale.startup.latency import LatencyEstimator
from applevale.startup.staleness_guard import GuardState, StalenessGuard


def test_a_fast_service_has_no_delay_and_throttling_widens_the_window_up_to_a_bound():
    backoff = AdaptiveBackoff()
    backoff.record_success(0.005)
    assert backoff.next_delay(1.0) == 0.0
    windows = []
    for _ in range(8):
        backoff.record_throttled()
        windows.append(backoff.next_delay(1.0))
    assert windows == sorted(windows) and windows[0] == 0.25 and windows[-1] == 4.0
    assert backoff.next_delay(0.5, retry_after=2.0) == 4.0  # what is asked for, and the draw on top of it
    for _ in range(6):
        backoff.record_success(0.005)
    assert backoff.next_delay(1.0) == 0.0


def test_one_slow_response_leaves_the_window_and_a_second_one_widens_it():
    backoff = AdaptiveBackoff()
    backoff.record_success(0.5)
    assert backoff.window == 0.0
    backoff.record_success(0.5)
    assert backoff.window == 2.0


def test_the_latency_estimate_follows_response_times():
    latency = LatencyEstimator()
    assert latency.upper_bound() == pytest.approx(0.25)
    for _ in range(60):
        latency.record(0.004)
    assert latency.upper_bound() < 0.006
    for _ in range(60):
        latency.record(0.2)
    assert 0.19 < latency.mean < 0.21


def test_the_guarantee_is_suspended_once_and_comes_back_by_a_trial():
    guard = StalenessGuard(response_budget=0.15)
    assert not guard.is_guaranteed  # no answer yet
    guard.record_handshake(0.01)
    assert guard.is_guaranteed
    guaranteed, now = [], 0.0
    for _ in range(40):  # too slow for any pace
        guard.record_response(now := now + 0.3, 0.3, True, 0.5)
        guaranteed.append(guard.is_guaranteed)
    assert guaranteed.count(True) == 2 and not any(guaranteed[2:]) and guard.state is GuardState.SUSPENDED
    seen = []
    for _ in range(30):
        guard.record_response(now := now + 0.2, 0.01, False, 0.5)
        seen.append(guard.state)
    assert seen.index(GuardState.ON_TRIAL) < seen.index(GuardState.ACTIVE) and guard.is_guaranteed


def test_a_start_at_a_slow_service_is_suspended_later_and_needs_no_trial():
    guard, now = StalenessGuard(response_budget=0.15), 0.0
    for _ in range(8):
        guard.record_response(now := now + 0.3, 0.3, False, 0.5)
    assert guard.state is GuardState.ACTIVE and not guard.is_guaranteed
    guard.record_response(now + 0.3, 0.3, False, 0.5)
    assert guard.state is GuardState.SUSPENDED and guard.min_poll_interval() == 1.0
    guard.record_response(now + 0.4, 0.01, False, 0.5)
    assert guard.is_guaranteed


def test_a_throttled_trial_fails_and_lengthens_the_delay_of_the_next():
    guard = StalenessGuard(response_budget=0.15, state=GuardState.ON_TRIAL, proven=True)
    delays = []
    for _ in range(8):
        guard.record_throttled(1.0, 0.5)
        delays.append(guard.trial_delay)
        guard.state = GuardState.ON_TRIAL
    assert delays == sorted(delays) and delays[0] < delays[-1] == 16.0
    assert guard.min_poll_interval() == 0.0


@pytest.mark.parametrize("instances", [40, 100, 200])
def test_all_instances_keep_the_connect_rate_from_the_first_second_and_after_a_break(instances):
    engines, rate = set(range(1, 31)), 20.0
    schedules = [ConnectSchedule(rate, instances, me) for me in range(instances)]
    connected_at = {engine: [] for engine in engines}

    def open_all(start):
        """Let each instance connect to all engines as early as it may, for two rounds."""
        for schedule in schedules:
            for engine in engines:
                for _ in range(2):
                    at = max(start, schedule.allowed_from[engine])
                    assert schedule.may_connect(engine, at)
                    connected_at[engine].append(at)
                    schedule.record_connect(engine, at)

    for schedule in schedules:
        schedule.set_engines(engines, 0.0)
    open_all(0.0)
    for schedule in schedules:
        for engine in engines:
            schedule.record_disconnect(engine, 1000.0)
    open_all(1000.0)
    assert max(max_in_window(times, 1.0) for times in connected_at.values()) <= rate


def test_a_small_fleet_connects_without_delay():
    schedule = ConnectSchedule(20.0, 1, 0)
    schedule.set_engines({1, 2, 3}, 5.0)
    schedule.record_connect(1, 5.0)
    schedule.record_disconnect(1, 5.0)
    assert all(schedule.may_connect(engine, 5.0) for engine in (1, 2, 3))


def fleet_after_a_break(random, count=100, away=1.0):
    """Return when each of many watchers reconnects to a service that is unavailable for `away` seconds.

    The watchers differ in their random numbers only.
    """
    available_at = 100.0 + away
    reconnected_at = []
    for number in range(count):
        watcher = RegistryWatcher(3, EndpointTable(AttributeNames(("a",), ("std",))), random=random(number))
        watcher.watched_list.revision = 10
        watcher.pacer.guard.proven = True
        now, commands = 100.0, watcher.on_tick(100.0)
        for _ in range(1000):
            if commands and now >= available_at:
                reconnected_at.append(now)
                break
            commands = watcher.on_disconnected(now, watcher.session.session_id) if watcher.session else []
            if watcher.session is None:
                now = watcher.sessions.reconnect_at
                commands = watcher.on_tick(now)
        else:
            raise AssertionError("never reconnected")
    return reconnected_at


class ConstantRandom(Random):
    """A random source without jitter, as a planted fault."""

    def random(self):
        return 0.7


def test_after_a_break_all_reconnect_spread_out_and_without_jitter_the_check_fails():
    assert max_in_window(fleet_after_a_break(Random), 0.1) <= 35
    assert max_in_window(fleet_after_a_break(lambda number: ConstantRandom()), 0.1) == 100
