"""Tests of a list of a thousand engines: no request is lost, and the work for each request is bounded."""

import pytest
from policy_driver import PolicyDriver, actions_of

from applevale import api
from applevale.discovery.control_feed import ControlFeed, FeedConfig
from applevale.discovery.endpoints import AttributeNames, Endpoint, EndpointUpdate
from applevale.discovery.feed_codec import FeedError
from applevale.engines.pool import EnginePool
from applevale.observability.counters import Counters
from applevale.policy.load_estimation import LoadEstimator

READY = api.EngineState.READY
GONE = api.EngineState.GONE


def driver_with_engines(count=1000, **settings):
    return PolicyDriver(
        entries=tuple(api.EngineEntry(engine) for engine in range(1, count + 1)),
        gateways=40,
        probe_price=0.08,
        may_probe=True,
        report_columns=("active",),
        **settings,
    )


def test_the_work_for_a_request_does_not_grow_with_the_list(monkeypatch):
    load_calls = {}
    for count in (8, 60, 1000):
        driver = driver_with_engines(count)
        calls = [0]
        engine_load = LoadEstimator.engine_load

        def counting_engine_load(self, engine, calls=calls, engine_load=engine_load):
            calls[0] += 1
            return engine_load(self, engine)

        monkeypatch.setattr(LoadEstimator, "engine_load", counting_engine_load)
        sends = [
            send
            for group in range(20)
            for send in actions_of(api.Send, driver.submit(0, table_group=float(group))[1])
        ]
        monkeypatch.setattr(LoadEstimator, "engine_load", engine_load)
        assert len(sends) == 20
        load_calls[count] = calls[0]
    assert load_calls[1000] <= 2 * load_calls[8]


def test_no_request_is_lost_when_the_list_is_emptied_and_filled_again():
    driver = driver_with_engines()
    first = actions_of(api.Send, driver.submit(0, table_group=1.0)[1])[0]
    driver.handle(api.EngineList((), is_full=True))
    waiting, actions = driver.submit(0, table_group=1.0)
    assert not actions_of(api.Send, actions)
    driver.now += 0.1
    actions = driver.handle(api.EngineList(tuple(api.EngineEntry(n) for n in range(1, 1001)), is_full=True))
    assert [send.request_id for send in actions_of(api.Send, actions)] == [waiting]
    driver.finish(first)
    driver.finish(actions_of(api.Send, actions)[0])
    assert not driver.controller.attempts.pending and len(driver.controller.engines) == 1000


def test_an_engine_that_is_listed_again_is_cold_and_has_no_load_history():
    driver = driver_with_engines(3)
    driver.handle(api.PeerLoadReport(1, (40.0,), 8))
    assert driver.controller.load.engine_load(driver.controller.engines[1]) > 2
    driver.now += 5.0
    driver.handle(api.EngineList((api.EngineEntry(1, state=GONE),)))
    driver.handle(api.PeerLoadReport(1, (40.0,), 8))  # the peer still has the older list
    assert 1 not in driver.controller.engines
    driver.handle(api.EngineList((api.EngineEntry(1, started_at=driver.now - 0.5),)))
    driver.controller.load.start_batch()
    assert driver.controller.load.engine_load(driver.controller.engines[1]) < 2
    assert driver.controller.engines[1].capacity_share(driver.now) < 0.5


def test_an_update_that_is_repeated_or_out_of_order_changes_nothing():
    updates = []
    feed = ControlFeed(FeedConfig(AttributeNames(("z",), ("k",))), Counters(), updates.append)
    first = EndpointUpdate(1, True, (Endpoint(api.EngineEntry(1), ("127.0.0.1", 1)),))
    after_gap = EndpointUpdate(3, False, (Endpoint(api.EngineEntry(2), ("127.0.0.1", 2)),))
    feed.apply(first)
    feed.apply(first)
    with pytest.raises(FeedError, match="event 3 came after 1"):
        feed.apply(after_gap)
    assert updates == [first] and feed.last_number == 1


def test_an_engine_at_the_address_of_an_earlier_one_replaces_it():
    pool = EnginePool(None, (), 8, Counters())
    pool.update(
        EndpointUpdate(1, True, tuple(Endpoint(api.EngineEntry(n), ("127.0.0.1", n)) for n in (1, 2)))
    )
    pool.update(EndpointUpdate(2, False, (Endpoint(api.EngineEntry(1), ("127.0.0.1", 2)),)))
    pool.update(EndpointUpdate(3, False, (Endpoint(api.EngineEntry(3), ("127.0.0.1", 2)),)))
    assert set(pool.engines) == {3} and pool.engines[3].state is READY
