"""Load reports between instances: the values, the traffic, and datagrams that are malformed."""

import asyncio
import socket

import pytest
from helpers import Driver as Clocked
from helpers import of
from hypothesis import given, settings
from hypothesis import strategies as st

from applevale import api
from applevale.config.model import ConfigError
from applevale.config.sections import read_peers
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines.pool import EnginePool
from applevale.gossip.exchange import GossipExchange
from applevale.gossip.load_report_codec import HEADER, MAX_DATAGRAM_BYTES, LoadReportError, engine_mark
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


def report_datagram(one, now, engine, report):
    """The datagram that an engine's report leads to."""
    one.record_report(now, engine, report)
    return one.next_datagram()


def dispatch_datagram(one, engine, threads):
    one.record_dispatch(engine, threads)
    return one.next_datagram()


def test_reports_and_dispatches_share_a_datagram_and_arrive_as_they_were_sent():
    here, there = load_reports(), load_reports()
    here.record_report(5.0, 1, (7.0, 0.5, 0.25))
    here.record_dispatch(2, 3)
    here.record_dispatch(2, 1)
    assert here.has_pending()
    events = there.receive(5.0, here.next_datagram())
    assert events == [api.PeerLoadReport(2, (), 4), api.PeerLoadReport(1, (7.0, -1.0, -1.0))]
    assert not here.has_pending() and here.next_datagram() is None


def test_a_datagram_stays_within_its_bound_whatever_is_pending():
    one = load_reports(range(1, 400), price=0.0)
    for engine in range(1, 400):
        one.record_dispatch(engine, 300)
        one.record_report(0.0, engine, (1e9, 0.0, 0.0))
    data = one.next_datagram()
    assert len(data) <= MAX_DATAGRAM_BYTES and not one.has_pending()
    assert len(load_reports(range(1, 400)).receive(0.0, data)) > 15


def test_without_the_number_of_queries_utilization_is_sent_and_unknown_figures_stay_unknown():
    here, there = (load_reports(columns=("cpu", "disk_busy", "avg_ms")) for _ in range(2))
    assert there.receive(5.0, report_datagram(here, 5.0, 1, (0.5, -1.0, 12.0))) == [
        api.PeerLoadReport(1, (0.5, -1.0, -1.0))
    ]


def test_a_peers_report_is_repeated_only_when_it_changed_or_is_old():
    here, there = load_reports(), load_reports()
    there.receive(5.0, report_datagram(here, 5.0, 1, (8.0, 0.5, 0.5)))
    for one in (here, there):
        assert report_datagram(one, 5.2, 1, (9.0, 0.5, 0.5)) is None  # hardly another figure
        assert report_datagram(one, 5.05, 1, (80.0, 0.5, 0.5)) is None  # too soon
        assert report_datagram(one, 5.2, 2, (8.0, 0.5, 0.5)) is not None  # of another engine
    assert report_datagram(here, 5.2, 1, (20.0, 0.5, 0.5)) is not None
    assert report_datagram(there, 5.0 + REFRESH_INTERVAL_SECONDS, 1, (8.0, 0.5, 0.5)) is not None


@pytest.mark.parametrize("price", [0.0, 0.01, 0.1])
def test_load_reports_cost_no_more_than_their_share(price):
    one, charged, requests = load_reports(price=price), 0, 2_000
    for at in range(requests):
        one.record_dispatch(1, 1)
        one.record_report(at * 1.0, 1, (at % 90, 0.0, 0.0))
        charged += max(MIN_CHARGED_BYTES, len(data)) if (data := one.next_datagram()) else 0
    earned = requests * (0.03 / price * 256 / 39 if price else 2 * MIN_CHARGED_BYTES)
    assert 0 < charged <= MAX_BUDGET_BYTES + earned


def test_the_share_of_dispatches_that_is_sent_stands_for_all_of_them():
    one, there, sends = load_reports(price=0.05), load_reports(), 3_000
    heard = 0
    for _ in range(sends):
        if one.record_dispatch(1, 2):
            one.budget = MAX_BUDGET_BYTES
            heard += sum(event.threads for event in there.receive(0.0, one.next_datagram()))
    assert 0.1 < one.dispatch_share < 0.5 and heard == pytest.approx(2 * sends, rel=0.1)


def test_a_mark_that_two_engines_share_counts_for_both_and_one_off_the_list_for_none():
    twin = 1 ^ 0x00070007
    assert engine_mark(twin) == engine_mark(1)
    one = load_reports((1, twin))
    data = dispatch_datagram(one, 1, 2)
    assert [event.engine for event in one.receive(0.0, data)] == [1, twin]
    report = report_datagram(one, 0.0, 1, (5.0, 0.0, 0.0))
    one.set_engines((twin,))
    assert [event.engine for event in one.receive(0.0, data)] == [twin] and not one.sent_reports
    one.set_engines(())
    assert one.receive(0.0, data) == one.receive(0.0, report) == [] and not one.sent_reports


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.binary(max_size=300)
    | st.builds(lambda n, rest: HEADER.pack(2, n) + rest, st.integers(0, 90), st.binary(max_size=300))
)
def test_garbage_is_rejected_or_bounded(data):
    one = load_reports()
    try:
        events = one.receive(1.0, data)
    except LoadReportError:
        assert not one.sent_reports
        return
    assert all(event.engine in (1, 2) and 0 <= event.threads <= 255 for event in events)
    assert all(0 <= event.report[0] <= 254 or event.report[0] == -1 for event in events if event.report)


def controlled(**more):
    settings = dict(engines=4, gateways=40, report_columns=("active",), probe_price=0.08, may_probe=True)
    return Clocked(**(settings | more))


def test_a_peers_report_counts_like_an_own_one_and_one_of_an_unknown_engine_is_ignored():
    d = controlled()
    d.give(api.PeerLoadReport(1, (60.0,)), api.PeerLoadReport(99, (60.0,), 3))
    loads = [d.controller.load.engine_load(engine) for engine in d.controller.engines.values()]
    assert loads[0] > 1.5 * max(loads[1:]) and len(d.controller.engines) == 4


def test_dispatches_of_peers_count_before_any_report_shows_them():
    """All hear of the same idle engine, and would fill it in the time that its next report takes."""
    d = controlled()
    d.give(*(api.PeerLoadReport(number, (16.0,)) for number in (2, 3, 4)), api.PeerLoadReport(1, (0.0,)))
    before = d.controller.load.engine_load(d.controller.engines[1])
    d.give(*(api.PeerLoadReport(1, (), 1) for _ in range(24)))
    after = d.controller.load.engine_load(d.controller.engines[1])
    assert before < 1.0 < 2.0 < after
    d.now += 6.0  # reports have shown it since
    d.give(api.PeerLoadReport(1, (0.0,)))
    assert d.controller.load.engine_load(d.controller.engines[1]) < 1.0


def test_a_new_engine_is_not_sent_at_once_what_all_had_earned_since_it_started():
    """Forty that hear of it 3 s after its start would each have a first send free."""
    sent = 0
    for seed in range(40):
        entry = api.EngineEntry(1, started=97.0)  # 3 s before the list tells of it
        d = controlled(entries=(entry,), seed=seed)
        sent += len(of(api.Send, d.ask(0, work=0.3, tables=1.0)[1]))
    assert sent == 0


def test_only_sends_that_attract_peers_are_announced():
    d = controlled()
    d.give(*(api.PeerLoadReport(number, (4.0,)) for number in (1, 2, 3, 4)))
    assert not of(api.Send, d.ask(0, work=0.1, tables=1.0)[1])[0].announce  # there is room everywhere
    for _ in range(40):
        d.now += 0.1
        d.give(api.PeerLoadReport(1, (2.0,)), *(api.PeerLoadReport(number, (24.0,)) for number in (2, 3, 4)))
    sends = [of(api.Send, d.ask(0, work=0.1, tables=float(group))[1]) for group in range(12)]
    assert {send.engine: send.announce for one in sends for send in one}[1]


def test_an_even_stream_of_sends_makes_no_engine_look_fuller():
    d = controlled()
    d.give(*(api.PeerLoadReport(number, (8.0,)) for number in (1, 2, 3, 4)))
    before = [d.controller.load.engine_load(engine) for engine in d.controller.engines.values()]
    d.give(*(api.PeerLoadReport(number, (), 1) for number in (1, 2, 3, 4) for _ in range(20)))
    after = [d.controller.load.engine_load(engine) for engine in d.controller.engines.values()]
    assert after == pytest.approx(before, abs=0.2)


def test_a_lying_peer_adds_no_more_than_the_bound_and_ejects_no_engine():
    d = controlled()
    for _ in range(50):
        d.now += 0.02
        d.give(*(api.PeerLoadReport(1, (254.0,), 255) for _ in range(20)))
    assert d.controller.load.engine_load(d.controller.engines[1]) <= 9.1
    assert not any(
        e.health.on_probation or e.health.open_until > d.now for e in d.controller.engines.values()
    )
    assert of(api.Send, d.ask(1, work=1.0, tables=1.0)[1])


def test_instances_with_the_same_reports_do_not_all_take_the_same_spare_engine():
    taken = set()
    for seed in range(12):
        d = controlled(engines=6, seed=seed)
        d.give(*(api.PeerLoadReport(number, (8.0 + number / 4,)) for number in range(1, 7)))
        taken.add(of(api.Send, d.ask(0, work=0.1, tables=1.0)[1])[0].engine)
    assert len(taken) > 1


class Silent:
    """A decision module that decides nothing and keeps its events."""

    def __init__(self):
        self.events = []

    def handle(self, now, events):
        self.events += events
        return []


def free():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


def test_load_reports_cross_the_socket_and_only_peers_are_heard():
    async def main():
        one, two, stranger = free(), free(), free()
        module, counters = Silent(), Counters()
        driver = EventLoopDriver(module, EnginePool(None, (), 0, counters), counters)
        ours = DatagramSocket(PeerAddresses(one, (one, two), two), 0, Counters())
        theirs = DatagramSocket(PeerAddresses(two, (one, two), one), 1, counters)
        here = GossipExchange(ours, load_reports(), driver, Counters())
        there = GossipExchange(theirs, load_reports(), driver, counters)
        ours.start(), theirs.start()
        here.on_engine_report(1, (7.0, 0.5, 0.25))
        here.on_dispatch(2, 3)
        here.on_dispatch(2, 1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(stranger)
            other.sendto(dispatch_datagram(load_reports(), 1, 9), two)
        ours.sock.sendto(b"garbage", two)
        theirs.sock.sendto(
            dispatch_datagram(load_reports(), 1, 9), two
        )  # its own datagram, back from the address that reaches all
        async with asyncio.timeout(10):
            while counters["news_heard"] < 1 or counters["news_unreadable"] < 2:
                await asyncio.sleep(0)
            driver.submit(api.Timer(5))  # load reports alone do not start a batch
            while not module.events:
                await asyncio.sleep(0)
        for part in (here, there, ours, theirs):
            part.stop()
        return module.events

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
