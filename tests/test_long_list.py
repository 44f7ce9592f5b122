"""A list of a thousand engines, and what may happen to it: no error, no lost request, bounded work each."""

import pytest
from helpers import Driver, of

from applevale import api
from applevale.discovery.control_feed import ControlFeed
from applevale.discovery.endpoints import AttributeNames, Endpoint, EndpointUpdate
from applevale.discovery.feed_codec import FeedError
from applevale.engines.pool import EnginePool
from applevale.observability.counters import Counters
from applevale.policy.load_estimation import LoadEstimator

READY, GONE = api.State.READY, api.State.GONE


def many(count=1000, **more):
    return Driver(
        entries=tuple(api.EngineEntry(n) for n in range(1, count + 1)),
        gateways=40,
        probe_price=0.08,
        may_probe=True,
        report_columns=("active",),
        **more,
    )


def test_work_a_request_does_not_grow_with_the_list(monkeypatch):
    looked = {}
    for count in (8, 60, 1000):
        d, calls = many(count), [0]
        load = LoadEstimator.engine_load

        def counted(self, engine, calls=calls, load=load):
            calls[0] += 1
            return load(self, engine)

        monkeypatch.setattr(LoadEstimator, "engine_load", counted)
        sends = [send for group in range(20) for send in of(api.Send, d.ask(0, tables=float(group))[1])]
        monkeypatch.setattr(LoadEstimator, "engine_load", load)
        assert len(sends) == 20
        looked[count] = calls[0]
    assert looked[1000] <= 2 * looked[8]


def test_a_list_emptied_and_filled_again_loses_no_request():
    d = many()
    first = of(api.Send, d.ask(0, tables=1.0)[1])[0]
    d.give(api.EngineList((), whole=True))
    waiting, actions = d.ask(0, tables=1.0)
    assert not of(api.Send, actions)
    d.now += 0.1
    actions = d.give(api.EngineList(tuple(api.EngineEntry(n) for n in range(1, 1001)), whole=True))
    assert [send.request for send in of(api.Send, actions)] == [waiting]
    d.end(first)
    d.end(of(api.Send, actions)[0])
    assert not d.controller.attempts.pending and len(d.controller.engines) == 1000


def test_an_engine_that_comes_back_under_its_id_starts_anew_and_cold():
    d = many(3)
    d.give(api.PeerLoadReport(1, (40.0,), 8))
    assert d.controller.load.engine_load(d.controller.engines[1]) > 2
    d.now += 5.0
    d.give(api.EngineList((api.EngineEntry(1, state=GONE),)))
    d.give(api.PeerLoadReport(1, (40.0,), 8))  # a peer whose list is older
    assert 1 not in d.controller.engines
    d.give(api.EngineList((api.EngineEntry(1, started=d.now - 0.5),)))
    d.controller.load.start_batch()
    assert (
        d.controller.load.engine_load(d.controller.engines[1]) < 2
        and d.controller.engines[1].warmth(d.now) < 0.5
    )


def test_an_event_told_twice_or_out_of_turn_changes_nothing():
    told = []
    feed = ControlFeed(0, AttributeNames(("z",), ("k",)), Counters(), told.append)
    first = EndpointUpdate(1, True, (Endpoint(api.EngineEntry(1), ("127.0.0.1", 1)),))
    late = EndpointUpdate(3, False, (Endpoint(api.EngineEntry(2), ("127.0.0.1", 2)),))
    feed.apply(first)
    feed.apply(first)
    with pytest.raises(FeedError, match="event 3 came after 1"):
        feed.apply(late)
    assert told == [first] and feed.last_number == 1


def test_engines_that_swap_addresses_share_no_connection_with_those_before():
    pool = EnginePool(None, (), 8, Counters())
    pool.update(
        EndpointUpdate(1, True, tuple(Endpoint(api.EngineEntry(n), ("127.0.0.1", n)) for n in (1, 2)))
    )
    pool.update(EndpointUpdate(2, False, (Endpoint(api.EngineEntry(1), ("127.0.0.1", 2)),)))
    pool.update(EndpointUpdate(3, False, (Endpoint(api.EngineEntry(3), ("127.0.0.1", 2)),)))
    assert set(pool.engines) == {3} and pool.engines[3].state is READY
