"""Runner of the cases of the fleet harness, with the figures of a run."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ...checkers import coldstart as coldstart_checker
from ...checkers import membership as membership_checker
from ...checkers.history import History, quantile
from ..fleet import Fleet
from ..fleet_plan import FleetPlan
from .cases import CASES, Case
from .registry_scenarios import cold_start

MAX_READY_DELAY_SECONDS = 2.0  # of the p99 of starts beyond that of imports alone
REGISTRY_COUNTERS = ("stalls", "trials", "slow_for_all", "declined", "given_up", "stale", "breaks")
REQUEST_FIGURES = (
    *coldstart_checker.REQUEST_ZERO_FIGURES,
    "requests",
    "served",
    "cut_by_ends",
    "late_by_standstill",
)
FAULT_PREFIX = "fault_"


async def run(plan: FleetPlan, case_name: str, history_path: str = "") -> dict:
    """Run a case and return its result.

    Args:
        plan: The plan of the fleet; the fields that the case sets are replaced.
        case_name: Name of the case in `CASES`.
        history_path: File to which the history is written; empty: none.

    Returns:
        The figures, with `ok` and the list of violated limits under `broken`.
    """
    case = CASES[case_name]
    fleet = Fleet(replace(plan, **case.plan))
    try:
        counters = await _play(fleet, case)
    finally:
        await fleet.stop()
    figures = _figures(fleet, fleet.history(), counters, case)
    if history_path:
        # The history now includes the lost requests, which the figures have recorded.
        fleet.history().write(history_path)
    return {"rig": "fleet", "case": case_name, **figures}


async def _play(fleet: Fleet, case: Case) -> dict[str, int]:
    """Run the scenario to its end; return the registry counters, summed over all running instances."""
    await fleet.measure_imports()
    await fleet.start()
    await case.scenario(fleet)
    await fleet.clients.settle()
    dumps = await asyncio.gather(
        *(
            instance.program.counters()
            for instance in fleet.instances
            if instance.program.process.returncode is None
        )
    )
    return {name: sum(dump.get(f"registry_{name}", 0) for dump in dumps) for name in REGISTRY_COUNTERS}


def _figures(fleet: Fleet, history: History, counters: dict[str, int], case: Case) -> dict:
    instance_count = fleet.plan.instance_count
    figures = coldstart_checker.compute_figures(history) | counters | _fleet_figures(fleet)
    broken = coldstart_checker.violated_limits(figures, instance_count, case.limits(figures, instance_count))
    if fleet.plan.with_membership:
        membership_figures = membership_checker.compute_figures(history)
        broken += membership_checker.violated_limits(membership_figures, {})
        figures |= membership_figures | {"datagrams": dict(fleet.links.relay.stats)}
    if fleet.figures["bad_exits"]:
        broken.append(f"bad_exits: {fleet.figures['bad_exits']} processes exited with a code other than 0")
    if case.scenario is cold_start:
        broken += _late_start_messages(figures)
    return {
        "ok": not broken,
        "broken": broken,
        "seed": fleet.plan.seed,
        "nodes": instance_count,
        "faults": _fault_counts(fleet),
        **figures,
    }


def _fleet_figures(fleet: Fleet) -> dict:
    """Return the figures that the fleet itself counted and measured."""
    violations = fleet.violations()
    import_shares = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    return {
        **{name: violations[name] for name in REQUEST_FIGURES},
        "wrong_lists": fleet.figures["wrong_lists"],
        "pushed_most": round(max(engine.peak_overload for engine in fleet.engines.fakes), 2),
        "import_s": {
            name: round(quantile(fleet.import_seconds, share), 2) for name, share in import_shares.items()
        },
        "idle": fleet.idle_usage,
        "turns_left_out": fleet.figures["turns_left_out"],
    }


def _late_start_messages(figures: dict) -> list[str]:
    ready = figures["ready_s"]["p99"]
    imports = figures["import_s"]["p99"]
    if ready <= imports + MAX_READY_DELAY_SECONDS:
        return []
    limit = round(imports + MAX_READY_DELAY_SECONDS, 2)
    return [f"ready_s: p99 is {ready} s, the limit is {limit:g} s; the p99 of imports is {imports} s"]


def _fault_counts(fleet: Fleet) -> dict[str, int]:
    return {
        name.removeprefix(FAULT_PREFIX): count
        for name, count in fleet.figures.items()
        if name.startswith(FAULT_PREFIX)
    }
