"""Zones: health, recovery, windows, the router, and the decision module with it; no sockets, no clock."""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from policy_driver import LOOKUP, REPORT, PolicyDriver, actions_of

from applevale import api
from applevale.policy import AdmissionController
from applevale.zones.health import RESULT_WINDOW_SECONDS, ZoneHealth, find_lost_zones
from applevale.zones.recovery import RecoveryPhase, ZoneRecovery
from applevale.zones.settings import RecoverySettings, SpillLimit, ZonesError, ZoneSettings, read_zones
from applevale.zones.sliding_window import SlidingWindow
from applevale.zones.zone_router import ZoneRouter

NAMES = ("east", "west", "north")
ZONES = ZoneSettings(
    tiers={"east": [["east"], ["west"], ["north"]], "west": [["west"], ["east"]]},
    spill_limits=[
        SpillLimit("east", "west", 0.25),
        SpillLimit("east", "north", 0.1),
        SpillLimit("west", "east", 0.25),
    ],
    instances={"east": 2},
    pinned_classes=["long"],
    recovery=RecoverySettings(initial_share=0.1, ramp_duration=10.0, min_cooldown=2.0, max_cooldown=16.0),
)
CLASSES = ("short", "long")


def zone_health(*results, engines=3):
    """A zone's health after results of (engine, is_success) at one time."""
    health = ZoneHealth()
    health.set_engines(set(range(1, engines + 1)))
    for engine, is_success in results:
        health.record_result(100.0, engine, is_success)
    return health


BAD = [(engine, False) for engine in (1, 2, 3)] * 2
FINE = [(1, True), (2, True), (3, True)]


@pytest.mark.parametrize(
    "zones, lost",
    [
        ({0: zone_health(*BAD), 1: zone_health(*FINE)}, {0}),
        (
            {0: zone_health(*[(1, False)] * 50, (2, True), (3, True)), 1: zone_health(*FINE)},
            set(),
        ),  # one bad engine
        (
            {0: zone_health(*BAD), 1: zone_health(*BAD), 2: zone_health(*BAD)},
            set(),
        ),  # what all share is no zone's fault
        ({0: zone_health(*BAD), 1: zone_health(*BAD), 2: zone_health(*FINE)}, {0, 1}),
        ({0: zone_health((1, False), (2, False)), 1: zone_health(*FINE)}, set()),  # too few failures
        ({0: zone_health(*BAD, *FINE), 1: zone_health(*FINE)}, set()),  # successes came after the failures
        ({0: zone_health(*[(1, False)] * 5, engines=1), 1: zone_health(*FINE)}, {0}),
        ({0: zone_health(*BAD), 1: zone_health()}, {0}),  # nothing is known against the other
    ],
)
def test_a_zone_is_lost_when_its_engines_fail_together_and_others_do_not(zones, lost):
    assert find_lost_zones(zones, 100.0) == lost
    assert find_lost_zones(zones, 100.0 + RESULT_WINDOW_SECONDS * 1.01) == set()  # old results count no more


def test_a_zone_recovers_by_trial_and_ramp_and_its_cooldown_doubles_if_it_fails_again():
    recovery, now = ZoneRecovery(ZONES.recovery), 100.0
    cooldowns = []
    for _ in range(6):
        recovery.mark_lost(now)
        assert recovery.usable_share(now) == 0.0
        cooldowns.append(recovery.cooldown)
        now += recovery.cooldown
        recovery.advance(now - 0.01)
        assert recovery.phase is RecoveryPhase.LOST
        recovery.advance(now)
        assert recovery.phase is RecoveryPhase.TRIAL and recovery.usable_share(now) == 0.0
        for _ in range(3):
            recovery.record_result(now, True)
        assert recovery.phase is RecoveryPhase.RAMPING and recovery.usable_share(now) == 0.1
        now += 5.0
        recovery.advance(now)
        assert recovery.usable_share(now) == pytest.approx(0.55)
    assert cooldowns == [2.0, 4.0, 8.0, 16.0, 16.0, 16.0]
    now += 20.0
    recovery.advance(now)
    assert recovery.phase is RecoveryPhase.HEALTHY and recovery.usable_share(now) == 1.0
    recovery.mark_lost(now)
    assert recovery.cooldown == 2.0  # it had stayed


@given(st.lists(st.tuples(st.floats(0, 1.0), st.sampled_from(["lost", "good", "bad"])), max_size=300))
def test_changes_of_phase_are_bounded_whatever_happens(steps):
    recovery, now = ZoneRecovery(ZONES.recovery), 100.0
    for after, what in steps:
        now += after
        recovery.advance(now)
        recovery.mark_lost(now) if what == "lost" else recovery.record_result(now, what == "good")
    assert recovery.phase_changes <= recovery.max_phase_changes(now - 100.0)


@given(st.lists(st.tuples(st.floats(0, 0.4), st.floats(0.01, 3.0)), max_size=200))
def test_no_window_of_a_second_holds_more_than_its_limit(pieces):
    window, now, let = SlidingWindow(1.0), 0.0, []
    for after, work in pieces:
        now += after
        if window.fits(now, work, 2.0):
            window.add(now, work)
            let.append((now, work))
    for start, _ in let:
        assert sum(work for at, work in let if start <= at < start + 1.0) <= 2.0 + 1e-9


def entries(east=4, west=4, north=4, **more):
    numbers = iter(range(1, 100))
    return tuple(
        api.EngineEntry(next(numbers), zone=zone, **more)
        for zone, count in enumerate((east, west, north))
        for _ in range(count)
    )


class ZoneDriver(PolicyDriver):
    """The module with a router, home in the east; each engine has 8 cores."""

    def __init__(self, zones=ZONES, home=0, listed=None, **changes):
        super().__init__(entries=entries(), **changes)
        self.router = ZoneRouter(zones, NAMES, CLASSES, home)
        self.controller = AdmissionController(self.settings, 1, self.router)
        self.entries = listed or entries()
        self.handle(api.EngineList(self.entries, whole=True))

    def zone(self, send):
        return next(entry.zone for entry in self.entries if entry.engine == send.engine)

    def lose(self, zone):
        now = self.now
        for entry in [one for one in self.entries if one.zone == zone] * 2:
            self.router.on_result(now, entry, api.Result.CONNECT_FAILED)


def test_work_stays_at_home_while_home_has_room():
    driver = ZoneDriver()
    for group in range(40):
        for send in actions_of(api.Send, driver.submit(tables=float(group))[1]):
            assert driver.zone(send) == 0
            driver.finish(send)


def test_a_lost_zone_takes_nothing_and_spill_stays_under_its_share():
    driver = ZoneDriver()
    driver.lose(0)
    let = {1: [], 2: []}
    for at in range(190):  # within its cooldown of 2 s
        driver.run(0.01)
        for send in actions_of(api.Send, driver.submit(tables=float(at), work=0.3)[1]):
            let[driver.zone(send)].append((driver.now, 0.3))
            driver.finish(send, work=0.3)
    work = {
        zone: max(sum(w for at, w in sent if start <= at < start + 1.0) for start, _ in sent)
        for zone, sent in let.items()
    }
    assert work[1] <= 0.25 / 2 * 32 and work[2] <= 0.1 / 2 * 32
    assert work[1] > 0.25 / 2 * 32 * 0.7  # and is used


def test_pinned_classes_are_rejected_at_once_with_retry_after_when_home_is_lost():
    driver = ZoneDriver()
    driver.lose(0)
    _, actions = driver.submit(class_index=1, work=30.0)
    assert not actions_of(api.Send, actions)
    answers = actions_of(api.Reject, actions + driver.run(4.0))
    assert answers and answers[0].retry_after > 0


def test_a_burst_without_room_is_rejected_at_once_and_worth_decides_who_is_sent():
    cheap = replace(LOOKUP, worth=0.1)
    driver = ZoneDriver(
        zones=ZoneSettings(tiers=ZONES.tiers, spill_limits=ZONES.spill_limits),
        classes=(LOOKUP, REPORT, cheap),
    )
    driver.lose(0)
    numbers = iter(range(10_000, 20_000))
    asks = [
        api.Request(next(numbers), cls=at % 2 * 2, ttl=4.0, work=1.0, tables=float(at)) for at in range(200)
    ]
    actions = driver.handle(*asks)
    sent = [send.request for send in actions_of(api.Send, actions)]
    refused = actions_of(api.Reject, actions)
    classes = {ask.request: ask.cls for ask in asks}
    assert sent and all(classes[number] == 0 for number in sent)
    assert len(refused) > 100 and all(answer.retry_after > 0 for answer in refused)


def test_one_attempt_at_a_time_on_trial_then_a_ramp_over_all_instances():
    driver = ZoneDriver()
    driver.lose(0)
    driver.run(2.1)
    trial = [send for at in range(10) for send in actions_of(api.Send, driver.submit(tables=float(at))[1])]
    assert sum(driver.zone(send) == 0 for send in trial) == 1
    home = next(send for send in trial if driver.zone(send) == 0)
    for _ in range(3):
        driver.finish(home)
        sends = [send for at in range(4) for send in actions_of(api.Send, driver.submit(tables=float(at))[1])]
        home = next((send for send in sends if driver.zone(send) == 0), home)
    recovery = driver.router.zones[0].recovery
    assert recovery.phase is RecoveryPhase.RAMPING
    begun, let = driver.now, []
    while driver.now < begun + 9.0:
        driver.run(0.02)
        for send in actions_of(api.Send, driver.submit(tables=driver.now, work=0.4)[1]):
            if driver.zone(send) == 0:
                let.append((driver.now, 0.4))
            driver.finish(send, work=0.4)
    for start, _ in let:
        share = 0.1 + 0.9 * min(1.0, (start + 1.0 - begun) / 10.0)
        assert sum(work for at, work in let if start <= at < start + 1.0) <= share * 32 / 2 * 1.05
    assert len(let) > 50


def test_a_planned_drain_of_a_zone_ends_in_a_ramp_and_loses_nothing():
    driver = ZoneDriver()
    send = actions_of(api.Send, driver.submit()[1])[0]
    assert driver.zone(send) == 0
    drained = tuple(replace(entry, state=api.State.DRAINING) for entry in driver.entries if entry.zone == 0)
    driver.handle(api.EngineList(drained))
    assert driver.router.zones[0].recovery.phase is RecoveryPhase.LOST
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 1
    assert not actions_of(api.Fail, driver.finish(send))  # what ran there goes on
    back = tuple(replace(entry, started=driver.now) for entry in driver.entries if entry.zone == 0)
    driver.handle(api.EngineList(back))
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 1
    driver.run(2.1)
    assert (
        driver.router.may_take(driver.now, 0, 0, 0.2)
        and driver.router.zones[0].recovery.phase is RecoveryPhase.TRIAL
    )


def test_the_loss_of_the_zone_that_takes_the_spill_moves_it_to_the_next():
    driver = ZoneDriver()
    driver.lose(0)
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 1
    driver.lose(1)
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 2


def test_without_zones_the_module_has_a_router_that_allows_all():
    router = api.Router()
    assert (
        router.may_take(0.0, 0, 5, 1e9) and router.available_rate(0.0, 3.0) == 3.0 and router.tier(0, 5) == 0
    )


@pytest.mark.parametrize(
    "change, place",
    [
        (b'{"tiers": {"south": [["south"]]}}', "tiers"),
        (b'{"tiers": {"east": [["west"]]}}', "tiers.east"),
        (b'{"tiers": {"east": [["east"], ["east"]]}}', "tiers.east"),
        (b"[]", "zones"),
        (b"{", "zones"),
        (b'{"tiers": {}, "spill": [{"from": "east", "to": "east", "share": 0.1}]}', r"spill\[0\]"),
        (b'{"tiers": {}, "spill": [{"from": "east", "to": "west", "share": 2}]}', "share"),
        (b'{"tiers": {}, "stay": ["none"]}', "stay"),
        (b'{"tiers": {}, "back": {"rest": 9, "rest_most": 3}}', "back"),
        (b'{"tiers": {}, "instances": {"east": 0}}', "instances"),
        (b'{"tiers": {}, "colour": 1}', "colour"),
    ],
)
def test_a_zones_file_that_cannot_be_used_names_the_place(change, place):
    with pytest.raises(ZonesError, match=place) as caught:
        read_zones(change, NAMES, CLASSES)
    assert str(caught.value) == f"{caught.value.place}: {caught.value.reason}"


STORED_ZONES = (  # in the form that operators have stored
    b'{"tiers":{"east":[["east"],["west"]]},"spill":[{"from":"east","to":"west","share":0.2}],'
    b'"instances":{"east":2},"capacity":{"west":48.0},"stay":["long"],"window":2.0,'
    b'"back":{"first":0.2,"over":15.0,"rest":3.0,"rest_most":31.0,"again":11.0}}'
)


def test_a_zones_file_is_read_and_written_as_before():
    zones = ZoneSettings(
        tiers={"east": [["east"], ["west"]]},
        spill_limits=[SpillLimit("east", "west", 0.2)],
        instances={"east": 2},
        capacity={"west": 48.0},
        pinned_classes=["long"],
        window=2.0,
        recovery=RecoverySettings(0.2, 15.0, 3.0, 31.0, 11.0),
    )
    assert read_zones(STORED_ZONES, NAMES, CLASSES) == zones
    assert msgspec.json.encode(zones) == STORED_ZONES
