"""Which request came first: every order of ticks, waits and reads, without a socket."""

import pytest

from applevale.dispatch.arrival_order import (
    KEY_RETENTION_SECONDS,
    MAX_CATCH_UP_SECONDS,
    MIN_REQUEST_SPACING_SECONDS,
    TICK_SECONDS,
    ArrivalOrder,
    Source,
)


def on_time(order, start, count):
    for at in range(count):
        assert not order.on_tick(start + at * TICK_SECONDS)
    return start + (count - 1) * TICK_SECONDS


@pytest.mark.parametrize(
    "asked, emptied, since, clear",
    [
        (10.0, True, 10.05, 10.05),  # waited since before the last look: the look found nothing
        (10.0, False, 10.05, 9.0),  # the rest of what lay there is no newer
        (10.06, True, 9.0, 10.05),  # not waited for at the last look: it may have lain there
        (10.06, False, 9.0, 9.0),
    ],
)
def test_since_when_it_may_have_lain_there(asked, emptied, since, clear):
    source = Source(9.0)
    assert source.record_read(asked, 10.05, emptied) == since
    assert source.read_up_to == clear


def test_a_loop_on_time_knows_the_order_and_one_that_stood_still_does_not():
    order, a, b = ArrivalOrder(), Source(), Source()
    now = on_time(order, 100.0, 20)
    for source in (a, b, a):
        since = source.record_read(now - 1.0, order.polled_at, True)
        now = on_time(order, now + TICK_SECONDS, 6)
        assert order.is_in_order(7, source, since, now)
    assert order.on_tick(now + 0.4) and order.is_catching_up
    now += 0.4
    spans = {source: source.record_read(now - 1.0, order.polled_at, True) for source in (a, b)}
    assert order.is_in_order(7, a, spans[a], now)  # after all that was read before the standstill
    assert order.is_in_order(7, a, spans[a], now)  # one connection keeps its order
    assert not order.is_in_order(7, b, spans[b], now)
    assert order.is_in_order(8, b, spans[b], now)  # another key


def test_catching_up_ends_once_each_socket_was_read_or_is_empty_but_not_never():
    order, read, unread = ArrivalOrder(), Source(), Source()
    now = on_time(order, 100.0, 3)
    assert order.on_tick(now + 1.0)
    now = on_time(order, now + 1.0 + TICK_SECONDS, 2)
    assert not order.is_caught_up(unread, True) and order.is_caught_up(unread, False)
    read.record_read(now - TICK_SECONDS, order.polled_at, True)
    assert order.is_caught_up(read, True)
    assert not order.finish_catching_up(False, now) and order.is_catching_up
    assert order.finish_catching_up(True, now) and not order.is_catching_up
    assert order.on_tick(now + 1.0)
    assert not order.finish_catching_up(False, now + 1.0 + MAX_CATCH_UP_SECONDS)
    assert order.finish_catching_up(False, now + 1.0 + MAX_CATCH_UP_SECONDS + TICK_SECONDS)


def test_old_keys_are_forgotten():
    order, source = ArrivalOrder(), Source()
    for at in range(1000):
        order.is_in_order(at, source, 0.0, at * 1.0)
    assert len(order.last_requests) <= KEY_RETENTION_SECONDS + 1


def test_clients_space_their_requests_wider_than_what_counts_as_one_moment():
    assert TICK_SECONDS < MIN_REQUEST_SPACING_SECONDS < 0.06
