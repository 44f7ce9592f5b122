"""Computes spill limits for the loss of any one or two zones by linear programming. No I/O and no clock.

For each loss, the movable work of the lost zones is placed in the remaining zones. No zone exceeds its
headroom, no pair of zones exceeds its limit, and work goes to tiers as near as possible. Work that cannot be
placed is reported with the binding limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations

import numpy as np
from scipy.optimize import linprog

from .plan import ZonePair, ZonePlan
from .settings import SpillLimit, ZonesError, ZoneSettings

UNPLACED_COST = 1000.0  # Cost of a core that cannot be placed; a placed core costs the index of its tier.
TOLERANCE_CORES = 1e-6
SHARE_DECIMALS = 4  # Precision of the shares in the zones file.


@dataclass(frozen=True)
class LossPlan:
    """The optimal plan for the loss of one or more zones. Work is in cores.

    Attributes:
        lost: The zones that are lost.
        flows: Work that moves, by pair of zones.
        unplaced: Movable work that cannot be placed, by home zone.
        pinned: Work of pinned classes, by home zone.
        load: Used share of the capacity, by remaining zone.
        binding: Descriptions of the binding limits; empty if all movable work is placed.
    """

    lost: tuple[str, ...]
    flows: dict[ZonePair, float]
    unplaced: dict[str, float]
    pinned: dict[str, float]
    load: dict[str, float]
    binding: tuple[str, ...]

    def has_unplaced_work(self) -> bool:
        """Return whether some movable work cannot be placed."""
        return sum(self.unplaced.values()) > TOLERANCE_CORES


@dataclass(frozen=True)
class _SpillProblem:
    """The linear program of one loss.

    Its variables are the flow of each pair, followed by the unplaced work of each lost zone.

    Attributes:
        plan: The plan file.
        lost: The zones that are lost.
        remaining: The zones that are left.
        pairs: The pairs of a lost zone and a remaining zone in its tiers.
        spare_cores: Unused cores within the headroom, by remaining zone.
    """

    plan: ZonePlan
    lost: tuple[str, ...]
    remaining: list[str]
    pairs: list[ZonePair]
    spare_cores: dict[str, float]


def list_losses(plan: ZonePlan) -> list[tuple[str, ...]]:
    """Return every loss of one zone, and of two zones if at least one more is left."""
    names = sorted(plan.zones)
    single = [(name,) for name in names]
    double = list(combinations(names, 2)) if len(names) > 2 else []
    return single + double


def solve(plan: ZonePlan, lost: tuple[str, ...]) -> LossPlan:
    """Compute the optimal plan for one loss.

    Raises:
        ZonesError: The solver found no solution.
    """
    problem = _build_problem(plan, lost)
    solution = _minimize_cost(problem)
    flow_count = len(problem.pairs)
    flows = {
        pair: float(cores)
        for pair, cores in zip(problem.pairs, solution[:flow_count])
        if cores > TOLERANCE_CORES
    }
    unplaced = {home: float(cores) for home, cores in zip(lost, solution[flow_count:])}
    received = {
        name: sum(cores for pair, cores in flows.items() if pair.target == name) for name in problem.remaining
    }
    has_unplaced_work = sum(unplaced.values()) > TOLERANCE_CORES
    return LossPlan(
        lost=lost,
        flows=flows,
        unplaced=unplaced,
        pinned={home: plan.pinned_demand(home) for home in lost},
        load={
            name: (plan.zones[name].total_demand() + received[name]) / plan.zones[name].capacity
            for name in problem.remaining
        },
        binding=_find_binding_limits(problem, flows, received) if has_unplaced_work else (),
    )


def build_zone_settings(plan: ZonePlan, loss_plans: list[LossPlan]) -> ZoneSettings:
    """Return a zones file that covers the loss of any one zone.

    It does not cover the loss of two: the share of a pair must never exceed the headroom of its target.
    """
    shares: dict[ZonePair, float] = {}
    for loss in loss_plans:
        if len(loss.lost) == 1:
            for pair, cores in loss.flows.items():
                shares[pair] = max(shares.get(pair, 0.0), cores / plan.zones[pair.target].capacity)
    return ZoneSettings(
        tiers=plan.tiers,
        spill_limits=[
            SpillLimit(home=pair.home, target=pair.target, share=min(1.0, round(share, SHARE_DECIMALS)))
            for pair, share in sorted(shares.items())
        ],
        instances={name: zone.instances for name, zone in plan.zones.items()},
        capacity={name: zone.capacity for name, zone in plan.zones.items()},
        pinned_classes=plan.pinned_classes,
        recovery=plan.recovery,
    )


def _build_problem(plan: ZonePlan, lost: tuple[str, ...]) -> _SpillProblem:
    remaining = [name for name in sorted(plan.zones) if name not in lost]
    pairs = [ZonePair(home, target) for home in lost for target in remaining]
    spare_cores = {
        name: max(0.0, plan.headroom * plan.zones[name].capacity - plan.zones[name].total_demand())
        for name in remaining
    }
    return _SpillProblem(
        plan=plan,
        lost=lost,
        remaining=remaining,
        pairs=[pair for pair in pairs if plan.tier(pair) is not None],
        spare_cores=spare_cores,
    )


def _minimize_cost(problem: _SpillProblem) -> np.ndarray:
    plan = problem.plan
    lost = problem.lost
    result = linprog(
        [float(plan.tier(pair)) for pair in problem.pairs] + [UNPLACED_COST] * len(lost),
        A_ub=_headroom_rows(problem),
        b_ub=[problem.spare_cores[name] for name in problem.remaining],
        A_eq=_demand_rows(problem),
        b_eq=[plan.movable_demand(home) for home in lost],
        bounds=[(0.0, plan.max_flow(pair)) for pair in problem.pairs] + [(0.0, None)] * len(lost),
        method="highs",
    )
    if not result.success:
        raise ZonesError("plan", f"no solution for the loss of {', '.join(lost)}: {result.message}")
    return result.x


def _demand_rows(problem: _SpillProblem) -> np.ndarray:
    """Return the equality constraints: the movable work of each lost zone is either placed or unplaced."""
    rows = np.zeros((len(problem.lost), len(problem.pairs) + len(problem.lost)))
    for row, home in enumerate(problem.lost):
        flow_coefficients = [float(pair.home == home) for pair in problem.pairs]
        unplaced_coefficients = [float(other == home) for other in problem.lost]
        rows[row] = flow_coefficients + unplaced_coefficients
    return rows


def _headroom_rows(problem: _SpillProblem) -> np.ndarray:
    """Return the inequality constraints: no remaining zone exceeds its headroom."""
    rows = np.zeros((len(problem.remaining), len(problem.pairs) + len(problem.lost)))
    for row, name in enumerate(problem.remaining):
        rows[row, : len(problem.pairs)] = [float(pair.target == name) for pair in problem.pairs]
    return rows


def _find_binding_limits(
    problem: _SpillProblem, flows: dict[ZonePair, float], received: dict[str, float]
) -> tuple[str, ...]:
    """Return descriptions of the limits that prevent the placement of more work."""
    plan = problem.plan
    binding = [
        f"headroom of {name}"
        for name in problem.remaining
        if received[name] >= problem.spare_cores[name] - TOLERANCE_CORES
    ]
    binding += [
        f"limit from {pair.home} to {pair.target}"
        for pair in problem.pairs
        if flows.get(pair, 0.0) >= plan.max_flow(pair) - TOLERANCE_CORES
    ]
    homes_with_target = {pair.home for pair in problem.pairs}
    binding += [
        f"no zone in the tiers of {home} is left" for home in problem.lost if home not in homes_with_target
    ]
    return tuple(binding)
