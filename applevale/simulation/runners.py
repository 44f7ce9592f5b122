"""The state machines that experiments can run, by their names in an experiment file."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..checkers import membership as membership_checker
from ..checkers.history import History
from ..fault_injection.scenarios import SCENARIOS
from .experiment import Runner
from .membership import VERSIONS, SimulatedFleet
from .results import ExperimentError

# From this size on, all members know each other from the start: the cost of joining grows with its square.
MIN_START_JOINED_FLEET = 500

# The fields of ProtocolConfig and SuspicionTimeouts, by the keys of an experiment's settings.
CONFIG_FIELDS = {
    "probe": "probe_interval",
    "again": "retry_after",
    "ask": "indirect_probe_after",
    "end": "probe_timeout",
    "tried": "helper_probe_timeout",
    "helpers": "helper_count",
    "share": "min_relayed_observers",
    "checkers": "verifier_count",
    "look": "verification_interval",
    "last": "final_check_lead",
    "few": "max_final_check_fleet",
    "join": "join_wait",
    "join_alone": "join_timeout",
    "paused": "pause_threshold",
    "late": "delay_threshold",
    "calm": "quiet_period",
    "alone": "isolation_timeout",
    "unheard": "unanswered_timeout",
    "gather": "batch_window",
    "knock": "join_rate",
    "most_knocks": "max_join_rate",
    "repair": "sync_interval",
    "raised": "refutation_interval",
    "heartbeats": "heartbeat_interval",
    "doubt": "min_false_suspicions",
    "self_look": "monitors_itself",
}
TIMEOUT_FIELDS = {
    "need": "required_observers",
    "many": "fast_observers",
    "least": "min_timeout",
    "most": "max_timeout",
}


def run_membership(
    version: str, settings: dict[str, float], size: int, case: str, seed: int
) -> dict[str, float]:
    """Run a scenario on a simulated fleet, and return the figures by name.

    Args:
        version: A key of `VERSIONS`, optionally followed by a colon and any text.
        settings: Parameters that replace those of the version, by the keys of `CONFIG_FIELDS` and
            `TIMEOUT_FIELDS`.
        size: Number of members.
        case: Name of the scenario.
        seed: Seed of all random draws.
    """
    config = VERSIONS[version.partition(":")[0]]
    changed_timeouts = {TIMEOUT_FIELDS[key]: settings[key] for key in settings if key in TIMEOUT_FIELDS}
    changes = {CONFIG_FIELDS[key]: settings[key] for key in settings if key in CONFIG_FIELDS}
    config = replace(config, timeouts=replace(config.timeouts, **changed_timeouts), **changes)
    fleet = SimulatedFleet(size, seed, config, start_joined=size >= MIN_START_JOINED_FLEET)
    return _flatten(membership_checker.compute_figures(History(fleet.run(case))))


def _flatten(figures: dict) -> dict[str, float]:
    flat: dict[str, float] = {}
    for name, value in figures.items():
        if isinstance(value, dict):
            flat |= {f"{name}_{part}": part_value for part, part_value in value.items()}
        else:
            flat[name] = value
    return flat


def check_membership(versions: dict[str, dict[str, float]], cases: list[str]) -> None:
    """Check the versions, settings and scenarios of an experiment.

    Raises:
        ExperimentError: One of them does not exist.
    """
    for name, settings in versions.items():
        if name.partition(":")[0] not in VERSIONS:
            raise ExperimentError(f"versions: {name!r} is unknown; expected one of: {', '.join(VERSIONS)}")
        for key in settings:
            if key not in TIMEOUT_FIELDS and key not in CONFIG_FIELDS:
                known_keys = ", ".join((*CONFIG_FIELDS, *TIMEOUT_FIELDS))
                raise ExperimentError(
                    f"versions.{name}: the setting {key!r} is unknown; expected one of: {known_keys}"
                )
    for case in cases:
        if case not in SCENARIOS or case == "upgrade":
            raise ExperimentError(f"cases: {case!r} is unknown, or not supported by the simulation")


@dataclass(frozen=True)
class StateMachine:
    """A state machine that experiments can run.

    Attributes:
        run: Performs one run and returns its figures.
        check: Checks versions and cases; raises `ExperimentError` if one is invalid.
    """

    run: Runner
    check: Callable[[dict[str, dict[str, float]], list[str]], None]


RUNNERS = {"membership": StateMachine(run_membership, check_membership)}
