"""Tests of the order of arrivals, for all orders of ticks, waits and reads; without sockets."""

import pytest

from applevale.dispatch.arrival_order import (
    KEY_RETENTION_SECONDS,
    MAX_CATCH_UP_SECONDS,
    MIN_REQUEST_SPACING_SECONDS,
    TICK_SECONDS,
    ArrivalOrder,
    ArrivalSource,
)


def tick_on_time(order, start, count):
    """Tick `count` times at the regular interval, and return the time of the last tick."""
    for index in range(count):
        assert not order.on_tick(start + index * TICK_SECONDS)
    return start + (count - 1) * TICK_SECONDS


@pytest.mark.parametrize(
    "wait_started_at, emptied, earliest_arrival, read_up_to",
    [
        (10.0, True, 10.05, 10.05),  # waited for before the last poll, which found no data
        (10.0, False, 10.05, 9.0),  # the data left behind may be as old as the data that was read
        (10.06, True, 9.0, 10.05),  # not waited for at the last poll, so the data may be older
        (10.06, False, 9.0, 9.0),
    ],
)
def test_the_earliest_arrival_of_data_depends_on_the_wait_and_the_last_poll(
    wait_started_at, emptied, earliest_arrival, read_up_to
):
    source = ArrivalSource(9.0)
    assert source.record_read(wait_started_at, 10.05, emptied) == earliest_arrival
    assert source.read_up_to == read_up_to


def test_the_order_of_arrival_is_known_unless_the_loop_has_stalled():
    order = ArrivalOrder()
    first = ArrivalSource()
    second = ArrivalSource()
    now = tick_on_time(order, 100.0, 20)
    for source in (first, second, first):
        earliest_arrival = source.record_read(now - 1.0, order.polled_at, True)
        now = tick_on_time(order, now + TICK_SECONDS, 6)
        assert order.is_in_order(7, source, earliest_arrival, now)
    assert order.on_tick(now + 0.4) and order.is_catching_up
    now += 0.4
    arrivals = {source: source.record_read(now - 1.0, order.polled_at, True) for source in (first, second)}
    # The previous request with this key was read before the stall.
    assert order.is_in_order(7, first, arrivals[first], now)
    # Requests on the same connection are always in order.
    assert order.is_in_order(7, first, arrivals[first], now)
    assert not order.is_in_order(7, second, arrivals[second], now)
    # There is no previous request with this key.
    assert order.is_in_order(8, second, arrivals[second], now)


def test_catching_up_ends_when_each_socket_is_read_or_empty_or_after_a_time_limit():
    order = ArrivalOrder()
    read = ArrivalSource()
    unread = ArrivalSource()
    now = tick_on_time(order, 100.0, 3)
    assert order.on_tick(now + 1.0)
    now = tick_on_time(order, now + 1.0 + TICK_SECONDS, 2)
    assert not order.is_caught_up(unread, True) and order.is_caught_up(unread, False)
    read.record_read(now - TICK_SECONDS, order.polled_at, True)
    assert order.is_caught_up(read, True)
    assert not order.finish_catching_up(False, now) and order.is_catching_up
    assert order.finish_catching_up(True, now) and not order.is_catching_up
    assert order.on_tick(now + 1.0)
    assert not order.finish_catching_up(False, now + 1.0 + MAX_CATCH_UP_SECONDS)
    assert order.finish_catching_up(False, now + 1.0 + MAX_CATCH_UP_SECONDS + TICK_SECONDS)


def test_requests_are_not_remembered_beyond_the_retention_time():
    order = ArrivalOrder()
    source = ArrivalSource()
    for key in range(1000):
        order.is_in_order(key, source, 0.0, float(key))
    assert len(order.last_requests) <= KEY_RETENTION_SECONDS + 1


def test_the_request_spacing_is_above_the_tick_interval_and_below_the_spacing_of_clients():
    assert TICK_SECONDS < MIN_REQUEST_SPACING_SECONDS < 0.06
