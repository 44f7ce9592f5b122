"""The cases of the fleet harness, each a scenario with limits on the figures of its run."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ...fault_injection.scenarios import SCENARIOS
from ..fleet import Fleet
from .instance_scenarios import (
    cold_site_start,
    crash_loop,
    cut_off_third,
    engine_network_outage,
    membership_scenario,
    overload_cold_engines,
    resend_rejected_requests,
    restart_from_snapshots,
    rolling_restart,
    scheduled_faults,
)
from .registry_scenarios import (
    cold_start,
    late_registry,
    long_registry_outage,
    restart_registry,
    restore_registry,
    scarce_registry_reads,
    slow_registry,
    slow_registry_member,
)

Scenario = Callable[[Fleet], Awaitable[None]]

MAX_SESSIONS_PER_INSTANCE = 1.05
MAX_FULL_READS_PER_INSTANCE_WITH_SNAPSHOT = 1.02
MAX_LIST_READS_PER_INSTANCE_PER_SECOND = 5
MAX_CONNECTS_PER_ENGINE_PER_SECOND = 20


def _no_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return {}


@dataclass(frozen=True)
class Case:
    """A scenario with the limits on its figures.

    Attributes:
        scenario: Drives a started fleet whose instances have not been launched.
        limits: Returns the greatest permitted values by figure, given all figures and the number of
            instances.
        plan: The fields of the fleet plan that the case sets.
    """

    scenario: Scenario
    limits: Callable[[dict, int], dict[str, float]] = _no_limits
    plan: dict = field(default_factory=dict)


def _cold_start_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return {
        "sessions": MAX_SESSIONS_PER_INSTANCE * instance_count,
        "sessions_after_break": MAX_SESSIONS_PER_INSTANCE * instance_count,
        "full_reads_most": 1,
        "list_reads_s_steady": MAX_LIST_READS_PER_INSTANCE_PER_SECOND * instance_count,
        "unconfirmed_at_rest": 0,
        "reads_after_break": figures.get("list_reads_s_steady", 0),
        "connects_per_engine_s_max": MAX_CONNECTS_PER_ENGINE_PER_SECOND,
    }


def _common_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return {
        "unconfirmed_at_rest": 0,
        "full_reads_most": 1,
        "sessions": MAX_SESSIONS_PER_INSTANCE * instance_count,
    }


def _slow_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return _common_limits(figures, instance_count) | {"sessions_left": 0}


def _snapshot_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return {
        "unconfirmed_at_rest": 0,
        "full_reads": MAX_FULL_READS_PER_INSTANCE_WITH_SNAPSHOT * instance_count,
        "full_reads_most": 1,
    }


def _rest_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0}


def _connect_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return {"connects_per_engine_s_max": MAX_CONNECTS_PER_ENGINE_PER_SECOND}


def _outage_limits(figures: dict, instance_count: int) -> dict[str, float]:
    return _common_limits(figures, instance_count) | {
        "sessions_after_break": MAX_SESSIONS_PER_INSTANCE * instance_count,
        "reads_after_break": figures.get("list_reads_s_steady", 0),
    }


CASES: dict[str, Case] = {
    "coldstart": Case(cold_start, _cold_start_limits),
    "late-service": Case(
        late_registry, lambda figures, instance_count: {"unconfirmed_at_rest": 0, "full_reads_most": 1}
    ),
    "restart": Case(restart_registry, _common_limits),
    "scarce": Case(scarce_registry_reads, lambda figures, instance_count: {"full_reads_most": 1}),
    "slow-200": Case(slow_registry(0.2), _slow_limits),
    "slow-400": Case(slow_registry(0.4), _slow_limits),
    "slow-member": Case(slow_registry_member, _common_limits),
    "restore": Case(restore_registry, _rest_limits),
    "cut-third": Case(cut_off_third, _common_limits, {"with_proxies": True}),
    "crash-loop": Case(crash_loop, _common_limits),
    "rolling": Case(rolling_restart, _common_limits),
    "cold-site": Case(
        cold_site_start,
        _connect_limits,
        {"engine_count": 30, "cold_engine_count": 30, "requests_per_second": 4.0},
    ),
    "cold-push": Case(
        overload_cold_engines,
        lambda figures, instance_count: {"pushed_most": 1},
        {"engine_count": 6, "cold_engine_count": 6, "requests_per_second": 10.0},
    ),
    "eager": Case(resend_rejected_requests, _rest_limits, {"resend_rejected": True}),
    "away": Case(long_registry_outage, _outage_limits),
    "snapshots": Case(
        restart_from_snapshots,
        _snapshot_limits,
        {"store_snapshots": True},
    ),
    "schedule": Case(scheduled_faults, _no_limits, {"with_proxies": True}),
    "engines-cut": Case(engine_network_outage, _connect_limits, {"with_proxies": True}),
}

MEMBERSHIP_PLAN = {"with_membership": True, "requests_per_second": 1.0}
CASES |= {
    name if name == "membership" else f"members-{name}": Case(membership_scenario(name), plan=MEMBERSHIP_PLAN)
    for name in SCENARIOS
}
