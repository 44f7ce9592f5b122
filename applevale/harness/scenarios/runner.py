"""One run of a case of the fleet harness, and its figures."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ...checkers import coldstart as coldstart_checker
from ...checkers import membership as membership_checker
from ...checkers.history import History, quantile
from ..fleet import Fleet
from ..fleet_plan import FleetPlan
from .cases import CASES, Case
from .registry_plays import coldstart

MAX_READY_DELAY_SECONDS = 2.0  # that the last ones are ready behind processes that only import the program
REGISTRY_COUNTERS = ("stalls", "trials", "slow_for_all", "declined", "given_up", "stale", "breaks")
REQUEST_FIGURES = (
    *coldstart_checker.REQUEST_RULES,
    "requests",
    "served",
    "cut_by_ends",
    "late_by_standstill",
)
FAULT_PREFIX = "fault_"


async def run(plan: FleetPlan, case_name: str, history_path: str = "") -> dict:
    """Play a case; return its figures, with `ok` and what was `broken`.

    Args:
        plan: The plan, but for what the case itself says.
        case_name: The case, by its name in `CASES`.
        history_path: Where to write the history; empty: nowhere.
    """
    case = CASES[case_name]
    fleet = Fleet(replace(plan, **case.plan))
    try:
        counters = await _play(fleet, case)
    finally:
        await fleet.stop()
    figures = _figures(fleet, fleet.history(), counters, case)
    if history_path:
        fleet.history().write(history_path)  # with the requests that were lost
    return {"rig": "fleet", "case": case_name, **figures}


async def _play(fleet: Fleet, case: Case) -> dict[str, int]:
    """Play the case to its end; return the sums of the counters of all instances that run."""
    await fleet.measure_imports()
    await fleet.start()
    await case.play(fleet)
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
    nodes = fleet.plan.nodes
    figures = coldstart_checker.figures(history, nodes) | counters | _fleet_figures(fleet)
    broken = coldstart_checker.violated_limits(figures, nodes, case.limits(figures, nodes))
    if fleet.plan.members:
        among_members = membership_checker.figures(history)
        broken += membership_checker.violated_limits(among_members, {})
        figures |= among_members | {"datagrams": dict(fleet.links.relay.stats)}
    if fleet.figures["bad_exits"]:
        broken.append(f"exits with another code than 0: {fleet.figures['bad_exits']}")
    if case.play is coldstart:
        broken += _late_starts(figures)
    return {
        "ok": not broken,
        "broken": broken,
        "seed": fleet.plan.seed,
        "nodes": nodes,
        "faults": _fault_counts(fleet),
        **figures,
    }


def _fleet_figures(fleet: Fleet) -> dict:
    """Return what the fleet itself counted and measured."""
    violations = fleet.violations()
    import_shares = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    return {
        **{name: violations[name] for name in REQUEST_FIGURES},
        "wrong_lists": fleet.figures["wrong_lists"],
        "pushed_most": round(max(engine.peak_overload for engine in fleet.engines.fakes), 2),
        "import_s": {
            name: round(quantile(fleet.import_s, share), 2) for name, share in import_shares.items()
        },
        "idle": fleet.idle,
        "turns_left_out": fleet.figures["turns_left_out"],
    }


def _late_starts(figures: dict) -> list[str]:
    ready = figures["ready_s"]["p99"]
    imports = figures["import_s"]["p99"]
    if ready <= imports + MAX_READY_DELAY_SECONDS:
        return []
    return [f"ready_s: p99 {ready}, imports {imports}"]


def _fault_counts(fleet: Fleet) -> dict[str, int]:
    return {
        name.removeprefix(FAULT_PREFIX): count
        for name, count in fleet.figures.items()
        if name.startswith(FAULT_PREFIX)
    }
