"""Start and reconnection in a large fleet: latency, backoff, staleness guard, connect schedule, watchers."""

from random import Random

import pytest

from applevale.checkers.history import max_count_in_window
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
    assert backoff.next_delay(0.5, retry_after=2.0) == 4.0  # Retry-After plus half the window
    for _ in range(6):
        backoff.record_success(0.005)
    assert backoff.next_delay(1.0) == 0.0


def test_the_window_is_widened_by_the_second_slow_response_and_not_by_the_first():
    backoff = AdaptiveBackoff()
    backoff.record_success(0.5)
    assert backoff.window == 0.0
    backoff.record_success(0.5)
    assert backoff.window == 2.0


def test_the_latency_estimate_converges_to_the_response_times():
    latency = LatencyEstimator()
    assert latency.upper_bound() == pytest.approx(0.25)
    for _ in range(60):
        latency.record(0.004)
    assert latency.upper_bound() < 0.006
    for _ in range(60):
        latency.record(0.2)
    assert 0.19 < latency.mean < 0.21


def test_the_guarantee_is_suspended_once_and_restored_by_a_trial():
    guard = StalenessGuard(response_budget=0.15)
    assert not guard.is_guaranteed  # There was no response yet.
    guard.record_handshake(0.01)
    assert guard.is_guaranteed
    guaranteed, now = [], 0.0
    for _ in range(40):  # The responses are too slow for any polling rate.
        guard.record_response(now := now + 0.3, 0.3, True, 0.5)
        guaranteed.append(guard.is_guaranteed)
    assert guaranteed.count(True) == 2 and not any(guaranteed[2:]) and guard.state is GuardState.SUSPENDED
    states = []
    for _ in range(30):
        guard.record_response(now := now + 0.2, 0.01, False, 0.5)
        states.append(guard.state)
    assert states.index(GuardState.ON_TRIAL) < states.index(GuardState.ACTIVE) and guard.is_guaranteed


def test_at_the_start_against_a_slow_service_suspension_comes_later_and_needs_no_trial():
    guard, now = StalenessGuard(response_budget=0.15), 0.0
    for _ in range(8):
        guard.record_response(now := now + 0.3, 0.3, False, 0.5)
    assert guard.state is GuardState.ACTIVE and not guard.is_guaranteed
    guard.record_response(now + 0.3, 0.3, False, 0.5)
    assert guard.state is GuardState.SUSPENDED and guard.min_poll_interval() == 1.0
    guard.record_response(now + 0.4, 0.01, False, 0.5)
    assert guard.is_guaranteed


def test_a_throttled_trial_fails_and_delays_the_next_one_longer():
    guard = StalenessGuard(response_budget=0.15, state=GuardState.ON_TRIAL, had_timely_response=True)
    delays = []
    for _ in range(8):
        guard.record_throttled(1.0, 0.5)
        delays.append(guard.trial_delay)
        guard.state = GuardState.ON_TRIAL
    assert delays == sorted(delays) and delays[0] < delays[-1] == 16.0
    assert guard.min_poll_interval() == 0.0


@pytest.mark.parametrize("instances", [40, 100, 200])
def test_the_fleet_stays_within_the_connect_rate_at_the_start_and_after_all_connections_broke(instances):
    engines, rate = set(range(1, 31)), 20.0
    schedules = [ConnectSchedule(rate, instances, index) for index in range(instances)]
    connected_at = {engine: [] for engine in engines}

    def connect_all(start):
        """Connect each instance to all engines at the earliest permitted times, in two rounds."""
        for schedule in schedules:
            for engine in engines:
                for _ in range(2):
                    at = max(start, schedule.next_connect_at[engine])
                    assert schedule.may_connect(engine, at)
                    connected_at[engine].append(at)
                    schedule.record_connect(engine, at)

    for schedule in schedules:
        schedule.set_engines(engines, 0.0)
    connect_all(0.0)
    for schedule in schedules:
        for engine in engines:
            schedule.record_disconnect(engine, 1000.0)
    connect_all(1000.0)
    assert max(max_count_in_window(times, 1.0) for times in connected_at.values()) <= rate


def test_a_small_fleet_connects_without_delay():
    schedule = ConnectSchedule(20.0, 1, 0)
    schedule.set_engines({1, 2, 3}, 5.0)
    schedule.record_connect(1, 5.0)
    schedule.record_disconnect(1, 5.0)
    assert all(schedule.may_connect(engine, 5.0) for engine in (1, 2, 3))


def reconnect_times_after_an_outage(create_random, count=100, outage_seconds=1.0):
    """Return the times at which each of many watchers reconnects after an outage of the service.

    The watchers differ only in their random numbers.
    """
    available_at = 100.0 + outage_seconds
    reconnected_at = []
    for number in range(count):
        watcher = RegistryWatcher(
            3, EndpointTable(AttributeNames(("a",), ("std",))), random=create_random(number)
        )
        watcher.watched_list.revision = 10
        watcher.pacer.guard.had_timely_response = True
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
            raise AssertionError(f"watcher {number} did not reconnect")
    return reconnected_at


class ConstantRandom(Random):
    """A random source that produces no jitter: an injected fault."""

    def random(self):
        return 0.7


def test_reconnects_after_an_outage_spread_out_and_without_jitter_they_coincide():
    assert max_count_in_window(reconnect_times_after_an_outage(Random), 0.1) <= 35
    assert max_count_in_window(reconnect_times_after_an_outage(lambda number: ConstantRandom()), 0.1) == 100
