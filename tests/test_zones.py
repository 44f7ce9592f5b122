"""Zones: health, recovery, sliding windows, the router, and the policy with it; no sockets, no clock."""

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

ZONE_NAMES = ("east", "west", "north")
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
CLASS_NAMES = ("short", "long")


def zone_health(*results, engines=3):
    """Return the health of a zone after results, pairs of engine and success, all at the same time."""
    health = ZoneHealth()
    health.set_engines(set(range(1, engines + 1)))
    for engine, is_success in results:
        health.record_result(100.0, engine, is_success)
    return health


ALL_FAIL = [(engine, False) for engine in (1, 2, 3)] * 2
ALL_SUCCEED = [(1, True), (2, True), (3, True)]


@pytest.mark.parametrize(
    "zones, lost",
    [
        pytest.param({0: zone_health(*ALL_FAIL), 1: zone_health(*ALL_SUCCEED)}, {0}, id="one zone fails"),
        pytest.param(
            {0: zone_health(*[(1, False)] * 50, (2, True), (3, True)), 1: zone_health(*ALL_SUCCEED)},
            set(),
            id="only one engine fails",
        ),
        pytest.param(
            {0: zone_health(*ALL_FAIL), 1: zone_health(*ALL_FAIL), 2: zone_health(*ALL_FAIL)},
            set(),
            id="all zones fail",
        ),
        pytest.param(
            {0: zone_health(*ALL_FAIL), 1: zone_health(*ALL_FAIL), 2: zone_health(*ALL_SUCCEED)},
            {0, 1},
            id="two of three zones fail",
        ),
        pytest.param(
            {0: zone_health((1, False), (2, False)), 1: zone_health(*ALL_SUCCEED)},
            set(),
            id="too few failures",
        ),
        pytest.param(
            {0: zone_health(*ALL_FAIL, *ALL_SUCCEED), 1: zone_health(*ALL_SUCCEED)},
            set(),
            id="successes after the failures",
        ),
        pytest.param(
            {0: zone_health(*[(1, False)] * 5, engines=1), 1: zone_health(*ALL_SUCCEED)},
            {0},
            id="the only engine fails",
        ),
        pytest.param({0: zone_health(*ALL_FAIL), 1: zone_health()}, {0}, id="no results of the other zone"),
    ],
)
def test_a_zone_is_lost_if_its_engines_fail_together_and_those_of_another_zone_do_not(zones, lost):
    assert find_lost_zones(zones, 100.0) == lost
    assert find_lost_zones(zones, 100.0 + RESULT_WINDOW_SECONDS * 1.01) == set()


def test_a_zone_recovers_by_trial_and_ramp_and_its_cooldown_doubles_if_it_fails_again():
    recovery = ZoneRecovery(ZONES.recovery)
    now = 100.0
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
    assert recovery.cooldown == 2.0  # This is no relapse: the zone was healthy for longer than the window.


@given(st.lists(st.tuples(st.floats(0, 1.0), st.sampled_from(["lost", "success", "failure"])), max_size=300))
def test_the_number_of_phase_changes_is_bounded_for_any_sequence_of_events(steps):
    recovery = ZoneRecovery(ZONES.recovery)
    now = 100.0
    for delay, event in steps:
        now += delay
        recovery.advance(now)
        if event == "lost":
            recovery.mark_lost(now)
        else:
            recovery.record_result(now, event == "success")
    assert recovery.phase_changes <= recovery.max_phase_changes(now - 100.0)


@given(st.lists(st.tuples(st.floats(0, 0.4), st.floats(0.01, 3.0)), max_size=200))
def test_no_window_of_one_second_contains_more_work_than_the_limit(steps):
    window = SlidingWindow(1.0)
    now = 0.0
    sent = []
    for delay, work in steps:
        now += delay
        if window.fits(now, work, 2.0):
            window.add(now, work)
            sent.append((now, work))
    for start, _ in sent:
        assert sum(work for at, work in sent if start <= at < start + 1.0) <= 2.0 + 1e-9


def engine_entries(east=4, west=4, north=4, **fields):
    numbers = iter(range(1, 100))
    return tuple(
        api.EngineEntry(next(numbers), zone=zone, **fields)
        for zone, count in enumerate((east, west, north))
        for _ in range(count)
    )


class ZoneDriver(PolicyDriver):
    """The policy with a zone router whose home zone is the east; each zone has 4 engines of 8 cores."""

    def __init__(self, zones=ZONES, home=0, entries=None, **changes):
        super().__init__(entries=engine_entries(), **changes)
        self.router = ZoneRouter(zones, ZONE_NAMES, CLASS_NAMES, home)
        self.controller = AdmissionController(self.settings, 1, self.router)
        self.entries = entries or engine_entries()
        self.handle(api.EngineList(self.entries, is_full=True))

    def zone(self, send):
        """Return the zone of the engine to which a request is sent."""
        return next(entry.zone for entry in self.entries if entry.engine_id == send.engine_id)

    def lose(self, zone):
        """Report so many failed attempts that the zone is lost."""
        now = self.now
        for entry in [entry for entry in self.entries if entry.zone == zone] * 2:
            self.router.on_result(now, entry, api.Result.CONNECT_FAILED)


def test_work_stays_in_the_home_zone_while_it_has_capacity():
    driver = ZoneDriver()
    for group in range(40):
        for send in actions_of(api.Send, driver.submit(table_group=float(group))[1]):
            assert driver.zone(send) == 0
            driver.finish(send)


def test_a_lost_zone_receives_no_work_and_spill_stays_within_its_limit():
    driver = ZoneDriver()
    driver.lose(0)
    sent_by_zone = {1: [], 2: []}
    for group in range(190):  # 1.9 s, within the cooldown of 2 s.
        driver.run(0.01)
        for send in actions_of(api.Send, driver.submit(table_group=float(group), work=0.3)[1]):
            sent_by_zone[driver.zone(send)].append((driver.now, 0.3))
            driver.finish(send, work=0.3)
    max_work_per_second = {
        zone: max(sum(work for at, work in sent if start <= at < start + 1.0) for start, _ in sent)
        for zone, sent in sent_by_zone.items()
    }
    assert max_work_per_second[1] <= 0.25 / 2 * 32
    assert max_work_per_second[2] <= 0.1 / 2 * 32
    assert max_work_per_second[1] > 0.25 / 2 * 32 * 0.7  # Most of the limit is used.


def test_pinned_classes_are_rejected_at_once_with_retry_after_when_the_home_zone_is_lost():
    driver = ZoneDriver()
    driver.lose(0)
    _, actions = driver.submit(class_index=1, work=30.0)
    assert not actions_of(api.Send, actions)
    rejections = actions_of(api.Reject, actions + driver.run(4.0))
    assert rejections and rejections[0].retry_after > 0


def test_a_burst_beyond_the_spill_limits_is_rejected_at_once_and_requests_of_higher_worth_are_sent():
    cheap = replace(LOOKUP, worth=0.1)
    driver = ZoneDriver(
        zones=ZoneSettings(tiers=ZONES.tiers, spill_limits=ZONES.spill_limits),
        classes=(LOOKUP, REPORT, cheap),
    )
    driver.lose(0)
    request_ids = iter(range(10_000, 20_000))
    requests = [
        api.Request(
            next(request_ids),
            class_index=number % 2 * 2,
            timeout=4.0,
            estimated_work=1.0,
            table_group=float(number),
        )
        for number in range(200)
    ]
    actions = driver.handle(*requests)
    sent = [send.request_id for send in actions_of(api.Send, actions)]
    rejections = actions_of(api.Reject, actions)
    classes = {request.request_id: request.class_index for request in requests}
    assert sent and all(classes[request_id] == 0 for request_id in sent)
    assert len(rejections) > 100 and all(rejection.retry_after > 0 for rejection in rejections)


def test_a_zone_receives_one_attempt_at_a_time_on_trial_and_then_a_ramp_shared_by_all_instances():
    driver = ZoneDriver()
    driver.lose(0)
    driver.run(2.1)
    sends = [
        send
        for group in range(10)
        for send in actions_of(api.Send, driver.submit(table_group=float(group))[1])
    ]
    assert sum(driver.zone(send) == 0 for send in sends) == 1
    trial_send = next(send for send in sends if driver.zone(send) == 0)
    for _ in range(3):
        driver.finish(trial_send)
        sends = [
            send
            for group in range(4)
            for send in actions_of(api.Send, driver.submit(table_group=float(group))[1])
        ]
        trial_send = next((send for send in sends if driver.zone(send) == 0), trial_send)
    recovery = driver.router.zones[0].recovery
    assert recovery.phase is RecoveryPhase.RAMPING
    ramp_start = driver.now
    sent = []
    while driver.now < ramp_start + 9.0:
        driver.run(0.02)
        for send in actions_of(api.Send, driver.submit(table_group=driver.now, work=0.4)[1]):
            if driver.zone(send) == 0:
                sent.append((driver.now, 0.4))
            driver.finish(send, work=0.4)
    for start, _ in sent:
        share = 0.1 + 0.9 * min(1.0, (start + 1.0 - ramp_start) / 10.0)
        assert sum(work for at, work in sent if start <= at < start + 1.0) <= share * 32 / 2 * 1.05
    assert len(sent) > 50


def test_a_zone_that_returns_from_a_planned_drain_starts_with_a_trial_and_no_attempt_fails():
    driver = ZoneDriver()
    send = actions_of(api.Send, driver.submit()[1])[0]
    assert driver.zone(send) == 0
    drained = tuple(
        replace(entry, state=api.EngineState.DRAINING) for entry in driver.entries if entry.zone == 0
    )
    driver.handle(api.EngineList(drained))
    assert driver.router.zones[0].recovery.phase is RecoveryPhase.LOST
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 1
    assert not actions_of(api.Fail, driver.finish(send))  # The attempt that was in flight there completes.
    returned = tuple(replace(entry, started_at=driver.now) for entry in driver.entries if entry.zone == 0)
    driver.handle(api.EngineList(returned))
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 1
    driver.run(2.1)
    assert driver.router.can_accept_work(driver.now, 0, 0, 0.2)
    assert driver.router.zones[0].recovery.phase is RecoveryPhase.TRIAL


def test_spill_moves_to_the_next_zone_when_the_zone_that_receives_it_is_lost_too():
    driver = ZoneDriver()
    driver.lose(0)
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 1
    driver.lose(1)
    assert driver.zone(actions_of(api.Send, driver.submit()[1])[0]) == 2


def test_the_default_router_does_not_distinguish_zones():
    router = api.Router()
    assert router.can_accept_work(0.0, 0, 5, 1e9)
    assert router.available_rate(0.0, 3.0) == 3.0
    assert router.zone_tier(0, 5) == 0


@pytest.mark.parametrize(
    "raw, place",
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
def test_the_error_for_an_invalid_zones_file_names_the_key(raw, place):
    with pytest.raises(ZonesError, match=place) as caught:
        read_zones(raw, ZONE_NAMES, CLASS_NAMES)
    assert str(caught.value) == f"{caught.value.place}: {caught.value.reason}"


STORED_ZONES = (  # Operators have files in this form, which must stay readable.
    b'{"tiers":{"east":[["east"],["west"]]},"spill":[{"from":"east","to":"west","share":0.2}],'
    b'"instances":{"east":2},"capacity":{"west":48.0},"stay":["long"],"window":2.0,'
    b'"back":{"first":0.2,"over":15.0,"rest":3.0,"rest_most":31.0,"again":11.0}}'
)


def test_a_zones_file_is_read_and_written_in_the_stored_form():
    zones = ZoneSettings(
        tiers={"east": [["east"], ["west"]]},
        spill_limits=[SpillLimit("east", "west", 0.2)],
        instances={"east": 2},
        capacity={"west": 48.0},
        pinned_classes=["long"],
        window=2.0,
        recovery=RecoverySettings(0.2, 15.0, 3.0, 31.0, 11.0),
    )
    assert read_zones(STORED_ZONES, ZONE_NAMES, CLASS_NAMES) == zones
    assert msgspec.json.encode(zones) == STORED_ZONES
