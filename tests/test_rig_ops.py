"""The operations harness passes a short run of the application, and reports violated guarantees."""

import asyncio
import json
from collections import Counter
from types import SimpleNamespace

import pytest

from applevale.discovery.endpoints import parse_instance_id
from applevale.fakes.client_pool import SentRequest
from applevale.fakes.engine import AttemptArrival
from applevale.harness import ops
from applevale.harness.ops import environment, script
from applevale.harness.ops.evaluation import (
    MAX_CUT_REQUESTS,
    Observations,
    arrivals_between,
    cut_requests,
)
from applevale.harness.request_rules import count_violations


def test_guarantees_hold_through_ejection_drain_and_upgrade():
    result = asyncio.run(ops.run(seed=5, seconds=6.0))
    assert result["broken"] == [] and result["ok"], json.dumps(result)
    assert result["served"] > 0 and result["second_served"] > 0 and result["after_enable"] > 0


def test_a_process_that_never_becomes_ready_is_reported(monkeypatch):
    async def never_ready(address, timeout):
        return False

    monkeypatch.setattr(script, "wait_until_ready", never_ready)
    result = asyncio.run(ops.run(seed=5, seconds=6.0))
    reported = {"first_ready", "second_ready_in_6s", "undrained_in_2s"}
    assert not result["ok"] and reported <= set(result["broken"])


def test_no_process_is_left_when_the_harness_fails(monkeypatch):
    started = []

    class RecordedProcess(environment.ManagedProcess):
        async def start(self, *entry_point, env=None):
            await super().start(*entry_point, env=env)
            started.append(self.process)

    def fail(address, timeout):
        raise RuntimeError("planted")

    monkeypatch.setattr(environment, "ManagedProcess", RecordedProcess)
    monkeypatch.setattr(script, "wait_until_ready", fail)
    with pytest.raises(RuntimeError, match="planted"):
        asyncio.run(ops.run(seed=5, seconds=6.0))
    assert len(started) == 1 and started[0].returncode is not None


class EnabledEngine:
    """An engine that receives an attempt when it is enabled.

    `now` holds the time of a clock that all engines share; enabling an engine advances it by 2 s.
    """

    def __init__(self, now):
        self.now = now
        self.arrivals = []

    def clock(self):
        return self.now[0]

    def enable(self):
        self.now[0] += 1.0
        self.arrivals.append(AttemptArrival(self.now[0], b"1", b"lookup"))
        self.now[0] += 1.0


def test_an_engine_may_receive_work_before_the_other_one_is_enabled(monkeypatch):
    now = [100.0]
    engines = [EnabledEngine(now) for _ in range(3)]

    async def enable(admin_address, engine_id):
        engines[parse_instance_id(engine_id) - 1].enable()

    async def enable_engines():
        scenario = script.OperationsScenario(SimpleNamespace(engines=engines, second_admin=""), 0.0)
        await scenario._enable_engines()
        return scenario.observed

    monkeypatch.setattr(script, "_enable", enable)
    monkeypatch.setattr(script, "REENABLE_TIMEOUT_SECONDS", 0.0)
    observed = asyncio.run(enable_engines())
    first, late = engines[script.EJECTED].arrivals, engines[script.LATE_EJECTED].arrivals
    assert arrivals_between(first, 99.0, observed.enabled_at) == 0
    assert arrivals_between(late, 99.0, observed.late_enabled_at) == 0
    assert arrivals_between(first, observed.enabled_at, 200.0) == 1
    assert arrivals_between(late, observed.late_enabled_at, 200.0) == 1
    early = AttemptArrival(99.5, b"2", b"lookup")
    assert arrivals_between([early, *first], 99.0, observed.enabled_at) == 1


def requests_cut_at(*times):
    """Return one request for each time at which its connection was cut; 0: it was not cut."""
    return [
        SentRequest(str(number), "lookup", 0, 1.0, 4.0, False, disconnected_at=at)
        for number, at in enumerate(times)
    ]


def test_cut_requests_are_counted_at_any_time_of_the_clock():
    assert cut_requests(requests_cut_at(0.0, 0.0)) == 0
    assert cut_requests(requests_cut_at(0.25, 0.0, 70_000.5)) == 2


@pytest.mark.parametrize("extra", (0, 1))
def test_an_upgrade_may_cut_two_requests_but_not_three(extra):
    times = [70_000.0 + number for number in range(MAX_CUT_REQUESTS + extra)]
    observed = Observations(cut_in_upgrade=cut_requests(requests_cut_at(*times)))
    assert MAX_CUT_REQUESTS == 2
    assert observed.checks()["cut_at_most_2"] is (extra == 0)


def test_too_many_cuts_are_reported_also_near_time_zero():
    observed = Observations(cut_in_upgrade=cut_requests(requests_cut_at(0.1, 0.2, 0.3, 0.4)))
    assert not observed.checks()["cut_at_most_2"]


class RecordedEngine:
    """An engine that received these requests, one per second from time 0."""

    def __init__(self, *request_ids):
        self.arrivals = [
            AttemptArrival(float(at), request_id.encode(), b"load")
            for at, request_id in enumerate(request_ids)
        ]


class RecordedClients:
    """Clients that sent these requests, each an id and a time, with one order key."""

    def __init__(self, *sent):
        self.sent_requests = [
            SentRequest(request_id, "load", 7, at, at + 3.0, False, ["served"]) for request_id, at in sent
        ]

    def stats(self):
        return Counter()


def test_the_order_of_a_key_is_checked_within_one_process_but_not_across_two():
    swapped = RecordedEngine("b", "a", "c")
    clients = RecordedClients(("a", 1.0), ("b", 2.0), ("c", 9.0))
    assert count_violations(clients, [swapped])["order_breaks"] == 1
    assert count_violations(clients, [swapped], (5.0, 6.0))["order_breaks"] == 1
    # The request b was sent while both processes ran, so either of them may have accepted it.
    assert count_violations(clients, [swapped], (1.5, 6.0))["order_breaks"] == 0
    # These were all sent after the overlap, to the second process, which keeps their order.
    sent_after_overlap = RecordedClients(("a", 7.0), ("b", 8.0), ("c", 9.0))
    assert count_violations(sent_after_overlap, [swapped], (1.5, 6.0))["order_breaks"] == 1
