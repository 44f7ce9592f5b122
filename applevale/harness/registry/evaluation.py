"""Evaluation of a run of the registry harness: drains, violations, figures and a failure report."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator, Sequence

from ...api import EngineState
from ...checkers.coldstart import REQUEST_ZERO_FIGURES
from ...checkers.drains import MAX_DRAIN_LAG_SECONDS, Drain, ListingChange, find_drains
from ...checkers.history import quantile
from ...discovery.registry.records import RecordError, read_record
from ...fakes.key_value_store import Commit, KeyValueStore
from ...net.addresses import format_address
from ..request_rules import count_violations
from .engine_list import ATTRIBUTE_NAMES
from .environment import ScenarioEnvironment

REPORTED_SECONDS_BEFORE_LATE_DRAIN = 3.0
REPORTED_SECONDS_BEFORE_WRONG_LIST = 5.0
MAX_REPORT_TEXT_LENGTH = 140
VIOLATIONS = ("missed_drains", "wrong_lists", *REQUEST_ZERO_FIGURES)  # figures that must be 0
REGISTRY_COUNTERS = (
    "full_reads",
    "resumes",
    "breaks",
    "stalls",
    "compactions",
    "lagging",
    "restored",
    "refused",
    "duplicates",
    "stale",
    "stale_ms",
)


def environment_drains(environment: ScenarioEnvironment) -> list[Drain]:
    """Return the drains and deletions of a run. Registry and engines use the same clock."""
    arrivals = {
        format_address(engine.address): [arrival.received_at for arrival in engine.arrivals]
        for engine in environment.fake_engines
    }
    return find_drains(_listing_changes(environment.store), arrivals)


def _listing_changes(store: KeyValueStore) -> Iterator[ListingChange]:
    """Iterate over the commits, without those of malformed records, which change nothing."""
    for commit in store.commits:
        try:
            ready_address = _ready_address(commit)
        except RecordError:
            continue
        yield ListingChange(commit.committed_at, commit.version.key.decode(), ready_address)


def _ready_address(commit: Commit) -> str | None:
    if commit.version.value is None:
        return None
    endpoint = read_record(commit.version.value, ATTRIBUTE_NAMES)
    return format_address(endpoint.address) if endpoint.entry.state is EngineState.READY else None


def print_failure_report(environment: ScenarioEnvironment) -> None:
    """Print to standard error the events before each late drain and each wrong list."""
    periods = [
        (drain.committed_at - REPORTED_SECONDS_BEFORE_LATE_DRAIN, drain.last_arrival)
        for drain in environment_drains(environment)
        if drain.lag > MAX_DRAIN_LAG_SECONDS
    ]
    periods += [
        (event.at - REPORTED_SECONDS_BEFORE_WRONG_LIST, event.at)
        for event in environment.events
        if event.text.startswith("wrong list")
    ]
    for start, end in periods:
        print("\n".join(["", *_events_between(environment, start, end)]), file=sys.stderr)


def _events_between(environment: ScenarioEnvironment, start: float, end: float) -> list[str]:
    """Return a line for each event of the script and each commit from `start` to `end`."""
    events = [(event.at, event.text) for event in environment.events]
    events += [(commit.committed_at, _describe_commit(commit)) for commit in environment.store.commits]
    return [
        f"{environment.kind} {at:.3f} {text[:MAX_REPORT_TEXT_LENGTH]}"
        for at, text in sorted(events)
        if start <= at <= end
    ]


def _describe_commit(commit: Commit) -> str:
    version = commit.version
    return f"commit {version.revision} {version.key} {version.value or 'deleted'}"


def run_figures(environments: Sequence[ScenarioEnvironment], counters: Sequence[dict]) -> dict:
    """Return the figures of a run, summed over its environments.

    Args:
        environments: The environments, all stopped.
        counters: The last counters of the application in each of them.
    """
    lags = [drain.lag for environment in environments for drain in environment_drains(environment)]
    violations: Counter = Counter()
    totals: Counter = Counter()
    for environment, counts in zip(environments, counters):
        violations += count_violations(environment.clients, environment.fake_engines)
        totals += environment.figures
        totals.update({name: count for name, count in counts.items() if isinstance(count, int)})
    return {
        "drains": len(lags),
        "drain_lag_ms": _lag_figures(lags),
        "missed_drains": sum(lag > MAX_DRAIN_LAG_SECONDS for lag in lags),
        "wrong_lists": totals["wrong_lists"],
        **{name: violations[name] for name in REQUEST_ZERO_FIGURES},
        "requests": sum(len(environment.clients.sent_requests) for environment in environments),
        "served": totals["answered_served"],
        "held": totals["unconfirmed"],
        "failures": totals["failures"],
        "quiet_points": totals["quiet_points"],
        **{name: totals[f"registry_{name}"] for name in REGISTRY_COUNTERS},
    }


def _lag_figures(lags: list[float]) -> dict[str, float]:
    figures = {
        "p50": quantile(lags, 0.5),
        "p99": quantile(lags, 0.99),
        "max": max(lags, default=0.0),
    }
    return {name: round(lag * 1000, 1) for name, lag in figures.items()}


def has_passed(figures: dict) -> bool:
    """Return whether the run had drains and violated no guarantee."""
    return figures["drains"] > 0 and not any(figures[name] for name in VIOLATIONS)
