"""The order of arrivals, for all orders of ticks, waits and reads; without a socket."""

import pytest

from applevale.dispatch.arrival_order import (
    KEY_RETENTION_SECONDS,
    MAX_CATCH_UP_SECONDS,
    MIN_REQUEST_SPACING_SECONDS,
    TICK_SECONDS,
    ArrivalOrder,
    Source,
)


def tick_on_time(order, start, count):
    """Tick `count` times without a stall, and return the time of the last tick."""
    for index in range(count):
        assert not order.on_tick(start + index * TICK_SECONDS)
    return start + (count - 1) * TICK_SECONDS


@pytest.mark.parametrize(
    "wait_started_at, emptied, earliest_arrival, read_up_to",
    [
        (10.0, True, 10.05, 10.05),  # waited since before the last poll, which found nothing
        (10.0, False, 10.05, 9.0),  # what was left unread is no newer
        (10.06, True, 9.0, 10.05),  # not waited for at the last poll: it may have been there
        (10.06, False, 9.0, 9.0),
    ],
)
def test_the_earliest_arrival_of_what_was_read(wait_started_at, emptied, earliest_arrival, read_up_to):
    source = Source(9.0)
    assert source.record_read(wait_started_at, 10.05, emptied) == earliest_arrival
    assert source.read_up_to == read_up_to


def test_a_loop_on_time_knows_the_order_and_a_stalled_one_does_not():
    order = ArrivalOrder()
    first = Source()
    second = Source()
    now = tick_on_time(order, 100.0, 20)
    for source in (first, second, first):
        earliest_arrival = source.record_read(now - 1.0, order.polled_at, True)
        now = tick_on_time(order, now + TICK_SECONDS, 6)
        assert order.is_in_order(7, source, earliest_arrival, now)
    assert order.on_tick(now + 0.4) and order.is_catching_up
    now += 0.4
    arrivals = {source: source.record_read(now - 1.0, order.polled_at, True) for source in (first, second)}
    assert order.is_in_order(7, first, arrivals[first], now)  # after all that was read before the stall
    assert order.is_in_order(7, first, arrivals[first], now)  # one connection keeps its order
    assert not order.is_in_order(7, second, arrivals[second], now)
    assert order.is_in_order(8, second, arrivals[second], now)  # another key


def test_catching_up_ends_once_each_socket_was_read_or_is_empty_and_after_a_limit():
    order = ArrivalOrder()
    read = Source()
    unread = Source()
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


def test_old_keys_are_forgotten():
    order = ArrivalOrder()
    source = Source()
    for key in range(1000):
        order.is_in_order(key, source, 0.0, float(key))
    assert len(order.last_requests) <= KEY_RETENTION_SECONDS + 1


def test_clients_space_their_requests_wider_than_what_counts_as_one_moment():
    assert TICK_SECONDS < MIN_REQUEST_SPACING_SECONDS < 0.06
