"""Load reports between instances: content, traffic, malformed datagrams, and their effect on the policy."""

import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from policy_driver import PolicyDriver, actions_of
from process import free_datagram_address

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
    """Return the load reports of one instance with the given engine list."""
    reports = LoadReports(columns, peers, price)
    reports.set_engines(engines)
    return reports


def report_datagram(reports, now, engine, report):
    """Record the report of an engine; return the resulting datagram, if any."""
    reports.record_report(now, engine, report)
    return reports.next_datagram()


def dispatch_datagram(reports, engine, threads):
    """Record an attempt sent to an engine; return the resulting datagram, if any."""
    reports.record_dispatch(engine, threads)
    return reports.next_datagram()


def test_reports_and_dispatches_share_a_datagram_and_arrive_as_they_were_sent():
    sender = load_reports()
    receiver = load_reports()
    sender.record_report(5.0, 1, (7.0, 0.5, 0.25))
    sender.record_dispatch(2, 3)
    sender.record_dispatch(2, 1)
    assert sender.has_pending()
    events = receiver.receive(5.0, sender.next_datagram())
    assert events == [api.PeerLoadReport(2, (), 4), api.PeerLoadReport(1, (7.0, -1.0, -1.0))]
    assert not sender.has_pending()
    assert sender.next_datagram() is None


def test_a_datagram_stays_within_its_maximum_size_with_many_engines_pending():
    reports = load_reports(range(1, 400), price=0.0)
    for engine in range(1, 400):
        reports.record_dispatch(engine, 300)
        reports.record_report(0.0, engine, (1e9, 0.0, 0.0))
    data = reports.next_datagram()
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert not reports.has_pending()
    assert len(load_reports(range(1, 400)).receive(0.0, data)) > 15


def test_without_a_query_count_utilization_is_sent_and_unknown_figures_stay_unknown():
    sender = load_reports(columns=("cpu", "disk_busy", "avg_ms"))
    receiver = load_reports(columns=("cpu", "disk_busy", "avg_ms"))
    assert receiver.receive(5.0, report_datagram(sender, 5.0, 1, (0.5, -1.0, 12.0))) == [
        api.PeerLoadReport(1, (0.5, -1.0, -1.0))
    ]


def test_a_report_that_was_sent_or_received_is_repeated_only_if_it_has_changed_or_is_old():
    sender = load_reports()
    receiver = load_reports()
    receiver.receive(5.0, report_datagram(sender, 5.0, 1, (8.0, 0.5, 0.5)))
    for reports in (sender, receiver):
        assert report_datagram(reports, 5.2, 1, (9.0, 0.5, 0.5)) is None  # The change is too small.
        assert report_datagram(reports, 5.05, 1, (80.0, 0.5, 0.5)) is None  # It is too soon.
        assert report_datagram(reports, 5.2, 2, (8.0, 0.5, 0.5)) is not None  # This is another engine.
    assert report_datagram(sender, 5.2, 1, (20.0, 0.5, 0.5)) is not None
    assert report_datagram(receiver, 5.0 + REFRESH_INTERVAL_SECONDS, 1, (8.0, 0.5, 0.5)) is not None


@pytest.mark.parametrize("price", [0.0, 0.01, 0.1])
def test_load_reports_cost_at_most_their_share_of_the_worth_of_requests(price):
    reports = load_reports(price=price)
    charged_bytes = 0
    request_count = 2_000
    for number in range(request_count):
        reports.record_dispatch(1, 1)
        reports.record_report(float(number), 1, (number % 90, 0.0, 0.0))
        data = reports.next_datagram()
        if data:
            charged_bytes += max(MIN_CHARGED_BYTES, len(data))
    earned_bytes = request_count * (0.03 / price * 256 / 39 if price else 2 * MIN_CHARGED_BYTES)
    assert 0 < charged_bytes <= MAX_BUDGET_BYTES + earned_bytes


def test_the_sampled_dispatches_are_scaled_up_to_represent_all():
    sender = load_reports(price=0.05)
    receiver = load_reports()
    dispatch_count = 3_000
    received_threads = 0
    for _ in range(dispatch_count):
        if sender.record_dispatch(1, 2):
            sender.budget = MAX_BUDGET_BYTES
            received_threads += sum(
                event.sent_threads for event in receiver.receive(0.0, sender.next_datagram())
            )
    assert 0.1 < sender.dispatch_share < 0.5
    assert received_threads == pytest.approx(2 * dispatch_count, rel=0.1)


def test_a_short_id_of_two_engines_counts_for_both_and_that_of_an_unlisted_engine_for_none():
    same_short_id = 1 ^ 0x00070007
    assert short_engine_id(same_short_id) == short_engine_id(1)
    reports = load_reports((1, same_short_id))
    dispatch = dispatch_datagram(reports, 1, 2)
    assert [event.engine_id for event in reports.receive(0.0, dispatch)] == [1, same_short_id]
    report = report_datagram(reports, 0.0, 1, (5.0, 0.0, 0.0))
    reports.set_engines((same_short_id,))
    assert [event.engine_id for event in reports.receive(0.0, dispatch)] == [same_short_id]
    assert not reports.latest_reports
    reports.set_engines(())
    assert reports.receive(0.0, dispatch) == []
    assert reports.receive(0.0, report) == []
    assert not reports.latest_reports


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.binary(max_size=300)
    | st.builds(
        lambda dispatch_count, body: HEADER.pack(2, dispatch_count) + body,
        st.integers(0, 90),
        st.binary(max_size=300),
    )
)
def test_random_datagrams_are_rejected_or_have_bounded_values(data):
    reports = load_reports()
    try:
        events = reports.receive(1.0, data)
    except LoadReportError:
        assert not reports.latest_reports
        return
    assert all(event.engine_id in (1, 2) and 0 <= event.sent_threads <= 255 for event in events)
    assert all(
        0 <= event.load_report[0] <= 254 or event.load_report[0] == -1
        for event in events
        if event.load_report
    )


def policy_driver(**changes):
    """Return a driver of the policy of one of 40 instances that share 4 engines."""
    settings = dict(engines=4, gateways=40, report_columns=("active",), probe_price=0.08, may_probe=True)
    return PolicyDriver(**(settings | changes))


def engine_loads(driver):
    """Return the load of each engine as the policy estimates it."""
    return [driver.controller.load.engine_load(engine) for engine in driver.controller.engines.values()]


def test_a_report_from_a_peer_counts_like_an_own_one_and_is_ignored_for_an_unknown_engine():
    driver = policy_driver()
    driver.handle(api.PeerLoadReport(1, (60.0,)), api.PeerLoadReport(99, (60.0,), 3))
    loads = engine_loads(driver)
    assert loads[0] > 1.5 * max(loads[1:])
    assert len(driver.controller.engines) == 4


def test_dispatches_of_peers_count_before_any_report_shows_them():
    """Otherwise all instances that see the same idle engine would overload it before its next report."""
    driver = policy_driver()
    driver.handle(
        *(api.PeerLoadReport(number, (16.0,)) for number in (2, 3, 4)), api.PeerLoadReport(1, (0.0,))
    )
    before = driver.controller.load.engine_load(driver.controller.engines[1])
    driver.handle(*(api.PeerLoadReport(1, (), 1) for _ in range(24)))
    after = driver.controller.load.engine_load(driver.controller.engines[1])
    assert before < 1.0
    assert after > 2.0
    driver.now += 6.0  # By now reports include these dispatches.
    driver.handle(api.PeerLoadReport(1, (0.0,)))
    assert driver.controller.load.engine_load(driver.controller.engines[1]) < 1.0


def test_a_new_engine_receives_no_burst_for_the_time_before_it_was_listed():
    """If each of 40 instances sent a first request at once, the engine would be overloaded."""
    send_count = 0
    for seed in range(40):
        entry = api.EngineEntry(1, started_at=97.0)  # It started 3 s before it is listed.
        driver = policy_driver(entries=(entry,), seed=seed)
        send_count += len(actions_of(api.Send, driver.submit(0, work=0.3, table_group=1.0)[1]))
    assert send_count == 0


def test_only_sends_to_an_engine_that_peers_would_choose_too_are_announced():
    driver = policy_driver()
    driver.handle(*(api.PeerLoadReport(number, (4.0,)) for number in (1, 2, 3, 4)))
    send = driver.send_request(0, work=0.1, table_group=1.0)
    assert not send.announce_to_peers  # All engines have capacity left.
    for _ in range(40):
        driver.now += 0.1
        driver.handle(
            api.PeerLoadReport(1, (2.0,)), *(api.PeerLoadReport(number, (24.0,)) for number in (2, 3, 4))
        )
    sends = [
        actions_of(api.Send, driver.submit(0, work=0.1, table_group=float(group))[1]) for group in range(12)
    ]
    assert {send.engine_id: send.announce_to_peers for actions in sends for send in actions}[1]


def test_dispatches_spread_evenly_do_not_raise_the_estimated_load_of_any_engine():
    driver = policy_driver()
    driver.handle(*(api.PeerLoadReport(number, (8.0,)) for number in (1, 2, 3, 4)))
    loads_before = engine_loads(driver)
    driver.handle(*(api.PeerLoadReport(number, (), 1) for number in (1, 2, 3, 4) for _ in range(20)))
    assert engine_loads(driver) == pytest.approx(loads_before, abs=0.2)


def test_a_faulty_peer_raises_a_load_by_a_bounded_amount_and_ejects_no_engine():
    driver = policy_driver()
    for _ in range(50):
        driver.now += 0.02
        driver.handle(*(api.PeerLoadReport(1, (254.0,), 255) for _ in range(20)))
    assert driver.controller.load.engine_load(driver.controller.engines[1]) <= 9.1
    for engine in driver.controller.engines.values():
        assert not engine.health.on_probation and not engine.health.is_open(driver.now)
    assert actions_of(api.Send, driver.submit(1, work=1.0, table_group=1.0)[1])


def test_instances_with_the_same_reports_do_not_all_choose_the_same_engine():
    chosen_engines = set()
    for seed in range(12):
        driver = policy_driver(engines=6, seed=seed)
        driver.handle(*(api.PeerLoadReport(number, (8.0 + number / 4,)) for number in range(1, 7)))
        chosen_engines.add(actions_of(api.Send, driver.submit(0, work=0.1, table_group=1.0)[1])[0].engine_id)
    assert len(chosen_engines) > 1


class RecordingController:
    """An admission controller that records its events and takes no action."""

    def __init__(self):
        self.events = []

    def handle(self, now, events):
        self.events += events
        return []


def test_load_reports_are_accepted_from_peers_only():
    async def main():
        first_address = free_datagram_address()
        second_address = free_datagram_address()
        unknown_address = free_datagram_address()
        both = (first_address, second_address)
        controller = RecordingController()
        counters = Counters()
        driver = EventLoopDriver(controller, EnginePool(None, (), 0, counters), counters)
        first_socket = DatagramSocket(PeerAddresses(first_address, both, second_address), 0, Counters())
        second_socket = DatagramSocket(PeerAddresses(second_address, both, first_address), 1, counters)
        first_sender = LoadReportSender(first_socket, load_reports(), driver.clock, Counters())
        second_sender = LoadReportSender(second_socket, load_reports(), driver.clock, counters)
        LoadReportReceiver(first_socket, first_sender.reports, driver, Counters())
        LoadReportReceiver(second_socket, second_sender.reports, driver, counters)
        first_socket.start()
        second_socket.start()
        first_sender.on_engine_report(1, (7.0, 0.5, 0.25))
        first_sender.on_attempt_sent(2, 3)
        first_sender.on_attempt_sent(2, 1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_socket:
            unknown_socket.bind(unknown_address)
            unknown_socket.sendto(dispatch_datagram(load_reports(), 1, 9), second_address)
        first_socket.sock.sendto(b"garbage", second_address)
        # An instance also receives its own datagrams if it sends them to the address that reaches all.
        second_socket.sock.sendto(dispatch_datagram(load_reports(), 1, 9), second_address)
        async with asyncio.timeout(10):
            while counters["news_heard"] < 1 or counters["news_unreadable"] < 2:
                await asyncio.sleep(0)
            driver.submit(api.TimerFired(5))  # Load reports wait for the next batch and do not start one.
            while not controller.events:
                await asyncio.sleep(0)
        for stoppable in (first_sender, second_sender, first_socket, second_socket):
            stoppable.stop()
        return controller.events

    events = asyncio.run(main())
    assert events == [
        api.PeerLoadReport(2, (), 4),
        api.PeerLoadReport(1, (7.0, -1.0, -1.0)),
        api.TimerFired(5),
    ]


def test_peers_are_read_from_the_configuration_and_the_error_names_an_invalid_address():
    raw = {
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.1:7946", "127.0.0.2:7946"],
        "peers_all": "127.0.0.9:7946",
    }
    assert read_peers(raw).instances[1] == ("127.0.0.2", 7946)
    assert read_peers({}) is None
    with pytest.raises(ConfigError, match=r"peers\[1\]: HOST:PORT"):
        read_peers(raw | {"peers": ["127.0.0.1:7946", "nowhere"]})
    with pytest.raises(ConfigError, match="peers: a list"):
        read_peers(raw | {"peers": "127.0.0.1:7946"})
