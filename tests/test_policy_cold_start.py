"""Cold engines: all instances together must not overload an engine that has just started."""

from random import Random

import pytest
from policy_driver import PolicyDriver, actions_of

from applevale import api

START = 100.0
END = 104.0
WARM_UP = 14.0
FALL = 2.0  # seconds; length of the window in which the work is limited
COLD_CAPACITY = 0.3  # share of the full capacity at the start
COLD_SETTINGS = dict(fall=FALL, fall_multiple=3.0, warm_up=WARM_UP)


def make_cold_driver(seed, gateways):
    """Return a driver with one engine that starts at START."""
    entries = (api.EngineEntry(1, started_at=START),)
    return PolicyDriver(entries=entries, seed=seed, gateways=gateways, **COLD_SETTINGS)


@pytest.mark.parametrize("gateways", [1, 60, 300])
def test_all_instances_together_do_not_overload_a_cold_engine(gateways):
    """All instances see the engine at the same time, and the work of requests has a heavy tail."""
    sent = []  # pairs of time and work
    works = {}
    max_work = 3.0 * 0.3 * 8 * 0.8 * 0.85 * 2.0
    for seed in range(gateways):
        driver = make_cold_driver(seed, gateways)
        random = Random(seed)
        driver.now += random.random() * gateways / 100.0
        while driver.now < END:
            work = random.lognormvariate(-2.0, 1.3)
            request_id, actions = driver.submit(work=work, table_group=1.0)
            works[request_id] = work
            for send in actions_of(api.Send, actions):
                sent.append((driver.now, works[send.request_id]))
                driver.finish(send, work=works[send.request_id])
            driver.now += random.expovariate(100.0 / gateways)
    assert sent
    for start, _ in sent:
        end = start + FALL
        capacity = COLD_CAPACITY + (1.0 - COLD_CAPACITY) * ((end - START) / WARM_UP) ** 2
        window = sum(work for time, work in sent if start <= time < end)
        message = f"{window:.1f} core seconds were sent in the window from {start:.2f}"
        assert window <= max_work * capacity / COLD_CAPACITY, message


def count_sends(instance_count):
    """Return the number of requests that 20 of `instance_count` instances send to a cold engine."""
    count = 0
    for seed in range(20):
        driver = make_cold_driver(seed, gateways=40)
        driver.handle(api.FleetSize(instance_count))
        while driver.now < END:
            _, actions = driver.submit(work=0.05, table_group=1.0)
            for send in actions_of(api.Send, actions):
                count += 1
                driver.finish(send, work=0.05)
            driver.now += 0.02
    return count


def test_the_budget_of_one_instance_for_a_cold_engine_depends_on_their_number():
    sent_by_each_of_many = count_sends(40)
    sent_by_each_of_few = count_sends(10)
    assert 10 < 2 * sent_by_each_of_many < sent_by_each_of_few
