"""Checks the membership guarantees on a history: which members were reported dead, when, and whether rightly.

The views of members are read from their `view` events, and their final views from `held` events. A member
counts as reachable at a time if for the preceding `GRACE_SECONDS` it ran, was not paused, and was not cut
off, in either direction, from half or more of the other running members. The grace period allows for the time
in which the news of a return spreads.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from math import inf

from .history import History, max_count_in_window, quantile
from .membership_truth import GroundTruth

GRACE_SECONDS = 1.0
DETECTION_DEADLINE_SECONDS = 5.0  # others must detect a permanent end of a process within this time
CHANGE_MERGE_SECONDS = 0.5  # actual changes less than this apart count as one
RATE_WINDOW_SECONDS = 0.95  # covers the ten 0.1 s buckets of one second of recorded traffic
MAX_AGREEMENT_SECONDS = 3.0  # limit on the 99th percentile of the time until all others know of an end

# Maximum values of figures in each run.
COMMON_LIMITS = {
    "false_dead": 0,
    "missed": 0,
    "wrong_views": 0,
    "share_sum_max": 2,
    "bytes_s_max": 2000,
    "datagram_max": 256,
}


@dataclass(frozen=True)
class ObservedChange:
    """A change in an observer's view.

    Attributes:
        at: When the observer reported it, in seconds.
        name: The member that changed.
        change: `joined`, `restarted`, `died` or `left`.
    """

    at: float
    name: str
    change: str


@dataclass(frozen=True)
class FalseDeath:
    """A reachable member that an observer reported as dead or left, at a time in seconds."""

    at: float
    observer: str
    name: str


@dataclass
class DetectionTimes:
    """How soon others detected the members that were killed and not restarted soon.

    Attributes:
        first: Seconds until the first other member detected each end.
        last: Seconds until the last other member detected each end.
        missed: Number of pairs of a reachable member and an end that it never detected.
    """

    first: list[float] = field(default_factory=list)
    last: list[float] = field(default_factory=list)
    missed: int = 0


def compute_figures(history: History) -> dict:
    """Return the figures of a run, under the names that the harness prints them with."""
    truth = GroundTruth(history)
    joined_at = history.mark_time("joined") or 0.0
    end = max((event["at"] for event in history.events), default=0.0)
    detection = detection_times(history, truth, end)
    wrong_reports = false_deaths(history, truth)
    shares = [event["total"] for event in history.select("shares")]
    share_figures = {"share_sum_max": round(max(shares), 3)} if shares else {}
    return share_figures | {
        "members": len(truth.names),
        "false_dead": len(wrong_reports),
        "false_dead_members": len({death.name for death in wrong_reports}),
        "missed": detection.missed,
        "killed": len(detection.first),
        "detect_s": _percentiles(detection.first),
        "agree_s": _percentiles(detection.last),
        "view_changes": _max_view_changes(history, truth, joined_at),
        "view_changes_needed": _count_needed_changes(truth, joined_at),
        "rejoin_s": _percentiles(rejoin_times(history, truth)),
        "wrong_views": wrong_views(history, truth),
        "bytes_s_max": _max_bytes_per_second(history),
        "datagram_max": max((event["most"] for event in history.select("sent")), default=0),
        "datagrams_s_max": _max_datagrams_per_second(history),
    }


def violated_limits(run_figures: dict, limits: dict[str, float]) -> list[str]:
    """Return a line for each limit, from `COMMON_LIMITS` or `limits`, that the figures of a run exceed."""
    exceeded = [
        f"{name}: {run_figures[name]}, over {limit:g}"
        for name, limit in (COMMON_LIMITS | limits).items()
        if run_figures.get(name, 0) > limit
    ]
    if run_figures["agree_s"]["p99"] > MAX_AGREEMENT_SECONDS:
        exceeded.append(f"agree_s: p99 {run_figures['agree_s']['p99']}")
    return exceeded


def false_deaths(history: History, truth: GroundTruth) -> list[FalseDeath]:
    """Return the reports by which an observer declared a reachable member dead or left."""
    clean_ends = [end for end in truth.ends if end.how == "term"]
    deaths = []
    for observer, changes in _changes_by_observer(history).items():
        for observed in changes:
            # A member announces that it leaves before its process ends.
            is_leave = observed.change == "left" and any(
                end.name == observed.name
                and end.at - DETECTION_DEADLINE_SECONDS <= observed.at <= end.at + DETECTION_DEADLINE_SECONDS
                for end in clean_ends
            )
            if is_leave or observed.change not in ("died", "left"):
                continue
            if truth.is_reachable(observed.name, observed.at - GRACE_SECONDS, observed.at):
                deaths.append(FalseDeath(observed.at, observer, observed.name))
    return deaths


def detection_times(history: History, truth: GroundTruth, end: float) -> DetectionTimes:
    """Return how soon others detected the members that were killed and not restarted soon."""
    detection = DetectionTimes()
    changes = _changes_by_observer(history)
    for process_end in truth.ends:
        until = min(process_end.restarted_at, end)
        if process_end.how != "kill" or until - process_end.at < DETECTION_DEADLINE_SECONDS:
            continue
        delays = []
        for observer in truth.names:
            if observer == process_end.name or not truth.is_reachable(observer, process_end.at, until):
                continue
            deaths = (
                observed.at - process_end.at
                for observed in changes[observer]
                if observed.name == process_end.name
                and observed.change == "died"
                and process_end.at <= observed.at <= until
            )
            delay = next(deaths, None)
            if delay is None:
                detection.missed += 1
            else:
                delays.append(delay)
        if delays:
            detection.first.append(min(delays))
            detection.last.append(max(delays))
    return detection


def rejoin_times(history: History, truth: GroundTruth) -> list[float]:
    """Return the times until observers saw a member that they had reported dead or left alive again.

    They count, in seconds, from the return of the member or, if that is later, from the report of its death.
    """
    returned_at: dict[str, list[float]] = defaultdict(list)
    for member_return in truth.returns():
        returned_at[member_return.name].append(member_return.at)
    durations = []
    for changes in _changes_by_observer(history).values():
        dead_since: dict[str, float] = {}
        for observed in changes:
            if observed.change in ("died", "left"):
                dead_since[observed.name] = observed.at
            elif observed.name in dead_since:
                since = dead_since.pop(observed.name)
                index = bisect_right(returned_at[observed.name], observed.at)
                if index:
                    durations.append(observed.at - max(since, returned_at[observed.name][index - 1]))
    return durations


def wrong_views(history: History, truth: GroundTruth) -> int:
    """Return how many living members have a final view that differs from the set of living members."""
    last_views = {event["who"]: event for event in history.select("held")}
    return sum(
        event["view"] is None or set(event["view"]) != truth.alive(event["at"])
        for name, event in last_views.items()
        if name in truth.alive(event["at"])
    )


def _changes_by_observer(history: History) -> dict[str, list[ObservedChange]]:
    changes_by_observer: dict[str, list[ObservedChange]] = defaultdict(list)
    for event in history.select("view"):
        changes_by_observer[event["who"]] += [
            ObservedChange(event["at"], name, change) for name, change in event["changes"]
        ]
    return changes_by_observer


def _max_view_changes(history: History, truth: GroundTruth, since: float) -> int:
    counts = dict.fromkeys(truth.names, 0)
    for event in history.select("view", since=since):
        counts[event["who"]] += 1
    return max(counts.values(), default=0)


def _count_needed_changes(truth: GroundTruth, since: float) -> int:
    """Return the number of changes in the set of living members; changes close together count as one."""
    times = sorted(change.at for change in (*truth.ends, *truth.starts) if change.at > since)
    return sum(1 for at, before in zip(times, [-inf, *times]) if at - before > CHANGE_MERGE_SECONDS)


def _percentiles(values: list[float]) -> dict[str, float]:
    return {
        "p50": round(quantile(values, 0.5), 2),
        "p99": round(quantile(values, 0.99), 2),
        "max": round(max(values, default=0.0), 2),
    }


def _max_bytes_per_second(history: History) -> int:
    """Return the maximum number of bytes that any member sent in a second."""
    return max((_max_bytes_in_window(events) for events in history.by_process("sent").values()), default=0)


def _max_bytes_in_window(events: list[dict]) -> int:
    max_total = 0
    total = 0
    first = 0
    for event in events:
        total += event["bytes"]
        while events[first]["at"] <= event["at"] - RATE_WINDOW_SECONDS:
            total -= events[first]["bytes"]
            first += 1
        max_total = max(max_total, total)
    return max_total


def _max_datagrams_per_second(history: History) -> int:
    """Return the maximum number of datagrams that any member sent in a second."""
    times_by_member = (
        [event["at"] for event in events for _ in range(event["count"])]
        for events in history.by_process("sent").values()
    )
    return max((max_count_in_window(times, RATE_WINDOW_SECONDS) for times in times_by_member), default=0)
