"""Shares of spill for every loss of one zone and of two, by a linear programme. No I/O and no clock.

For each loss: the work of the lost zones that may leave goes to those that are left, so that none passes its
headroom and no pair its limit, with the least work in far tiers. What finds no room is told with the limits
that stand in its way.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from typing import Annotated

import msgspec
import numpy as np
from scipy.optimize import linprog

from .settings import RecoverySettings, Share, SpillLimit, ZonesError, ZoneSettings

UNPLACED = 1000.0  # price of work without room, against 1 a tier
TIGHT = 1e-6  # cores


class PlanZone(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    capacity: Annotated[float, msgspec.Meta(gt=0)]  # cores
    demand: dict[str, Annotated[float, msgspec.Meta(ge=0)]]  # cores, by class
    instances: Annotated[int, msgspec.Meta(ge=1)] = 1


class Plan(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    zones: dict[str, PlanZone]
    tiers: dict[str, list[list[str]]]
    limits: list[SpillLimit] = []  # the most that a pair may have; absent: the headroom alone
    headroom: Share = 0.85
    stay: list[str] = []
    back: RecoverySettings = RecoverySettings()


@dataclass(frozen=True)
class Loss:
    """One scenario and its best plan, in cores."""

    lost: tuple[str, ...]
    flows: dict[tuple[str, str], float]
    unplaced: dict[str, float]  # work that may leave and finds no room
    staying: dict[str, float]  # work that may not leave
    load: dict[str, float]  # share of each remaining zone's capacity that is used
    binding: tuple[str, ...]  # what stands in the way, where something is unplaced


def read_plan(raw: bytes) -> Plan:
    """Raises ZonesError with the place."""
    try:
        plan = msgspec.json.decode(raw, type=Plan)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ZonesError(f"plan: {error}") from None
    for home, tiers in plan.tiers.items():
        for name in (home, *(name for tier in tiers for name in tier)):
            if name not in plan.zones:
                raise ZonesError(f"tiers.{home}: {name!r} is not under zones")
    for at, one in enumerate(plan.limits):
        for name in (one.home, one.target):
            if name not in plan.zones:
                raise ZonesError(f"limits[{at}]: {name!r} is not under zones")
    return plan


def losses(plan: Plan) -> list[tuple[str, ...]]:
    """Every loss of one zone, and of two where one is left."""
    names = sorted(plan.zones)
    found = [(name,) for name in names]
    return found + [pair for pair in combinations(names, 2) if len(names) > 2]


def solve(plan: Plan, lost: tuple[str, ...]) -> Loss:
    """The best spill for one loss."""
    left = [name for name in sorted(plan.zones) if name not in lost]
    pairs = [(home, to) for home in lost for to in left if _tier(plan, home, to) is not None]
    moving = {home: _work(plan, home, stay=False) for home in lost}
    own = {name: sum(plan.zones[name].demand.values()) for name in left}
    room = {name: max(0.0, plan.headroom * plan.zones[name].capacity - own[name]) for name in left}
    bounds = [(0.0, _most(plan, home, to)) for home, to in pairs] + [(0.0, None)] * len(lost)
    price = [float(_tier(plan, home, to)) for home, to in pairs] + [UNPLACED] * len(lost)
    # Each lost zone's work is placed or told as unplaced; no zone passes its headroom.
    equal = np.zeros((len(lost), len(price)))
    for row, home in enumerate(lost):
        equal[row] = [float(pair[0] == home) for pair in pairs] + [float(other == home) for other in lost]
    under = np.zeros((len(left), len(price)))
    for row, name in enumerate(left):
        under[row, : len(pairs)] = [float(to == name) for _, to in pairs]
    found = linprog(
        price,
        A_ub=under,
        b_ub=[room[name] for name in left],
        A_eq=equal,
        b_eq=[moving[home] for home in lost],
        bounds=bounds,
        method="highs",
    )
    if not found.success:
        raise ZonesError(f"plan: no solution for the loss of {', '.join(lost)}: {found.message}")
    flows = {pair: float(found.x[at]) for at, pair in enumerate(pairs) if found.x[at] > TIGHT}
    unplaced = {home: float(found.x[len(pairs) + at]) for at, home in enumerate(lost)}
    taken = {name: sum(flow for (_, to), flow in flows.items() if to == name) for name in left}
    binding = [f"headroom of {name}" for name in left if taken[name] >= room[name] - TIGHT]
    binding += [
        f"limit from {home} to {to}"
        for (home, to) in pairs
        if flows.get((home, to), 0.0) >= _most(plan, home, to) - TIGHT
    ]
    binding += [
        f"{home} has no zone left in its tiers" for home in lost if not any(pair[0] == home for pair in pairs)
    ]
    return Loss(
        lost,
        flows,
        unplaced,
        {home: _work(plan, home, stay=True) for home in lost},
        {name: (own[name] + taken[name]) / plan.zones[name].capacity for name in left},
        tuple(binding) if sum(unplaced.values()) > TIGHT else (),
    )


def zones_file(plan: Plan, found: list[Loss]) -> ZoneSettings:
    """The shares that serve the loss of any one zone, as the program reads them. Of the losses of two the
    file promises nothing beyond: a pair's share must never let more through than the headroom has."""
    shares: dict[tuple[str, str], float] = {}
    for loss in found:
        if len(loss.lost) == 1:
            for (home, to), flow in loss.flows.items():
                shares[home, to] = max(shares.get((home, to), 0.0), flow / plan.zones[to].capacity)
    return ZoneSettings(
        tiers=plan.tiers,
        spill_limits=[
            SpillLimit(home=home, target=to, share=min(1.0, round(share, 4)))
            for (home, to), share in sorted(shares.items())
        ],
        instances={name: zone.instances for name, zone in plan.zones.items()},
        capacity={name: zone.capacity for name, zone in plan.zones.items()},
        pinned_classes=plan.stay,
        recovery=plan.back,
    )


def too_much(plan: Plan, zones: ZoneSettings) -> list[str]:
    """What a zones file allows beyond the headroom if any one zone is lost, in words. Empty: nothing."""
    found = []
    for lost in sorted(plan.zones):
        for one in zones.spill_limits:
            if one.home == lost:
                zone = plan.zones[one.target]
                used = sum(zone.demand.values()) / zone.capacity + one.share
                if used > plan.headroom + TIGHT:
                    found.append(
                        f"the loss of {lost} may bring {one.target} to {used:.0%}, over {plan.headroom:.0%}"
                    )
    return found


def table(found: list[Loss]) -> str:
    """The plan for people to read."""
    lines = ["lost             from -> to         cores   load of the receiver"]
    for loss in found:
        name = "+".join(loss.lost)
        for (home, to), flow in sorted(loss.flows.items()):
            lines.append(f"{name:16} {home} -> {to:12} {flow:7.2f}   {loss.load[to]:.0%}")
        for home, work in loss.staying.items():
            if work > TIGHT:
                lines.append(f"{name:16} {home} -> nowhere      {work:7.2f}   classes that stay")
        for home, work in loss.unplaced.items():
            if work > TIGHT:
                lines.append(f"{name:16} {home}: {work:.2f} cores find no room: {'; '.join(loss.binding)}")
    return "\n".join(lines)


def _tier(plan: Plan, home: str, to: str) -> int | None:
    for at, tier in enumerate(plan.tiers.get(home, [[home]])):
        if to in tier:
            return at
    return None


def _work(plan: Plan, home: str, stay: bool) -> float:
    return sum(work for cls, work in plan.zones[home].demand.items() if (cls in plan.stay) is stay)


def _most(plan: Plan, home: str, to: str) -> float:
    """Cores that a pair may have at most."""
    share = next((one.share for one in plan.limits if (one.home, one.target) == (home, to)), 1.0)
    return share * plan.zones[to].capacity
