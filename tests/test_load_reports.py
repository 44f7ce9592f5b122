"""Load reports between instances: values, traffic, malformed datagrams, and what decisions make of them."""

import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from policy_driver import PolicyDriver, actions_of

from applevale import api
from applevale.config.model import ConfigError
from applevale.config.sections import read_peers
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines.pool import EnginePool
from applevale.gossip.exchange import LoadReportReceiver, LoadReportSender
from applevale.gossip.load_report_codec import HEADER, MAX_DATAGRAM_BYTES, LoadReportError, short_engine_id
from applevale.gossip.load_reports import (
    MAX_BUDGET_BYTES,
    MIN_CHARGED_BYTES,
    REFRESH_INTERVAL_SECONDS,
    LoadReports,
)
from applevale.net.addresses import PeerAddresses
from applevale.net.datagrams import DatagramSocket
from applevale.observability.counters import Counters

COLUMNS = ("active", "cpu", "x1")


def load_reports(engines=(1, 2), peers=39, price=0.001, columns=COLUMNS):
    reports = LoadReports(columns, peers, price)
    reports.set_engines(engines)
    return reports


def report_datagram(reports, now, engine, report):
    """Return the datagram that an engine's report leads to, if any."""
    reports.record_report(now, engine, report)
    return reports.next_datagram()


def dispatch_datagram(reports, engine, threads):
    """Return the datagram that an attempt sent to an engine leads to, if any."""
    reports.record_dispatch(engine, threads)
    return reports.next_datagram()


def test_reports_and_dispatches_share_a_datagram_and_arrive_as_they_were_sent():
    here = load_reports()
    there = load_reports()
    here.record_report(5.0, 1, (7.0, 0.5, 0.25))
    here.record_dispatch(2, 3)
    here.record_dispatch(2, 1)
    assert here.has_pending()
    events = there.receive(5.0, here.next_datagram())
    assert events == [api.PeerLoadReport(2, (), 4), api.PeerLoadReport(1, (7.0, -1.0, -1.0))]
    assert not here.has_pending() and here.next_datagram() is None


def test_a_datagram_stays_within_its_bound_whatever_is_pending():
    reports = load_reports(range(1, 400), price=0.0)
    for engine in range(1, 400):
        reports.record_dispatch(engine, 300)
        reports.record_report(0.0, engine, (1e9, 0.0, 0.0))
    data = reports.next_datagram()
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert not reports.has_pending()
    assert len(load_reports(range(1, 400)).receive(0.0, data)) > 15


def test_without_the_number_of_queries_utilization_is_sent_and_unknown_figures_stay_unknown():
    here, there = (load_reports(columns=("cpu", "disk_busy", "avg_ms")) for _ in range(2))
    assert there.receive(5.0, report_datagram(here, 5.0, 1, (0.5, -1.0, 12.0))) == [
        api.PeerLoadReport(1, (0.5, -1.0, -1.0))
    ]


def test_a_peers_report_is_repeated_only_when_it_changed_or_is_old():
    here = load_reports()
    there = load_reports()
    there.receive(5.0, report_datagram(here, 5.0, 1, (8.0, 0.5, 0.5)))
    for reports in (here, there):
        assert report_datagram(reports, 5.2, 1, (9.0, 0.5, 0.5)) is None  # nearly the same figure
        assert report_datagram(reports, 5.05, 1, (80.0, 0.5, 0.5)) is None  # too soon
        assert report_datagram(reports, 5.2, 2, (8.0, 0.5, 0.5)) is not None  # of another engine
    assert report_datagram(here, 5.2, 1, (20.0, 0.5, 0.5)) is not None
    assert report_datagram(there, 5.0 + REFRESH_INTERVAL_SECONDS, 1, (8.0, 0.5, 0.5)) is not None


@pytest.mark.parametrize("price", [0.0, 0.01, 0.1])
def test_load_reports_cost_no_more_than_their_share(price):
    reports = load_reports(price=price)
    charged = 0
    requests = 2_000
    for number in range(requests):
        reports.record_dispatch(1, 1)
        reports.record_report(float(number), 1, (number % 90, 0.0, 0.0))
        data = reports.next_datagram()
        if data:
            charged += max(MIN_CHARGED_BYTES, len(data))
    earned = requests * (0.03 / price * 256 / 39 if price else 2 * MIN_CHARGED_BYTES)
    assert 0 < charged <= MAX_BUDGET_BYTES + earned


def test_the_share_of_dispatches_that_is_sent_stands_for_all_of_them():
    here = load_reports(price=0.05)
    there = load_reports()
    dispatch_count = 3_000
    received_threads = 0
    for _ in range(dispatch_count):
        if here.record_dispatch(1, 2):
            here.budget = MAX_BUDGET_BYTES
            received_threads += sum(event.threads for event in there.receive(0.0, here.next_datagram()))
    assert 0.1 < here.dispatch_share < 0.5
    assert received_threads == pytest.approx(2 * dispatch_count, rel=0.1)


def test_a_mark_that_two_engines_share_counts_for_both_and_an_unlisted_one_for_none():
    same_mark = 1 ^ 0x00070007
    assert short_engine_id(same_mark) == short_engine_id(1)
    reports = load_reports((1, same_mark))
    dispatch = dispatch_datagram(reports, 1, 2)
    assert [event.engine for event in reports.receive(0.0, dispatch)] == [1, same_mark]
    report = report_datagram(reports, 0.0, 1, (5.0, 0.0, 0.0))
    reports.set_engines((same_mark,))
    assert [event.engine for event in reports.receive(0.0, dispatch)] == [same_mark]
    assert not reports.latest_reports
    reports.set_engines(())
    assert reports.receive(0.0, dispatch) == []
    assert reports.receive(0.0, report) == []
    assert not reports.latest_reports


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.binary(max_size=300)
    | st.builds(lambda n, rest: HEADER.pack(2, n) + rest, st.integers(0, 90), st.binary(max_size=300))
)
def test_garbage_is_rejected_or_bounded(data):
    reports = load_reports()
    try:
        events = reports.receive(1.0, data)
    except LoadReportError:
        assert not reports.latest_reports
        return
    assert all(event.engine in (1, 2) and 0 <= event.threads <= 255 for event in events)
    assert all(0 <= event.report[0] <= 254 or event.report[0] == -1 for event in events if event.report)


def controlled(**more):
    settings = dict(engines=4, gateways=40, report_columns=("active",), probe_price=0.08, may_probe=True)
    return PolicyDriver(**(settings | more))


def test_a_peers_report_counts_like_an_own_one_and_is_ignored_for_an_unknown_engine():
    driver = controlled()
    driver.handle(api.PeerLoadReport(1, (60.0,)), api.PeerLoadReport(99, (60.0,), 3))
    loads = [driver.controller.load.engine_load(engine) for engine in driver.controller.engines.values()]
    assert loads[0] > 1.5 * max(loads[1:]) and len(driver.controller.engines) == 4


def test_dispatches_of_peers_count_before_any_report_shows_them():
    """All instances see the same idle engine, and would fill it before its next report."""
    driver = controlled()
    driver.handle(
        *(api.PeerLoadReport(number, (16.0,)) for number in (2, 3, 4)), api.PeerLoadReport(1, (0.0,))
    )
    before = driver.controller.load.engine_load(driver.controller.engines[1])
    driver.handle(*(api.PeerLoadReport(1, (), 1) for _ in range(24)))
    after = driver.controller.load.engine_load(driver.controller.engines[1])
    assert before < 1.0
    assert after > 2.0
    driver.now += 6.0  # reports have shown it since
    driver.handle(api.PeerLoadReport(1, (0.0,)))
    assert driver.controller.load.engine_load(driver.controller.engines[1]) < 1.0


def test_a_new_engine_gets_no_burst_for_the_time_since_its_start():
    """Each of forty instances that learn of it 3 s after its start could send a first request."""
    send_count = 0
    for seed in range(40):
        entry = api.EngineEntry(1, started=97.0)  # 3 s before it is listed
        driver = controlled(entries=(entry,), seed=seed)
        send_count += len(actions_of(api.Send, driver.submit(0, work=0.3, tables=1.0)[1]))
    assert send_count == 0


def test_only_sends_that_attract_peers_are_announced():
    driver = controlled()
    driver.handle(*(api.PeerLoadReport(number, (4.0,)) for number in (1, 2, 3, 4)))
    assert not driver.send_request(0, work=0.1, tables=1.0).announce  # there is room everywhere
    for _ in range(40):
        driver.now += 0.1
        driver.handle(
            api.PeerLoadReport(1, (2.0,)), *(api.PeerLoadReport(number, (24.0,)) for number in (2, 3, 4))
        )
    sends = [actions_of(api.Send, driver.submit(0, work=0.1, tables=float(group))[1]) for group in range(12)]
    assert {send.engine: send.announce for actions in sends for send in actions}[1]


def test_an_even_stream_of_sends_makes_no_engine_look_fuller():
    driver = controlled()
    driver.handle(*(api.PeerLoadReport(number, (8.0,)) for number in (1, 2, 3, 4)))
    before = [driver.controller.load.engine_load(engine) for engine in driver.controller.engines.values()]
    driver.handle(*(api.PeerLoadReport(number, (), 1) for number in (1, 2, 3, 4) for _ in range(20)))
    after = [driver.controller.load.engine_load(engine) for engine in driver.controller.engines.values()]
    assert after == pytest.approx(before, abs=0.2)


def test_a_faulty_peer_adds_no_more_than_the_bound_and_ejects_no_engine():
    driver = controlled()
    for _ in range(50):
        driver.now += 0.02
        driver.handle(*(api.PeerLoadReport(1, (254.0,), 255) for _ in range(20)))
    assert driver.controller.load.engine_load(driver.controller.engines[1]) <= 9.1
    for engine in driver.controller.engines.values():
        assert not engine.health.on_probation and not engine.health.is_open(driver.now)
    assert actions_of(api.Send, driver.submit(1, work=1.0, tables=1.0)[1])


def test_instances_with_the_same_reports_do_not_all_take_the_same_spare_engine():
    taken = set()
    for seed in range(12):
        driver = controlled(engines=6, seed=seed)
        driver.handle(*(api.PeerLoadReport(number, (8.0 + number / 4,)) for number in range(1, 7)))
        taken.add(actions_of(api.Send, driver.submit(0, work=0.1, tables=1.0)[1])[0].engine)
    assert len(taken) > 1


class RecordingController:
    """An admission controller that decides nothing and records its events."""

    def __init__(self):
        self.events = []

    def handle(self, now, events):
        self.events += events
        return []


def free_address():
    """Return an address on which a datagram socket can be bound."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


def test_load_reports_cross_the_socket_and_only_those_of_peers_are_accepted():
    async def main():
        one = free_address()
        two = free_address()
        unknown = free_address()
        controller = RecordingController()
        counters = Counters()
        driver = EventLoopDriver(controller, EnginePool(None, (), 0, counters), counters)
        ours = DatagramSocket(PeerAddresses(one, (one, two), two), 0, Counters())
        theirs = DatagramSocket(PeerAddresses(two, (one, two), one), 1, counters)
        here = LoadReportSender(ours, load_reports(), driver.clock, Counters())
        there = LoadReportSender(theirs, load_reports(), driver.clock, counters)
        LoadReportReceiver(ours, here.reports, driver, Counters())
        LoadReportReceiver(theirs, there.reports, driver, counters)
        ours.start()
        theirs.start()
        here.on_engine_report(1, (7.0, 0.5, 0.25))
        here.on_dispatch(2, 3)
        here.on_dispatch(2, 1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(unknown)
            other.sendto(dispatch_datagram(load_reports(), 1, 9), two)
        ours.sock.sendto(b"garbage", two)
        # Its own datagram comes back from the address that reaches all.
        theirs.sock.sendto(dispatch_datagram(load_reports(), 1, 9), two)
        async with asyncio.timeout(10):
            while counters["news_heard"] < 1 or counters["news_unreadable"] < 2:
                await asyncio.sleep(0)
            driver.submit(api.Timer(5))  # load reports alone do not start a batch
            while not controller.events:
                await asyncio.sleep(0)
        for part in (here, there, ours, theirs):
            part.stop()
        return controller.events

    events = asyncio.run(main())
    assert events == [api.PeerLoadReport(2, (), 4), api.PeerLoadReport(1, (7.0, -1.0, -1.0)), api.Timer(5)]


def test_peers_are_read_from_the_configuration_and_a_bad_address_is_named():
    raw = {
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.1:7946", "127.0.0.2:7946"],
        "peers_all": "127.0.0.9:7946",
    }
    assert read_peers(raw).each[1] == ("127.0.0.2", 7946)
    assert read_peers({}) is None
    with pytest.raises(ConfigError, match=r"peers\[1\]: HOST:PORT"):
        read_peers(raw | {"peers": ["127.0.0.1:7946", "nowhere"]})
    with pytest.raises(ConfigError, match="peers: a list"):
        read_peers(raw | {"peers": "127.0.0.1:7946"})
