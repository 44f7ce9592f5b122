"""How an instance comes up among hundreds: line, promise, ramp, and a fleet of registry watchers in step."""

from random import Random

import pytest

from applevale.checkers.history import most_in
from applevale.discovery.endpoints import Names
from applevale.discovery.registry.records import Ledger
from applevale.discovery.registry.watcher import RegistryWatcher
from applevale.startup.adaptive_backoff import Line
from applevale.startup.connect_schedule import Ramp
from applevale.startup.latency import Latency
from applevale.startup.staleness_guard import Kept, Promise


def test_alone_at_a_quick_service_nobody_waits_and_refusals_widen_the_window_up_to_a_bound():
    line = Line()
    line.answered(0.005)
    assert line.wait(1.0) == 0.0
    windows = []
    for _ in range(8):
        line.refused()
        windows.append(line.wait(1.0))
    assert windows == sorted(windows) and windows[0] == 0.25 and windows[-1] == 4.0
    assert line.wait(0.5, after=2.0) == 4.0  # what is asked for, and the draw on top of it
    for _ in range(6):
        line.answered(0.005)
    assert line.wait(1.0) == 0.0


def test_one_slow_answer_may_be_a_fault_of_the_way_two_are_the_service():
    line = Line()
    line.answered(0.5)
    assert line.window == 0.0
    line.answered(0.5)
    assert line.window == 2.0


def test_the_latency_follows_what_answers_take():
    latency = Latency()
    assert latency.high() == pytest.approx(0.25)
    for _ in range(60):
        latency.took(0.004)
    assert latency.high() < 0.006
    for _ in range(60):
        latency.took(0.2)
    assert 0.19 < latency.mean < 0.21


def test_the_promise_is_given_up_once_and_comes_back_by_a_trial():
    promise = Promise(room=0.15)
    assert not promise.holds  # no answer yet
    promise.greeted(0.01)
    assert promise.holds
    turns, now = [], 0.0
    for _ in range(40):  # too slow for any pace
        promise.answered(now := now + 0.3, 0.3, True, 0.5)
        turns.append(promise.holds)
    assert turns.count(True) == 2 and not any(turns[2:]) and promise.state is Kept.GIVEN_UP
    seen = []
    for _ in range(30):
        promise.answered(now := now + 0.2, 0.01, False, 0.5)
        seen.append(promise.state)
    assert seen.index(Kept.ON_TRIAL) < seen.index(Kept.KEPT) and promise.holds


def test_a_start_at_a_slow_service_is_given_up_later_and_owes_no_trial():
    promise, now = Promise(room=0.15), 0.0
    for _ in range(8):
        promise.answered(now := now + 0.3, 0.3, False, 0.5)
    assert promise.state is Kept.KEPT and not promise.holds
    promise.answered(now + 0.3, 0.3, False, 0.5)
    assert promise.state is Kept.GIVEN_UP and promise.seldom() == 1.0
    promise.answered(now + 0.4, 0.01, False, 0.5)
    assert promise.holds


def test_a_trial_that_meets_a_refusal_fails_and_the_next_rest_is_longer():
    promise = Promise(room=0.15, state=Kept.ON_TRIAL, proved=True)
    rests = []
    for _ in range(8):
        promise.refused(1.0, 0.5)
        rests.append(promise.rest)
        promise.state = Kept.ON_TRIAL
    assert rests == sorted(rests) and rests[0] < rests[-1] == 16.0
    assert promise.seldom() == 0.0


@pytest.mark.parametrize("instances", [40, 100, 200])
def test_all_together_keep_the_rate_of_connections_from_the_first_second_and_after_a_break(instances):
    engines, rate = set(range(1, 31)), 20.0
    ramps = [Ramp(rate, instances, me) for me in range(instances)]
    begun = {engine: [] for engine in engines}

    def open_all(start):
        """Each opens what it may as soon as it may, for two rounds."""
        for ramp in ramps:
            for engine in engines:
                for _ in range(2):
                    at = max(start, ramp.next[engine])
                    assert ramp.may(engine, at)
                    begun[engine].append(at)
                    ramp.begun(engine, at)

    for ramp in ramps:
        ramp.listed(engines, 0.0)
    open_all(0.0)
    for ramp in ramps:
        for engine in engines:
            ramp.parted(engine, 1000.0)
    open_all(1000.0)
    assert max(most_in(times, 1.0) for times in begun.values()) <= rate


def test_a_small_fleet_waits_for_nothing():
    ramp = Ramp(20.0, 1, 0)
    ramp.listed({1, 2, 3}, 5.0)
    ramp.begun(1, 5.0)
    ramp.parted(1, 5.0)
    assert all(ramp.may(engine, 5.0) for engine in (1, 2, 3))


def fleet_after_a_break(random, count=100, away=1.0):
    """Watchers of one service that is away for a while; when their connections came after its return. What
    differs between them is their random numbers alone."""
    back, found = 100.0 + away, []
    for number in range(count):
        it = RegistryWatcher(3, Ledger(Names(("a",), ("std",))), random=random(number))
        it.watched_list.revision = 10
        it.pacer.guard.proved = True
        now, commands = 100.0, it.on_tick(100.0)
        for _ in range(1000):
            if commands and now >= back:
                found.append(now)
                break
            commands = it.on_disconnected(now, it.session.session_id) if it.session else []
            if it.session is None:
                now = it.sessions.reconnect_at
                commands = it.on_tick(now)
        else:
            raise AssertionError("never came back")
    return found


class Same(Random):
    """The planted fault: no jitter."""

    def random(self):
        return 0.7


def test_after_a_break_all_come_back_spread_out_and_without_jitter_the_check_fails():
    assert most_in(fleet_after_a_break(Random), 0.1) <= 35
    assert most_in(fleet_after_a_break(lambda number: Same()), 0.1) == 100
