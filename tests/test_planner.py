"""The planner of spill limits, and the commands that write and check a zones file."""

import json

import msgspec
import pytest
from typer.testing import CliRunner

from applevale.cli.main import app
from applevale.zones import planner
from applevale.zones.plan import read_plan
from applevale.zones.plan_report import find_overloads, format_table
from applevale.zones.settings import ZonesError, read_zones

TIERS = {
    "east": [["east"], ["west"], ["north"]],
    "west": [["west"], ["east"], ["north"]],
    "north": [["north"], ["east", "west"]],
}


def plan_file(demand=10.0, load=0.0, limits=(), **fields):
    """Return a plan of three equal zones with demand of a movable class and of a pinned one, 'load'."""
    return json.dumps(
        {
            "zones": {
                name: {"capacity": 48, "demand": {"lookup": demand, "load": load}, "instances": 2}
                for name in TIERS
            },
            "tiers": TIERS,
            "headroom": 0.75,
            "stay": ["load"],
            "limits": list(limits),
        }
        | fields
    ).encode()


def solve_all(raw):
    """Return a plan and its solutions by lost zones."""
    plan = read_plan(raw)
    return plan, {lost: planner.solve(plan, lost) for lost in planner.list_losses(plan)}


def test_work_goes_to_the_nearest_tier_while_that_has_capacity():
    _, loss_plans = solve_all(plan_file())
    assert len(loss_plans) == 6
    east_lost = loss_plans["east",]
    assert east_lost.flows == {("east", "west"): pytest.approx(10.0)}
    assert not east_lost.binding
    assert east_lost.load["west"] == pytest.approx(20 / 48)


def test_no_zone_exceeds_its_headroom_and_the_remaining_work_goes_to_a_farther_tier():
    _, loss_plans = solve_all(plan_file(demand=20.0))
    east_lost = loss_plans["east",]
    assert east_lost.flows["east", "west"] == pytest.approx(16.0)
    assert east_lost.flows["east", "north"] == pytest.approx(4.0)
    for loss_plan in loss_plans.values():
        assert all(share <= 0.75 + 1e-6 for share in loss_plan.load.values())


def test_unplaced_work_is_reported_with_its_amount_and_the_binding_limit():
    limits = [{"from": "east", "to": "west", "share": 0.1}, {"from": "east", "to": "north", "share": 0.0}]
    _, loss_plans = solve_all(plan_file(limits=limits))
    assert loss_plans["east",].unplaced["east"] == pytest.approx(10 - 4.8)
    assert "limit from east to west" in loss_plans["east",].binding
    _, loss_plans = solve_all(plan_file(demand=30.0))
    two_lost = loss_plans["east", "west"]
    assert sum(two_lost.unplaced.values()) == pytest.approx(60 - 6)
    assert two_lost.binding == ("headroom of north",)


def test_work_of_pinned_classes_is_reported_and_not_moved():
    _, loss_plans = solve_all(plan_file(load=3.0))
    assert loss_plans["east",].pinned == {"east": 3.0}
    assert sum(loss_plans["east",].flows.values()) == pytest.approx(10.0)
    assert "pinned classes" in format_table(list(loss_plans.values()))


def test_the_zones_file_covers_the_loss_of_any_one_zone_and_a_larger_share_is_an_overload():
    plan, loss_plans = solve_all(plan_file(demand=20.0))
    zones = planner.build_zone_settings(plan, list(loss_plans.values()))
    assert find_overloads(plan, zones) == []
    for limit in zones.spill_limits:
        flow = loss_plans[limit.home,].flows[limit.home, limit.target]
        assert limit.share * 48 == pytest.approx(flow, abs=0.01)
    assert zones.instance_share("east", "west") == pytest.approx(16 / 48 / 2, abs=1e-4)
    changed = json.loads(msgspec.json.encode(zones))
    changed["spill"][0]["share"] = 0.9
    changed_zones = read_zones(json.dumps(changed).encode(), tuple(TIERS), ("lookup", "load"))
    assert len(find_overloads(plan, changed_zones)) == 1


@pytest.mark.parametrize(
    "change, place",
    [
        ({"tiers": {"south": [["south"]]}}, "tiers.south"),
        ({"headroom": 2}, "headroom"),
        ({"limits": [{"from": "east", "to": "south", "share": 0.1}]}, r"limits\[0\]"),
        ({"zones": 1}, "zones"),
    ],
)
def test_the_error_for_an_invalid_plan_names_the_key(change, place):
    with pytest.raises(ZonesError, match=place) as caught:
        read_plan(plan_file(**change))
    assert str(caught.value) == f"{caught.value.place}: {caught.value.reason}"


def test_the_plan_command_writes_a_zones_file_that_passes_the_check_command(tmp_path):
    plan_path = tmp_path / "plan.json"
    zones_path = tmp_path / "zones.json"
    plan_path.write_bytes(plan_file(demand=20.0))
    planned = CliRunner().invoke(app, ["zones", "plan", str(plan_path), "--out", str(zones_path)])
    assert planned.exit_code == 1
    assert "cores cannot be placed" in planned.output  # One zone alone cannot take the work of two.
    assert read_zones(zones_path.read_bytes(), tuple(TIERS), ("lookup", "load")).spill_limits
    assert CliRunner().invoke(app, ["zones", "check", str(plan_path), str(zones_path)]).exit_code == 0
    plan_path.write_text("{")
    failed = CliRunner().invoke(app, ["zones", "plan", str(plan_path)])
    assert failed.exit_code == 2
    assert failed.output.count("\n") == 1
