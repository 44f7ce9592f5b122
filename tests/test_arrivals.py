"""Which request came first: every order of ticks, waits and reads, without a socket."""

import pytest

from applevale.dispatch.arrival_order import CATCH_UP, KEPT, SPACING, TICK, Arrivals, Source


def on_time(arrivals, start, count):
    for at in range(count):
        assert not arrivals.ticked(start + at * TICK)
    return start + (count - 1) * TICK


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
    assert source.read(asked, 10.05, emptied) == since
    assert source.clear == clear


def test_a_loop_on_time_knows_the_order_and_one_that_stood_still_does_not():
    arrivals, a, b = Arrivals(), Source(), Source()
    now = on_time(arrivals, 100.0, 20)
    for source in (a, b, a):
        since = source.read(now - 1.0, arrivals.polled, True)
        now = on_time(arrivals, now + TICK, 6)
        assert arrivals.sure(7, source, since, now)
    assert arrivals.ticked(now + 0.4) and arrivals.behind
    now += 0.4
    spans = {source: source.read(now - 1.0, arrivals.polled, True) for source in (a, b)}
    assert arrivals.sure(7, a, spans[a], now)  # after all that was read before the standstill
    assert arrivals.sure(7, a, spans[a], now)  # one connection keeps its order
    assert not arrivals.sure(7, b, spans[b], now)
    assert arrivals.sure(8, b, spans[b], now)  # another key


def test_catching_up_ends_once_each_socket_was_read_or_is_empty_but_not_never():
    arrivals, read, unread = Arrivals(), Source(), Source()
    now = on_time(arrivals, 100.0, 3)
    assert arrivals.ticked(now + 1.0)
    now = on_time(arrivals, now + 1.0 + TICK, 2)
    assert not arrivals.settled(unread, True) and arrivals.settled(unread, False)
    read.read(now - TICK, arrivals.polled, True)
    assert arrivals.settled(read, True)
    assert not arrivals.caught_up(False, now) and arrivals.behind
    assert arrivals.caught_up(True, now) and not arrivals.behind
    assert arrivals.ticked(now + 1.0)
    assert not arrivals.caught_up(False, now + 1.0 + CATCH_UP)
    assert arrivals.caught_up(False, now + 1.0 + CATCH_UP + TICK)


def test_old_keys_are_forgotten():
    arrivals, source = Arrivals(), Source()
    for at in range(1000):
        arrivals.sure(at, source, 0.0, at * 1.0)
    assert len(arrivals.last) <= KEPT + 1


def test_clients_space_their_requests_wider_than_what_counts_as_one_moment():
    assert TICK < SPACING < 0.06
