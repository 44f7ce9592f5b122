"""The operations harness passes on a short run, and reports what is violated."""

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


def test_ejection_drain_and_upgrade_keep_their_guarantees():
    result = asyncio.run(ops.run(seed=5, seconds=6.0))
    assert result["broken"] == [] and result["ok"], json.dumps(result)
    assert result["served"] > 0 and result["second_served"] > 0 and result["after_enable"] > 0


def test_an_admin_api_that_is_never_ready_is_reported(monkeypatch):
    async def never(address, within):
        return False

    monkeypatch.setattr(script, "until_ready", never)
    result = asyncio.run(ops.run(seed=5, seconds=6.0))
    reported = {"first_ready", "second_ready_in_6s", "undrained_in_2s"}
    assert not result["ok"] and reported <= set(result["broken"])


def test_a_fault_of_the_harness_leaves_no_process_behind(monkeypatch):
    started = []

    class RecordedProcess(environment.ManagedProcess):
        async def start(self, *entry, env=None):
            await super().start(*entry, env=env)
            started.append(self.process)

    def faulty(address, within):
        raise RuntimeError("planted")

    monkeypatch.setattr(environment, "ManagedProcess", RecordedProcess)
    monkeypatch.setattr(script, "until_ready", faulty)
    with pytest.raises(RuntimeError, match="planted"):
        asyncio.run(ops.run(seed=5, seconds=6.0))
    assert len(started) == 1 and started[0].returncode is not None


class EnabledEngine:
    """An engine that receives an attempt once it is enabled, by a clock that each call moves on by 1 s."""

    def __init__(self, now):
        self.now = now
        self.arrivals = []

    def clock(self):
        return self.now[0]

    def enable(self):
        self.now[0] += 1.0
        self.arrivals.append(AttemptArrival(self.now[0], b"1", b"lookup"))
        self.now[0] += 1.0


def test_work_that_reaches_an_engine_before_the_next_one_is_enabled_is_no_violation(monkeypatch):
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
    """Requests that met a closed connection at these times; 0: that did not."""
    return [
        SentRequest(str(number), "lookup", 0, 1.0, 4.0, False, disconnected_at=at)
        for number, at in enumerate(times)
    ]


def test_cut_requests_are_counted_whenever_they_were_cut():
    assert cut_requests(requests_cut_at(0.0, 0.0)) == 0
    assert cut_requests(requests_cut_at(0.25, 0.0, 70_000.5)) == 2


@pytest.mark.parametrize("extra", (0, 1))
def test_two_cut_requests_pass_in_an_upgrade_and_a_third_does_not(extra):
    times = [70_000.0 + number for number in range(MAX_CUT_REQUESTS + extra)]
    observed = Observations(cut_in_upgrade=cut_requests(requests_cut_at(*times)))
    assert MAX_CUT_REQUESTS == 2
    assert observed.checks()["cut_at_most_2"] is (extra == 0)


def test_cuts_in_the_first_moments_of_the_clock_are_still_too_many():
    observed = Observations(cut_in_upgrade=cut_requests(requests_cut_at(0.1, 0.2, 0.3, 0.4)))
    assert not observed.checks()["cut_at_most_2"]


class RecordedEngine:
    """An engine with what reached it, and when."""

    def __init__(self, *request_ids):
        self.arrivals = [
            AttemptArrival(float(at), request_id.encode(), b"load")
            for at, request_id in enumerate(request_ids)
        ]


class RecordedClients:
    """Clients with what they sent: (id, time) of one key."""

    def __init__(self, *sent):
        self.sent = [
            SentRequest(request_id, "load", 7, at, at + 3.0, False, ["served"]) for request_id, at in sent
        ]

    def stats(self):
        return Counter()


def test_a_key_out_of_order_is_reported_but_across_two_processes_no_order_is_guaranteed():
    swapped = RecordedEngine("b", "a", "c")
    assert (
        count_violations(RecordedClients(("a", 1.0), ("b", 2.0), ("c", 9.0)), [swapped])["order_breaks"] == 1
    )
    assert (
        count_violations(RecordedClients(("a", 1.0), ("b", 2.0), ("c", 9.0)), [swapped], (5.0, 6.0))[
            "order_breaks"
        ]
        == 1
    )
    # b was sent while both ran, and may have come to the other one; c goes to the one that is left
    assert (
        count_violations(RecordedClients(("a", 1.0), ("b", 2.0), ("c", 9.0)), [swapped], (1.5, 6.0))[
            "order_breaks"
        ]
        == 0
    )
    late = RecordedClients(("a", 7.0), ("b", 8.0), ("c", 9.0))  # the second alone: it counts again
    assert count_violations(late, [swapped], (1.5, 6.0))["order_breaks"] == 1
