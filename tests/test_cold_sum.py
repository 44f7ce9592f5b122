"""The work that all instances together send to a cold engine, by decisions without I/O."""

from math import sqrt

import pytest
from policy_driver import make_settings

from applevale import api
from applevale.policy import AdmissionController

WORK = 0.2
CORES = 8.0
STEP = 0.05


@pytest.mark.parametrize("count", [1, 20, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_instances_together_stay_within_the_budget_of_a_cold_engine(count, seed):
    """For N requests that the settings allow in a window, at most N + 2 x sqrt(N) + 2 are sent."""
    settings = make_settings(gateways=count, cold_share=0.33, warm_up=15.0, fall=1.5, fall_multiple=4.0)
    entry = api.EngineEntry(1, started_at=100.0)
    fleet = [AdmissionController(settings, 100 * seed + index) for index in range(count)]
    sent = []
    number = 0
    now = 100.0
    for controller in fleet:
        controller.handle(now, (api.EngineList((entry,), is_full=True),))
    while now < 110.0:
        for controller in fleet:
            requests = []
            for _ in range(max(1, 40 // count)):
                number += 1
                requests.append(
                    api.Request(number, 0, timeout=4.0, estimated_work=WORK, estimated_memory_mb=10.0)
                )
            for action in controller.handle(now, tuple(requests)):
                if isinstance(action, api.Send):
                    sent.append(now)
                    outcome = api.AttemptOutcome(
                        action.request_id, 0, 1, api.Result.OK, 0.1, True, WORK, 10.0
                    )
                    controller.handle(now, (outcome,))
        now += STEP
    assert len(sent) > 50
    for start in sent:
        share = settings.cold_share + (1 - settings.cold_share) * (start - 100.0) / settings.warm_up
        allowed = settings.fall_multiple * share * CORES * 0.85 * settings.fall / WORK
        window = sum(start <= time < start + settings.fall for time in sent)
        assert window <= allowed + 2 * sqrt(allowed) + 2


@pytest.mark.parametrize("count", [20, 30])
def test_the_shares_of_all_instances_add_up_to_the_budget_at_any_fleet_size(count):
    def accrued_budget(size):
        settings = make_settings(gateways=size)
        fleet = [AdmissionController(settings, seed) for seed in range(size)]
        for controller in fleet:
            controller.handle(100.0, (api.EngineList((api.EngineEntry(1, started_at=100.0),), is_full=True),))
        engines = [controller.engines[1] for controller in fleet]
        for engine in engines:
            engine.cold_budget.level = -1e9
            engine.cold_budget_allows(0.0, 100.0)
            engine.cold_budget_allows(0.0, 101.0)
        return sum(engine.cold_budget.level + 1e9 for engine in engines)

    assert accrued_budget(count) == pytest.approx(accrued_budget(1), rel=1e-6)
