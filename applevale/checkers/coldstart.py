"""Checks the history of a fleet that starts cold or loses the registry."""

from __future__ import annotations

from collections import defaultdict
from math import inf

from .drains import MAX_DRAIN_LAG_SECONDS, Drain, ListingChange, find_drains
from .history import DISTANT_PAST, History, max_count_in_window, quantile

SESSIONS_AFTER_BREAK_SECONDS = 8.0  # period after an outage in which new sessions are counted
MIN_OVERLAP_SECONDS = 0.001  # shorter overlaps of two reads are ignored

# Figures on requests that must be 0 in each run.
REQUEST_ZERO_FIGURES = ("lost_requests", "answered_twice", "loads_twice", "order_breaks")
# All figures that must be 0 in each run, whatever the scenario.
ZERO_FIGURES = (
    "ready_early",
    "questions_on_top",
    "engines_fallen",
    "missed_drains",
    "wrong_lists",
    *REQUEST_ZERO_FIGURES,
)


def find_history_drains(history: History) -> list[Drain]:
    """Return all drains and deletions of engines, in the order of their ends."""
    arrivals = defaultdict(list)
    for event in history.select("arrival"):
        arrivals[event["engine"]].append(event["at"])
    changes = (
        ListingChange(event["at"], event["key"], event["address"] if event["state"] == "ready" else None)
        for event in history.select("commit")
    )
    return find_drains(changes, arrivals)


def count_overlapping_reads(history: History) -> int:
    """Count the short reads that began while another read was in flight on the same connection."""
    count = 0
    busy_until: dict[object, float] = {}
    for event in history.select("read"):
        if event["whole"]:
            continue
        previous_end = busy_until.get(event["caller"], 0.0)
        count += event["at"] < previous_end - MIN_OVERLAP_SECONDS
        busy_until[event["caller"]] = max(previous_end, event["out"])
    return count


def count_early_readiness(history: History) -> int:
    """Count the starts after which an instance was ready before the registry had answered one of its reads.

    A full read counts as well as a short one, which confirms the stored list.
    """
    count = 0
    for name, events in history.by_process("launched", "ready", "read").items():
        answered_at = [event["out"] for event in events if event["event"] == "read" and event["answered"]]
        launched_at = 0.0
        for event in events:
            if event["event"] == "launched":
                launched_at = event["at"]
            elif event["event"] == "ready" and event["ready"] and name != "other":
                count += not any(launched_at <= at <= event["at"] for at in answered_at)
                launched_at = DISTANT_PAST  # Only the first readiness after a start is checked.
    return count


def count_full_reads(history: History, until: float) -> list[int]:
    """Return the number of answered full reads for each start of each instance."""
    counts = []
    for events in history.by_process("launched", "read", until=until).values():
        count = 0
        for event in events:
            if event["event"] == "launched":
                counts.append(count)
                count = 0
            else:
                count += event["whole"] and event["answered"]
        counts.append(count)
    return counts


def count_unconfirmed_lists(history: History, since: float, until: float) -> int:
    """Count the lists that were unconfirmed at `since`, and how often a list became so before `until`."""
    confirmed_before: dict[str, bool] = {}
    count = 0
    for event in history.select("list", "ended", until=until):
        if event["event"] == "ended":
            confirmed_before.pop(event["who"], None)
        elif event["at"] < since:
            confirmed_before[event["who"]] = event["confirmed"]
        else:
            count += not event["confirmed"]
    return count + sum(not confirmed for confirmed in confirmed_before.values())


def total_unconfirmed_seconds(history: History) -> float:
    """Return the total time for which lists were unconfirmed, in seconds over all instances."""
    total = 0.0
    unconfirmed_since: dict[str, float] = {}
    for event in history.select("list", "ended"):
        since = unconfirmed_since.pop(event["who"], None)
        if since is not None:
            total += event["at"] - since
        if event["event"] == "list" and not event["confirmed"]:
            unconfirmed_since[event["who"]] = event["at"]
    return total


def count_left_sessions(history: History, since: float, until: float) -> int:
    """Count the sessions that were open at `since` and had ended by `until`."""
    open_sessions = set()
    for event in history.select("session", "session_end", until=since):
        if event["event"] == "session":
            open_sessions.add(event["caller"])
        else:
            open_sessions.discard(event["caller"])
    ended = {event["caller"] for event in history.select("session_end", since=since, until=until)}
    return len(open_sessions & ended)


def max_open_sessions(history: History) -> int:
    """Return the maximum number of sessions open at once."""
    open_count = 0
    max_open_count = 0
    for event in history.select("session", "session_end"):
        open_count += 1 if event["event"] == "session" else -1
        max_open_count = max(max_open_count, open_count)
    return max_open_count


def compute_figures(history: History) -> dict:
    """Return the figures of a run, under the names that the harness prints them with."""
    return _start_figures(history) | _drain_figures(history) | _outage_figures(history)


def _start_figures(history: History) -> dict:
    break_at = history.mark_time("break")
    rest_at = history.mark_time("rest") or inf
    read_times = [event["at"] for event in history.select("read")]
    ready = _ready_seconds(history)
    connects = defaultdict(list)
    for event in history.select("connect"):
        connects[event["engine"]].append(event["at"])
    full = count_full_reads(history, break_at or inf)
    return {
        "ready": len(ready),
        "ready_s": {
            "p50": round(quantile(ready, 0.5), 2),
            "p99": round(quantile(ready, 0.99), 2),
            "max": round(max(ready, default=0.0), 2),
        },
        "ready_early": count_early_readiness(history),
        "full_reads": sum(full),
        "full_reads_most": max(full, default=0),
        "reads_until_rest": sum(at < rest_at for at in read_times),
        "sessions": sum(1 for _ in history.select("session", until=rest_at)),
        "list_reads_s_max": max_count_in_window(read_times, 1.0),
        "list_connections_max": max_open_sessions(history),
        "questions_on_top": count_overlapping_reads(history),
        "connects_per_engine_s_max": max(
            (max_count_in_window(times, 1.0) for times in connects.values()), default=0
        ),
        "engines_fallen": sum(1 for _ in history.select("fell")),
    }


def _ready_seconds(history: History) -> list[float]:
    """Return how long after the launch each instance was first ready, in seconds.

    If no instance reports its readiness, the first confirmed list of each instance counts instead.
    """
    launched = history.mark_time("launched") or 0.0
    has_ready_events = any(history.select("ready"))
    ready: dict[str, float] = {}
    for event in history.select("ready", "list"):
        if event.get("ready") or (event.get("confirmed") and not has_ready_events):
            ready.setdefault(event["who"], event["at"] - launched)
    return list(ready.values())


def _drain_figures(history: History) -> dict:
    lags = [drain.lag for drain in find_history_drains(history)]
    return {
        "drains": len(lags),
        "drain_lag_ms": {
            "p50": round(quantile(lags, 0.5) * 1000, 1),
            "max": round(max(lags, default=0.0) * 1000, 1),
        },
        "missed_drains": sum(lag > MAX_DRAIN_LAG_SECONDS for lag in lags),
        "stale_s": round(total_unconfirmed_seconds(history), 2),
    }


def _outage_figures(history: History) -> dict:
    """Return the figures of the phases between marks, for the marks that the script reached."""
    rest_at = history.mark_time("rest")
    rest_end = history.mark_time("rest_end")
    slow_at = history.mark_time("slow")
    slow_end = history.mark_time("slow_end")
    break_at = history.mark_time("break")
    break_end = history.mark_time("break_end")
    read_times = [event["at"] for event in history.select("read")]
    measured = {}
    if rest_at is not None and rest_end is not None:
        steady_rate = sum(rest_at <= at < rest_end for at in read_times) / (rest_end - rest_at)
        measured["list_reads_s_steady"] = round(steady_rate, 1)
        measured["unconfirmed_at_rest"] = count_unconfirmed_lists(history, rest_at, rest_end)
    if slow_at is not None and slow_end is not None:
        measured["sessions_left"] = count_left_sessions(history, slow_at, slow_end)
    if break_at is not None and break_end is not None:
        counted_until = break_end + SESSIONS_AFTER_BREAK_SECONDS
        sessions = history.select("session", since=break_end, until=counted_until)
        measured["reads_after_break"] = sum(break_end <= at < break_end + 1 for at in read_times)
        measured["sessions_after_break"] = sum(1 for _ in sessions)
    return measured


def violated_limits(run_figures: dict, instance_count: int, limits: dict[str, float]) -> list[str]:
    """Describe the limits that a run exceeded.

    Args:
        run_figures: The result of `compute_figures`.
        instance_count: Number of instances that must be ready.
        limits: Maximum value of each figure, in addition to `ZERO_FIGURES`.

    Returns:
        One text for each exceeded limit; empty if the run kept all limits.
    """
    missed = [f"{name}: {run_figures[name]}" for name in ZERO_FIGURES if run_figures.get(name, 0)]
    for name, limit in limits.items():
        if name not in run_figures:
            missed.append(f"{name}: not measured")
        elif run_figures[name] > limit:
            missed.append(f"{name}: {run_figures[name]}, over {limit:g}")
    if run_figures["ready"] < instance_count:
        missed.append(f"ready: {run_figures['ready']} of {instance_count}")
    return missed
