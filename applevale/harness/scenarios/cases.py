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


def _no_bars(found: dict, nodes: int) -> dict[str, float]:
    return {}


@dataclass(frozen=True)
class Case:
    """A scenario and its bars.

    Attributes:
        play: What happens.
        bars: Returns the figures that have a bar and the most that each may be, from all figures and the
            number of instances.
        plan: The fields of the plan that differ from the usual.
    """

    play: Play
    bars: Callable[[dict, int], dict[str, float]] = _no_bars
    plan: dict = field(default_factory=dict)


def _coldstart_bars(found: dict, nodes: int) -> dict[str, float]:
    return {
        "sessions": MAX_SESSIONS_PER_INSTANCE * nodes,
        "sessions_after_break": MAX_SESSIONS_PER_INSTANCE * nodes,
        "full_reads_most": 1,
        "list_reads_s_steady": 5 * nodes,
        "unconfirmed_at_rest": 0,
        "reads_after_break": found.get("list_reads_s_steady", 0),
        "connects_per_engine_s_max": MAX_CONNECTS_PER_ENGINE,
    }


def _calm_bars(found: dict, nodes: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0, "full_reads_most": 1, "sessions": MAX_SESSIONS_PER_INSTANCE * nodes}


def _slow_bars(found: dict, nodes: int) -> dict[str, float]:
    return _calm_bars(found, nodes) | {"sessions_left": 0}


def _rest_bars(found: dict, nodes: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0}


def _connect_bars(found: dict, nodes: int) -> dict[str, float]:
    return {"connects_per_engine_s_max": MAX_CONNECTS_PER_ENGINE}


def _outage_bars(found: dict, nodes: int) -> dict[str, float]:
    return _calm_bars(found, nodes) | {
        "sessions_after_break": MAX_SESSIONS_PER_INSTANCE * nodes,
        "reads_after_break": found.get("list_reads_s_steady", 0),
    }


CASES: dict[str, Case] = {
    "coldstart": Case(coldstart, _coldstart_bars),
    "late-service": Case(late_service, lambda found, nodes: {"unconfirmed_at_rest": 0, "full_reads_most": 1}),
    "restart": Case(restart, _calm_bars),
    "scarce": Case(scarce, lambda found, nodes: {"full_reads_most": 1}),
    "slow-200": Case(slow_registry(0.2), _slow_bars),
    "slow-400": Case(slow_registry(0.4), _slow_bars),
    "slow-member": Case(slow_member, _calm_bars),
    "restore": Case(restore, _rest_bars),
    "cut-third": Case(cut_third, _calm_bars, {"gates": True}),
    "crash-loop": Case(crash_loop, _calm_bars),
    "rolling": Case(rolling, _calm_bars),
    "cold-site": Case(
        cold_site,
        _connect_bars,
        {"engines": 30, "cold": 30, "clients": 4.0},
    ),
    "cold-push": Case(
        cold_push, lambda found, nodes: {"pushed_most": 1}, {"engines": 6, "cold": 6, "clients": 10.0}
    ),
    "eager": Case(eager, _rest_bars, {"eager": True}),
    "away": Case(away, _outage_bars),
    "snapshots": Case(
        snapshots,
        lambda found, nodes: {"unconfirmed_at_rest": 0, "full_reads": 1.02 * nodes, "full_reads_most": 1},
        {"snapshot": True},
    ),
    "schedule": Case(schedule, _no_bars, {"gates": True}),
    "engines-cut": Case(engines_cut, _connect_bars, {"gates": True}),
}

MEMBERSHIP_PLAN = {"members": True, "clients": 1.0}
CASES |= {
    name if name == "membership" else f"members-{name}": Case(membership_play(name), plan=MEMBERSHIP_PLAN)
    for name in SCENARIOS
}
