"""The cases of the fleet harness: a scenario each, and the most that each figure may be."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ...fault_injection.scenarios import SCENARIOS
from ..fleet import Fleet
from .instance_plays import (
    cold_push,
    cold_site,
    crash_loop,
    cut_third,
    eager,
    engines_cut,
    membership_play,
    rolling,
    schedule,
    snapshots,
)
from .registry_plays import (
    away,
    coldstart,
    late_service,
    restart,
    restore,
    scarce,
    slow_member,
    slow_registry,
)

Play = Callable[[Fleet], Awaitable[None]]

MAX_SESSIONS_PER_INSTANCE = 1.05
MAX_CONNECTS_PER_ENGINE = 20  # within any second


def _no_limits(figures: dict, nodes: int) -> dict[str, float]:
    return {}


@dataclass(frozen=True)
class Case:
    """A scenario and its limits.

    Attributes:
        play: What happens.
        limits: Returns the greatest value that each limited figure may have, from all figures and the number
            of instances.
        plan: The fields of the plan that differ from the usual.
    """

    play: Play
    limits: Callable[[dict, int], dict[str, float]] = _no_limits
    plan: dict = field(default_factory=dict)


def _coldstart_limits(figures: dict, nodes: int) -> dict[str, float]:
    return {
        "sessions": MAX_SESSIONS_PER_INSTANCE * nodes,
        "sessions_after_break": MAX_SESSIONS_PER_INSTANCE * nodes,
        "full_reads_most": 1,
        "list_reads_s_steady": 5 * nodes,
        "unconfirmed_at_rest": 0,
        "reads_after_break": figures.get("list_reads_s_steady", 0),
        "connects_per_engine_s_max": MAX_CONNECTS_PER_ENGINE,
    }


def _calm_limits(figures: dict, nodes: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0, "full_reads_most": 1, "sessions": MAX_SESSIONS_PER_INSTANCE * nodes}


def _slow_limits(figures: dict, nodes: int) -> dict[str, float]:
    return _calm_limits(figures, nodes) | {"sessions_left": 0}


def _rest_limits(figures: dict, nodes: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0}


def _connect_limits(figures: dict, nodes: int) -> dict[str, float]:
    return {"connects_per_engine_s_max": MAX_CONNECTS_PER_ENGINE}


def _outage_limits(figures: dict, nodes: int) -> dict[str, float]:
    return _calm_limits(figures, nodes) | {
        "sessions_after_break": MAX_SESSIONS_PER_INSTANCE * nodes,
        "reads_after_break": figures.get("list_reads_s_steady", 0),
    }


CASES: dict[str, Case] = {
    "coldstart": Case(coldstart, _coldstart_limits),
    "late-service": Case(
        late_service, lambda figures, nodes: {"unconfirmed_at_rest": 0, "full_reads_most": 1}
    ),
    "restart": Case(restart, _calm_limits),
    "scarce": Case(scarce, lambda figures, nodes: {"full_reads_most": 1}),
    "slow-200": Case(slow_registry(0.2), _slow_limits),
    "slow-400": Case(slow_registry(0.4), _slow_limits),
    "slow-member": Case(slow_member, _calm_limits),
    "restore": Case(restore, _rest_limits),
    "cut-third": Case(cut_third, _calm_limits, {"gates": True}),
    "crash-loop": Case(crash_loop, _calm_limits),
    "rolling": Case(rolling, _calm_limits),
    "cold-site": Case(
        cold_site,
        _connect_limits,
        {"engines": 30, "cold": 30, "clients": 4.0},
    ),
    "cold-push": Case(
        cold_push, lambda figures, nodes: {"pushed_most": 1}, {"engines": 6, "cold": 6, "clients": 10.0}
    ),
    "eager": Case(eager, _rest_limits, {"eager": True}),
    "away": Case(away, _outage_limits),
    "snapshots": Case(
        snapshots,
        lambda figures, nodes: {"unconfirmed_at_rest": 0, "full_reads": 1.02 * nodes, "full_reads_most": 1},
        {"snapshot": True},
    ),
    "schedule": Case(schedule, _no_limits, {"gates": True}),
    "engines-cut": Case(engines_cut, _connect_limits, {"gates": True}),
}

MEMBERSHIP_PLAN = {"members": True, "clients": 1.0}
CASES |= {
    name if name == "membership" else f"members-{name}": Case(membership_play(name), plan=MEMBERSHIP_PLAN)
    for name in SCENARIOS
}
