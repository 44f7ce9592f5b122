"""One behaviour or failure a test; no bench needed."""

import gc
import os
import subprocess
import sys
from dataclasses import replace
from math import log
from random import Random

import pytest
from helpers import LOOKUP, REPORT, Driver, of

from applevale import api
from applevale.estimators import DecayingMean, EstimateCorrection
from applevale.policy import AdmissionController
from applevale.policy.admission import flag_price
from applevale.policy.config import MAX_RATIO
from applevale.policy.model import PendingRequest

R = api.Result


def test_one_group_goes_home_and_another_gateway_agrees():
    homes = []
    for seed in (1, 2):
        d = Driver(engines=7, seed=seed)
        homes.append([of(api.Send, d.ask(tables=float(g))[1])[0].engine for g in range(20)])
        assert len({of(api.Send, d.ask(tables=3.0)[1])[0].engine for _ in range(3)}) == 1
    assert homes[0] == homes[1]
    assert len(set(homes[0])) > 3


def test_loss_of_an_engine_moves_only_its_own_groups():
    before, after = Driver(engines=7), Driver(entries=tuple(api.EngineEntry(n) for n in range(1, 7)))
    for group in range(30):
        a = of(api.Send, before.ask(tables=float(group))[1])[0]
        b = of(api.Send, after.ask(tables=float(group))[1])[0]
        before.end(a), after.end(b)
        assert a.engine == b.engine or a.engine == 7


def test_price_follows_entropy_and_misses():
    assert flag_price(1.0, 0) == pytest.approx(1.0)
    assert flag_price(0.5, 0) == pytest.approx(2.0)
    assert flag_price(0.5, 5) < flag_price(0.5, 0)
    assert flag_price(1.0, 100) == pytest.approx(0.2)


def test_a_miss_flags_the_next_of_its_kind_and_expires():
    d = Driver()
    number, _ = d.ask(1, work=2.0, memory=3000.0)
    admission, pending = d.controller.admission, d.controller.attempts.pending[number]
    kind, features = admission.kind_of(pending), (1.0, 0.1, 0.1, 0.1, 0.0)
    admission.learn(pending, d.controller.engines[1], True)
    assert admission.predictor.predict(d.now + 1, kind, features) == 1.0
    assert admission.predictor.predict(d.now + 1000, kind, features) < 1.0


def report(d, engine, memory=0.0, cpu=0.0):
    """An engine's report, as an answer would bring it."""
    d.controller.load.take_report(d.controller.engines[engine], (0.0, cpu, 0.0, memory))
    d.controller.load.start_batch()  # as at the start of a batch


def test_accepted_flag_waits_for_memory_and_is_refused_at_its_deadline():
    d = Driver(engines=1)
    engine = d.controller.engines[1]
    d.controller.context.memory_trouble_at = d.now
    d.controller.admission.predictor.model.weights = [8.0, 0.0, 0.0, 0.0, 0.0]
    report(d, 1, memory=0.95)
    engine.flag_quota.quota, engine.flag_quota.next_refill = 5.0, d.now + 3.0
    number, actions = d.ask(1, work=3.0, memory=4000.0)
    assert not of(api.Send, actions) and not of(api.Reject, actions)
    done = []
    for _ in range(60):
        report(d, 1, memory=0.95)
        done += d.run(0.1)
    refused = of(api.Reject, done)
    assert [a.request for a in refused] == [number] and refused[0].retry_after > 0
    assert not of(api.Send, done)


def test_one_report_releases_no_more_than_it_can_hold():
    d = Driver(engines=1)
    engine = d.controller.engines[1]
    report(d, 1, memory=0.5)
    first = d.controller.load.free_memory(engine)
    d.now += 0.01
    d.ask(1, work=1.0, memory=2000.0)
    assert d.controller.load.free_memory(engine) <= first - 2000.0


def test_every_request_is_answered_before_its_time():
    d = Driver(engines=1)
    number, actions = d.ask(ttl=2.0)
    assert of(api.Send, actions)
    d.run(2.5)
    ends = [(t, a) for t, a in d.log if isinstance(a, (api.Reject, api.Fail)) and a.request == number]
    assert len(ends) == 1 and ends[0][0] < 102.0


def test_a_try_with_hardly_any_time_left_is_refused_at_once():
    d = Driver()
    _, actions = d.ask(ttl=0.02)
    assert of(api.Reject, actions) and not of(api.Send, actions)


def test_no_time_left_means_none_not_the_class_deadline():
    d = Driver()
    assert of(api.Reject, d.give(api.Request(900, 0, ttl=0.0, work=0.2)))


def test_no_engine_holds_while_there_is_hope():
    d = Driver(entries=(api.EngineEntry(1, state=api.State.DRAINING),))
    number, actions = d.ask()
    assert not actions
    sent = of(api.Send, d.give(api.EngineList((api.EngineEntry(2),))))
    assert [a.request for a in sent] == [number]


def test_draining_gets_nothing_new():
    d = Driver(engines=2)
    d.give(api.EngineList((api.EngineEntry(1, state=api.State.DRAINING),)))
    for group in range(20):
        assert of(api.Send, d.ask(tables=float(group), work=0.05)[1])[0].engine == 2


def test_placement_holds_even_when_the_only_engine_fails():
    bound = replace(REPORT, kinds=frozenset({1}))
    d = Driver(entries=(api.EngineEntry(1, kind=0), api.EngineEntry(2, kind=1)), classes=(LOOKUP, bound))
    send = of(api.Send, d.ask(1, work=1.0)[1])[0]
    assert send.engine == 2
    after = d.end(send, R.ERROR) + d.run(3.0)
    assert all(a.engine == 2 for a in of(api.Send, after))


def test_unsafe_that_may_have_run_fails_and_is_never_sent_again():
    unsafe = replace(LOOKUP, repeat=api.Repeat.UNSAFE)
    for result in (R.ERROR, R.TIMEOUT, R.RESET, R.CANCELLED):
        d = Driver(classes=(unsafe,))
        actions = d.end(of(api.Send, d.ask()[1])[0], result)
        assert of(api.Fail, actions) and not of(api.Send, actions) and not of(api.Reject, actions)


def test_unsafe_that_never_ran_goes_elsewhere():
    d = Driver(classes=(replace(LOOKUP, repeat=api.Repeat.UNSAFE),))
    first = of(api.Send, d.ask()[1])[0]
    again = of(api.Send, d.end(first, R.CONNECT_FAILED))
    assert again and again[0].engine != first.engine


@pytest.mark.parametrize("group", ["zone", "cell"])
def test_keyed_repeat_stays_in_its_group_and_window(group):
    keyed = replace(LOOKUP, repeat=api.Repeat.KEYED, group=group, repeat_window=1.0)
    entries = tuple(api.EngineEntry(n, zone=n % 2, cell=n % 2) for n in range(1, 7))
    d = Driver(classes=(keyed,), entries=entries)
    first = of(api.Send, d.ask()[1])[0]
    d.now += 0.3
    again = of(api.Send, d.end(first, R.RESET))
    assert again and again[0].engine % 2 == first.engine % 2
    d.now += 0.8
    actions = d.end(again[0], R.RESET, attempt=1)
    assert not of(api.Send, actions) and not of(api.Reject, actions)
    assert of(api.Fail, actions + d.run(5.0))


def test_order_one_at_a_time_with_rest():
    ordered = replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True)
    d = Driver(classes=(ordered,), order_pause=0.4)
    first = of(api.Send, d.ask(key=9)[1])[0]
    second, actions = d.ask(key=9)
    assert not of(api.Send, actions)
    d.end(first, R.TIMEOUT)
    assert not of(api.Send, d.run(0.3))
    assert [a.request for a in of(api.Send, d.run(0.3))] == [second]


def test_an_unsafe_request_far_past_its_time_is_given_up_only_for_those_behind_it():
    """An answer that never came held its key until the client's deadline, and all behind it failed too."""
    d = Driver(classes=(replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True, deadline=25.0),))
    alone = of(api.Send, d.ask(key=5)[1])[0]
    lost = of(api.Send, d.ask(key=9)[1])[0]
    behind, _ = d.ask(key=9)
    actions = d.run(12.0)
    assert [a.request for a in of(api.Fail, actions)] == [lost.request]  # it may have run: not refused
    assert [a.request for a in of(api.Cancel, actions)] == [lost.request]
    assert alone.request not in {a.request for a in of(api.Fail, actions)}
    assert [send.request for send in of(api.Send, d.end(lost, R.CANCELLED))] == [behind]


def test_who_waits_for_a_turn_that_comes_too_late_is_refused_for_one_behind_it_only():
    """Keys with more loads than they can do: each was begun just before its deadline, and failed at it."""
    d = Driver(classes=(replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True, deadline=25.0),))
    first = of(api.Send, d.ask(key=9, work=0.5)[1])[0]
    short, _ = d.ask(key=9, work=0.5, ttl=2.5)
    patient, _ = d.ask(key=9, work=0.5, ttl=20.0)
    assert not of(api.Reject, d.run(0.1))  # it costs the one behind it nothing
    hurried, _ = d.ask(key=9, work=0.1, ttl=2.6)  # in time, but not behind all of those
    assert [a.request for a in of(api.Reject, d.run(0.1))] == [short]
    sends = of(api.Send, d.end(first, work=0.5) + d.run(0.1))
    assert [send.request for send in sends] == [patient]
    assert [send.request for send in of(api.Send, d.end(sends[0], work=0.5))] == [hurried]


def test_further_attempts_stay_within_the_budget():
    d = Driver(engines=6, budget_share=0.1, budget_free=1.0, budget_span=5.0, try_limit=5)
    sends = [of(api.Send, d.ask(tables=float(g))[1])[0] for g in range(10)]
    further = sum(len(of(api.Send, d.end(s, R.ERROR))) for s in sends)
    assert 1 <= further <= 2


def test_never_two_at_once_and_never_past_the_limit():
    d = Driver(engines=5, try_limit=2)
    first = of(api.Send, d.ask()[1])[0]
    second = of(api.Send, d.end(first, R.ERROR))
    assert len(second) == 1
    actions = d.end(second[0], R.ERROR, attempt=1)
    assert of(api.Reject, actions) and not of(api.Send, actions)


def test_failing_engine_rests_at_one_bad_sign_and_returns_by_one_at_a_time():
    d = Driver(engines=4)
    first = of(api.Send, d.ask(tables=1.0)[1])[0]
    bad = first.engine
    d.end(first, R.CONNECT_FAILED)
    assert all(of(api.Send, d.ask(tables=1.0, work=0.05)[1])[0].engine != bad for _ in range(6))
    assert sum(isinstance(a, api.Log) and str(bad) in a.text for _, a in d.log) == 1
    d.run(1.2)
    homes = [of(api.Send, d.ask(tables=1.0, work=0.05)[1])[0].engine for _ in range(3)]
    assert homes.count(bad) == 1


def test_two_resets_rest_no_engine_but_three_in_a_row_do():
    """Peers spoil answers and reset links of any engine: each rested a sound one."""
    d = Driver(engines=4)
    sends = [of(api.Send, d.ask(tables=1.0, work=0.05)[1])[0] for _ in range(6)]
    for send, result in zip(sends, (R.RESET, R.RESET, R.OK, R.RESET, R.RESET)):
        d.end(send, result)
    d.give(api.ProbeResult(99, R.RESET))
    assert d.controller.engines[sends[0].engine].health.open_until <= d.now
    d.give(api.ProbeResult(sends[0].engine, R.RESET))
    assert d.controller.engines[sends[0].engine].health.open_until > d.now


def test_a_request_that_no_engine_can_use_is_given_up_after_two():
    d = Driver(engines=5)
    first = of(api.Send, d.ask()[1])[0]
    second = of(api.Send, d.end(first, R.ERROR))[0]
    assert d.controller.engines[first.engine].health.open_until > d.now
    (answer,) = d.end(second, R.ERROR, attempt=1)
    assert isinstance(answer, api.Reject) and answer.retry_after > 0
    assert not any(
        e.health.open_until > d.now or e.health.on_probation for e in d.controller.engines.values()
    )


def test_an_engine_that_left_with_attempts_out_is_forgotten_after_them():
    d = Driver(engines=2)
    send = of(api.Send, d.ask()[1])[0]
    d.give(api.EngineList((api.EngineEntry(send.engine, state=api.State.GONE),)))
    assert send.engine in d.controller.engines
    d.end(send)
    assert send.engine not in d.controller.engines and len(d.controller.engines) == 1


@pytest.mark.parametrize("result", [R.OK, R.RESET, R.ERROR])
def test_the_next_of_a_key_waits_until_the_answer_before_it_is_out(result):
    """Both in one batch, the engine had the next request before the client had the answer."""
    d = Driver(classes=(replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True),), order_gap=0.02)
    first = of(api.Send, d.ask(key=7)[1])[0]
    second, actions = d.ask(key=7)
    assert not of(api.Send, actions + d.end(first, result) + d.run(0.5))
    assert not of(api.Send, d.give(api.AnswerSent(first.request, 7, 0.3)) + d.run(0.29))
    assert [send.request for send in of(api.Send, d.run(0.2))] == [second]


def test_an_answer_that_left_before_its_attempt_had_ended_blocks_no_key():
    d = Driver(classes=(replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True),), order_gap=0.02)
    first = of(api.Send, d.ask(key=7)[1])[0]
    second, _ = d.ask(key=7)
    d.give(api.ClientGone(first.request), api.AnswerSent(first.request, 7, 0.4))
    assert not of(api.Send, d.run(0.1))
    # The end of the attempt must not cut the rest short.
    assert not of(api.Send, d.end(first, R.CANCELLED) + d.run(0.25))
    assert [send.request for send in of(api.Send, d.run(0.2))] == [second]
    assert not d.controller.attempts.key_queues.blocks


def test_a_request_that_may_have_come_first_is_refused_and_the_other_waits_for_that():
    d = Driver(classes=(replace(LOOKUP, repeat=api.Repeat.UNSAFE, ordered=True),), order_gap=0.02)
    both = [api.Request(at, 0, key=7, ttl=4.0, work=0.2, order_unknown=at == 902) for at in (901, 902)]
    actions = d.give(*both)
    assert [type(a) for a in actions] == [api.Reject] and actions[0].request == 902
    assert not of(api.Send, d.run(0.5))
    d.give(api.AnswerSent(902, 7, 0.1))
    assert [send.request for send in of(api.Send, d.run(0.2))] == [901]


def test_a_lost_answer_is_asked_for_again_within_the_aim_at_any_pace():
    """Where aims are scaled down, a fixed least time before a cut was longer than the aim."""
    for scale in (1.0, 0.3):
        d = Driver(classes=(replace(LOOKUP, aim=scale, deadline=5 * scale),))
        for _ in range(60):
            send = of(api.Send, d.ask(work=0.1 * scale)[1])[0]
            d.run(0.1 * scale)
            d.end(send, work=0.1 * scale)
        lost = of(api.Send, d.ask(work=0.1 * scale)[1])[0]
        cuts = [action for action in d.run(0.75 * scale) if isinstance(action, api.Cancel)]
        assert [cut.request for cut in cuts] == [lost.request]


def test_rests_are_capped_when_all_fail():
    d = Driver(engines=5)
    for group in range(60):
        for send in of(api.Send, d.ask(tables=float(group))[1]):
            d.end(send, R.ERROR)
    assert sum(e.health.open_until > d.now for e in d.controller.engines.values()) <= 2


def test_silent_engine_is_cut_and_its_work_moved():
    d = Driver(engines=3)
    hung = of(api.Send, d.ask(tables=1.0)[1])[0]
    cut = []
    for step in range(40):
        d.now += 0.1
        _, actions = d.ask(tables=float(step % 5))
        for send in of(api.Send, actions):
            if send.engine != hung.engine:
                d.end(send)
        cut += of(api.Cancel, d.run(0.0))
    assert (hung.request, 0) in [(c.request, c.attempt) for c in cut]
    moved = of(api.Send, d.end(hung, R.CANCELLED))
    assert all(s.engine != hung.engine for s in moved)


def test_memory_is_granted_only_where_heeded():
    for heeded in (True, False):
        d = Driver(memory_heeded=heeded)
        d.ask(1, memory=1000.0)
        (terms,) = [a for _, a in d.log if isinstance(a, api.Terms)]
        assert (terms.memory_mb > 0) is heeded


def test_the_line_is_bounded():
    d = Driver(entries=(api.EngineEntry(1, state=api.State.DRAINING),))
    refused = sum(len(of(api.Reject, d.ask()[1])) for _ in range(1000))
    assert (
        refused + len(d.controller.scheduler.waiting) == 1000
        and 0 < len(d.controller.scheduler.waiting) <= 500
    )


def test_short_answers_do_not_hide_pressure():
    slow = DecayingMean(5.0)
    for step in range(4):
        slow.add(step * 0.1, 4.0, 1.0)
        for _ in range(6):
            slow.add(step * 0.1, 1.0, 0.02)
    assert slow.mean(0.4, 1.0, 1.0) > 2.0


def test_over_share_tenant_is_worth_little():
    d = Driver(tenants=(api.TenantSpec("a", 2.0), api.TenantSpec("b", 100.0)), over_share_worth=0.1)
    worths = [d.controller.attempts.pending[d.ask(tenant=0)[0]].worth for _ in range(6)]
    assert 1.0 in worths and worths[-1] == pytest.approx(0.1)


def test_estimates_that_scatter_and_lie_are_drawn_towards_what_was_needed():
    random, estimate, plain, learned = Random(5), EstimateCorrection(1.0, MAX_RATIO), [], []
    for number in range(400):
        needed = random.lognormvariate(0.0, 0.5)
        told = 3.0 * needed * random.lognormvariate(0.0, 1.2)
        if number >= 100:
            plain.append(abs(log(told / 3.0 / needed)))
            learned.append(abs(log(estimate.expect(told) / needed)))
        estimate.learn(told, needed)
    assert sum(learned) < 0.6 * sum(plain)
    fresh = EstimateCorrection(1.0, MAX_RATIO)
    assert fresh.expect(2.0) == pytest.approx(2.0, rel=0.5)  # nothing learned yet: as told


def test_one_absurd_estimate_does_not_move_the_ranks():
    d = Driver()
    d.ask(1, work=3.0)
    before = d.controller.attempts.pending[d.ask(0, work=0.05)[0]].rank
    d.ask(1, work=100000.0), d.ask(0, work=1e-6)
    assert d.controller.attempts.pending[d.ask(0, work=0.05)[0]].rank == before > 0


def test_cuts_wait_longer_where_run_times_scatter_and_at_each_try():
    d = Driver()
    d.ask(1, work=3.0)
    attempt = next(iter(d.controller.attempts.pending.values())).attempts[0]
    first = d.controller.attempts.overdue_after(attempt)
    d.controller.context.classes[1].run_time.scatter.value = 1.0
    scattered = d.controller.attempts.overdue_after(attempt)
    attempt.index = 1
    assert first < scattered and d.controller.attempts.overdue_after(attempt) == pytest.approx(2 * scattered)


def test_a_pace_that_shows_a_bad_plan_is_cut_before_it_is_overdue():
    d = Driver(progress=0.5)
    number, _ = d.ask(1, work=3.0)
    attempt = d.controller.attempts.pending[number].attempts[0]
    d.run(0.7)
    assert not d.give(api.Note(number, 0, attempt.entry.engine, api.NoteKind.PROGRESS, 0.5))
    assert of(api.Cancel, d.give(api.Note(number, 0, attempt.entry.engine, api.NoteKind.PROGRESS, 0.01)))


def test_low_worth_per_work_finds_less_room_only_as_the_fleet_fills():
    d = Driver(engines=4, gateways=100)
    d.controller.load.start_pass()
    quiet = d.controller.load.thread_limits
    for _ in range(3):
        for number in range(1, 5):
            report(d, number, cpu=1.0)
    d.controller.load.start_pass()
    full = d.controller.load.thread_limits
    assert quiet[0] == quiet[1] == quiet[2] and full[0] < full[1] < full[2] < full[3] == quiet[3]


def test_past_one_thread_a_core_the_least_loaded_is_taken():
    d = Driver(engines=3, gateways=100)
    home = d.controller.scheduler.preferred_engines(d.controller.attempts.pending[d.ask(tables=2.0)[0]])[
        0
    ].entry.engine
    for number in (1, 2, 3):
        report(d, number, cpu=0.85 if number == home else 0.3)
    assert of(api.Send, d.ask(tables=2.0)[1])[0].engine != home


def test_loads_keep_off_their_readers_homes_and_run_at_no_low_priority():
    load = replace(REPORT, repeat=api.Repeat.UNSAFE, load=True, worth=0.1)
    homes, used, priorities = set(), set(), set()
    for seed in range(30):
        d = Driver(engines=9, seed=seed, gateways=100, classes=(replace(LOOKUP, yields=True), load))
        homes |= {s.engine for s in of(api.Send, d.ask(0, tables=4.0, work=0.05)[1])}
        number, actions = d.ask(1, tables=4.0, work=3.0)
        used |= {s.engine for s in of(api.Send, actions)}
        priorities |= {a.priority for _, a in d.log if isinstance(a, api.Terms) and a.request == number}
    assert len(homes) == 3 and len(used) > 3 and not homes & used
    assert min(priorities) >= 2


@pytest.mark.parametrize("gateways", [1, 60, 300])
def test_a_share_under_one_request_fills_up_and_an_excess_still_shows(gateways):
    """The own share of a second is under one request: none may count as over its share for ever."""
    shares = {1.0: [], 4.0: []}
    for excess, inside in shares.items():
        for seed in range(20):
            tenants = (api.TenantSpec("a", 30.0),)
            d = Driver(seed=seed, gateways=gateways, tenants=tenants, over_share_worth=0.0)
            step = gateways / (30.0 * excess)
            for _ in range(200):
                d.controller.context.now += step
                inside.append(d.controller.admission.worth_factor(0))
    assert sum(shares[1.0]) / len(shares[1.0]) > 0.9
    assert sum(shares[4.0]) / len(shares[4.0]) < 0.45


@pytest.mark.parametrize("gateways", [1, 60, 300])
def test_a_cold_engine_is_not_pushed_over_by_all_gateways_together(gateways):
    """Gateways that learn of a start in the same tick, heavy-tailed work; every window's sum is checked."""
    sent, works, most = [], {}, 3.0 * 0.3 * 8 * 0.8 * 0.85 * 2.0
    for seed in range(gateways):
        entries = (api.EngineEntry(1, started=100.0),)
        d = Driver(entries=entries, seed=seed, gateways=gateways, fall=2.0, fall_multiple=3.0, warm_up=14.0)
        random = Random(seed)
        d.now += random.random() * gateways / 100.0
        while d.now < 104.0:
            work = random.lognormvariate(-2.0, 1.3)
            number, actions = d.ask(work=work, tables=1.0)
            works[number] = work
            for send in of(api.Send, actions):
                sent.append((d.now, works[send.request]))
                d.end(send, work=works[send.request])
            d.now += random.expovariate(100.0 / gateways)
    assert sent
    for start, _ in sent:
        ramp = 0.3 + 0.7 * ((start + 2.0 - 100.0) / 14.0) ** 2
        window = sum(work for at, work in sent if start <= at < start + 2.0)
        assert window <= most * ramp / 0.3, f"{window:.1f} in the window from {start:.2f}"


def test_a_report_shows_the_siblings_and_own_attempts_count_once():
    d = Driver(engines=3, gateways=200)
    engine = d.controller.engines[1]
    assert d.controller.load.engine_load(engine) < 0.5  # one own query there is no two hundred
    report(d, 1, cpu=1.0)
    busy = d.controller.load.engine_load(engine)
    assert busy > 1.5 and d.controller.load.engine_load(d.controller.engines[2]) < busy
    alone = Driver(engines=3, gateways=1)
    report(alone, 1, cpu=1.0)
    assert alone.controller.load.engine_load(alone.controller.engines[1]) == 0.0


def test_work_looks_before_it_is_sent_and_a_silent_engine_is_passed_by():
    d = Driver(engines=4, gateways=100, may_probe=True)
    number, actions = d.ask(1, work=3.0, tables=1.0)
    (probe,) = of(api.Probe, actions)
    assert not of(api.Send, actions)
    later = d.run(0.11)  # no answer: the next engine is asked
    assert [p.engine for p in of(api.Probe, later)] != [probe.engine]
    (second,) = of(api.Probe, later)
    sent = of(api.Send, d.give(api.ProbeResult(second.engine, R.OK, report=(0.0, 0.2, 0.0, 0.1))))
    assert [(s.request, s.engine) for s in sent] == [(number, second.engine)]


@pytest.mark.parametrize("price,least,most", [(0.0, 50, 1.3), (0.011, 50, 1.3), (0.08, 0, 0.18)])
def test_probes_are_rationed_by_requests_and_by_what_they_cost(price, least, most):
    d = Driver(engines=40, gateways=300, may_probe=True, probe_price=price)
    for engine in d.controller.engines.values():
        engine.health.on_probation = True  # after a bad sign each is looked at, whatever it costs
    for group in range(100):
        d.now += 0.5
        for probe in of(api.Probe, d.ask(1, work=3.0, tables=float(group))[1]):
            d.give(api.ProbeResult(probe.engine, R.OK, report=(0.0, 1.0, 0.0, 0.1)))
    assert least < len([a for _, a in d.log if isinstance(a, api.Probe)]) <= 100 * most + 4


@pytest.mark.parametrize("price,looks", [(0.011, 1), (0.08, 0)])
def test_work_looks_before_it_is_sent_only_where_each_can_pay_for_a_look(price, looks):
    d = Driver(engines=4, gateways=40, may_probe=True, probe_price=price)
    actions = d.ask(1, work=3.0, tables=1.0)[1]
    assert (len(of(api.Probe, actions)), len(of(api.Send, actions))) == (looks, 1 - looks)


def test_a_gap_in_the_own_clock_is_no_ones_silence():
    d = Driver(engines=3)
    send = of(api.Send, d.ask(1, work=1.0, tables=1.0)[1])[0]
    d.now += 3.0
    d.timers.clear()
    actions = d.give(api.Timer(0), api.Outcome(send.request, 0, send.engine, R.OK, 0.4, True, 1.0, 50.0))
    assert not of(api.Cancel, actions) and not of(api.Log, actions)
    assert all(not e.health.on_probation for e in d.controller.engines.values())


def test_after_gaps_the_last_answer_goes_out_earlier():
    d = Driver(engines=1)
    d.ask(1)
    d.now += 1.5
    d.timers.clear()
    d.give(api.Timer(0))
    number, _ = d.ask(ttl=4.0)
    asked = d.now
    d.run(5.0)
    (end,) = [t for t, a in d.log if isinstance(a, api.Reject) and a.request == number]
    assert end < asked + 4.0 - 1.0


def test_a_quiet_gateway_sets_no_timers():
    d = Driver(engines=40, gateways=300)
    send = of(api.Send, d.ask()[1])[0]
    d.end(send)
    d.run(1.0)
    assert not d.timers and not d.controller.attempts.pending


def test_work_for_a_request_does_not_grow_with_the_fleet():
    looked = []
    for engines in (10, 400):
        d = Driver(engines=engines, gateways=300)
        for number in range(1, engines + 1):
            report(d, number, cpu=1.0)
        count, load = [], d.controller.load.engine_load
        d.controller.load.engine_load = lambda engine, count=count, load=load: (
            count.append(engine) or load(engine)
        )
        d.ask(1, work=3.0)
        looked.append(len(count))
    assert 0 < looked[0] == looked[1] < 10


def test_unknown_things_and_absurd_numbers_are_ignored():
    d = Driver()
    assert not d.give(
        api.Outcome(77, 0, 1, R.OK),
        api.ClientGone(88),
        api.Note(99, 0, 1, api.NoteKind.SPILLS),
        api.ProbeResult(55, R.OK),
        api.Started(44, 0, 1),
        api.PeerMessage(3, b"x"),
    )
    nan, inf = float("nan"), float("inf")
    assert of(api.Send, d.give(api.Request(5000, 0, ttl=4.0, work=nan, memory_mb=inf)))
    assert of(api.Send, d.give(api.Request(5001, 0, ttl=4.0, work=-3.0, memory_mb=-1.0)))


def test_failed_subscription_is_asked_again_with_back_off():
    d = Driver(discovery_push=False)
    assert any(isinstance(a, api.Subscribe) for _, a in d.log)
    d.give(api.EngineList(failed=True))
    assert len(of(api.Subscribe, d.run(2.0))) == 1


@pytest.mark.parametrize("key, value", [("gateways", 0), ("warm_up", float("nan")), ("drain_grace", -1.0)])
def test_settings_that_make_no_sense_name_the_key(key, value):
    with pytest.raises(api.SettingsError, match=key):
        Driver(**{key: value})


SCRIPT = """
import sys; sys.path.insert(0, 'tests')
from helpers import Driver
d = Driver(engines=5, seed=7)
for i in range(300):
    d.now += 0.01
    _, actions = d.ask(i % 7 == 0, tables=float(i % 13), work=0.1 + i % 5)
    d.run(0.02)
    for a in actions:
        if type(a).__name__ == 'Send' and i % 3: d.end(a)
print(d.log)
"""


def test_same_actions_in_another_process_with_another_hash_seed():
    outs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": s, "PYTHONPATH": "."},
        ).stdout
        for s in ("1", "2")
    }
    assert len(outs) == 1 and "Send" in outs.pop()


def test_gateways_hosted_together_share_nothing():
    alone, pair = Driver(seed=3), (Driver(seed=3), Driver(seed=4))
    for i in range(50):
        alone.ask(tables=float(i))
        pair[0].ask(tables=float(i))
        for send in of(api.Send, pair[1].ask(tables=float(i))[1]):
            pair[1].end(send, R.ERROR)
    assert alone.log == pair[0].log
    assert isinstance(pair[0].controller, AdmissionController)


def test_a_cold_engines_budget_follows_the_size_of_the_fleet():
    def sent(size):
        found = 0
        for seed in range(20):
            entries = (api.EngineEntry(1, started=100.0),)
            d = Driver(entries=entries, seed=seed, gateways=40, fall=2.0, fall_multiple=3.0, warm_up=14.0)
            d.give(api.FleetSize(size))
            while d.now < 104.0:
                _, actions = d.ask(work=0.05, tables=1.0)
                for send in of(api.Send, actions):
                    found += 1
                    d.end(send, work=0.05)
                d.now += 0.02
        return found

    few, many = sent(40), sent(10)
    assert 10 < 2 * few < many


def test_ended_requests_leave_nothing_for_the_collector():
    """Each was a cycle with its attempts: on a soak they were never collected."""
    d = Driver()
    sends = [of(api.Send, d.ask()[1])[0] for _ in range(5)]
    gc.collect()
    gc.disable()
    try:
        gc.set_debug(gc.DEBUG_SAVEALL)
        d.end(sends[0])
        again = of(api.Send, d.end(sends[1], api.Result.RESET))[0]
        for send, attempt in [(again, 1), *((send, 0) for send in sends[2:])]:
            d.give(api.ClientGone(send.request))
            d.end(send, api.Result.CANCELLED, attempt=attempt)
        gc.collect()
        assert not d.controller.attempts.pending and not [
            one for one in gc.garbage if isinstance(one, PendingRequest)
        ]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


@pytest.mark.parametrize("group,answer", [("all", api.Reject), ("cell", api.Fail)])
def test_what_may_not_run_again_any_more_is_answered_at_once(group, answer):
    """Past its window of repeats it was held until the deadline neared."""
    keyed = api.ClassSpec(
        "post", aim=3.0, deadline=20.0, repeat=api.Repeat.KEYED, group=group, repeat_window=0.5
    )
    d = Driver(entries=(api.EngineEntry(1, cell=1), api.EngineEntry(2, cell=2)), classes=(keyed,))
    _, actions = d.ask()
    (send,) = of(api.Send, actions)
    d.give(
        api.EngineList(
            (
                api.EngineEntry(1, cell=1, state=api.State.DRAINING),
                api.EngineEntry(2, cell=2, state=api.State.DRAINING),
            )
        )
    )
    assert not of(answer, d.end(send, api.Result.RESET))
    done = d.run(0.6)
    assert of(answer, done) and not of(api.Send, done)


def test_own_load_alone_is_no_reason_to_refuse():
    """Without reports one that saw several times the mean took all engines to be as full as it was busy."""
    d = Driver(engines=30, gateways=200)
    for _ in range(6):
        assert of(api.Send, d.ask(1, work=9.0)[1])
    d.run(3.0)
    assert of(api.Send, d.ask()[1])


@pytest.mark.parametrize(
    "how,work,looks", [("probe", 9.0, True), ("probe", 0.1, False), ("answers", 9.0, False)]
)
def test_long_work_looks_first_where_no_answer_tells_of_load(how, work, looks):
    """Without a look long work went wherever the tables lay, and engines that others filled stayed full."""
    d = Driver(engines=4, gateways=100, may_probe=True, probe_price=0.08, report_how=how)
    d.ask(work=0.01)
    assert bool(of(api.Probe, d.ask(1, work=work)[1])) is looks
