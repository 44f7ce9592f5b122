"""Checks the guarantees of membership on a history: who was held dead, when, and whether that was true.

What members held is read from their `view` events, and at the end from `held`. A member counts as reachable
at a time if for `GRACE_SECONDS` before it ran, was not paused, and was cut off in neither direction from most
of the others that ran: the news of a return have to spread.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from math import inf

from .history import History, max_in_window, quantile
from .membership_truth import GroundTruth

GRACE_SECONDS = 1.0
KNOWN_SECONDS = 5.0  # after an end without a return, within which others must know of it
SAME_CHANGE_SECONDS = 0.5  # within which changes of the truth are taken as one
RATE_WINDOW_SECONDS = 0.95  # any second, of buckets that hold a tenth of one
MAX_AGREEMENT_SECONDS = 3.0  # 99th percentile

# The most that a figure may be, in each run.
ALWAYS = {
    "false_dead": 0,
    "missed": 0,
    "wrong_views": 0,
    "share_sum_max": 2,
    "bytes_s_max": 2000,
    "datagram_max": 256,
}


@dataclass(frozen=True)
class ObservedChange:
    """A change that a member announced: when, of whom, and how (`joined`, `restarted`, `died`, `left`)."""

    at: float
    name: str
    change: str


@dataclass(frozen=True)
class FalseDeath:
    """A reachable member that an observer held dead or left."""

    at: float
    observer: str
    name: str


@dataclass
class DetectionTimes:
    """How soon others knew of members that were killed and stayed away.

    Attributes:
        first: Seconds until the first other knew, for each end.
        last: Seconds until the last other knew, for each end.
        missed: Pairs of a reachable member and an ended one of which the former never knew.
    """

    first: list[float] = field(default_factory=list)
    last: list[float] = field(default_factory=list)
    missed: int = 0


def figures(history: History) -> dict:
    """Return the figures of a run, by the names under which the harness prints them."""
    truth = GroundTruth(history)
    joined_at = history.mark_time("joined") or 0.0
    end = max((event["at"] for event in history.events), default=0.0)
    detection = detection_times(history, truth, end)
    false = false_deaths(history, truth)
    shares = [event["total"] for event in history.select("shares")]
    share_figures = {"share_sum_max": round(max(shares), 3)} if shares else {}
    return share_figures | {
        "members": len(truth.names),
        "false_dead": len(false),
        "false_dead_members": len({death.name for death in false}),
        "missed": detection.missed,
        "killed": len(detection.first),
        "detect_s": _summary(detection.first),
        "agree_s": _summary(detection.last),
        "view_changes": _most_view_changes(history, truth, joined_at),
        "view_changes_needed": _needed_changes(truth, joined_at),
        "rejoin_s": _summary(rejoin_times(history, truth)),
        "wrong_views": wrong_views(history, truth),
        "bytes_s_max": _most_bytes_per_second(history),
        "datagram_max": max((event["most"] for event in history.select("sent")), default=0),
        "datagrams_s_max": _most_datagrams_per_second(history),
    }


def violated_limits(run_figures: dict, limits: dict[str, float]) -> list[str]:
    """Return a line for each limit that the figures of a run exceed; `limits` are added to `ALWAYS`."""
    exceeded = [
        f"{name}: {run_figures[name]}, over {limit:g}"
        for name, limit in (ALWAYS | limits).items()
        if run_figures.get(name, 0) > limit
    ]
    if run_figures["agree_s"]["p99"] > MAX_AGREEMENT_SECONDS:
        exceeded.append(f"agree_s: p99 {run_figures['agree_s']['p99']}")
    return exceeded


def false_deaths(history: History, truth: GroundTruth) -> list[FalseDeath]:
    """Return the announcements by which a reachable member was held dead or left."""
    clean_ends = [end for end in truth.ends if end.how == "term"]
    deaths = []
    for observer, changes in _changes_by_observer(history).items():
        for observed in changes:
            is_leave = observed.change == "left" and any(
                end.name == observed.name and end.at - KNOWN_SECONDS <= observed.at <= end.at + KNOWN_SECONDS
                for end in clean_ends
            )
            if is_leave or observed.change not in ("died", "left"):  # a leave is announced before the end
                continue
            if truth.is_reachable(observed.name, observed.at - GRACE_SECONDS, observed.at):
                deaths.append(FalseDeath(observed.at, observer, observed.name))
    return deaths


def detection_times(history: History, truth: GroundTruth, end: float) -> DetectionTimes:
    """Return how soon others knew of members that were killed and stayed away."""
    times = DetectionTimes()
    changes = _changes_by_observer(history)
    for process_end in truth.ends:
        until = min(process_end.restarted_at, end)
        if process_end.how != "kill" or until - process_end.at < KNOWN_SECONDS:
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
                times.missed += 1
            else:
                delays.append(delay)
        if delays:
            times.first.append(min(delays))
            times.last.append(max(delays))
    return times


def rejoin_times(history: History, truth: GroundTruth) -> list[float]:
    """Return the seconds until a member held dead was held alive again, from when it could be reached."""
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
    """Return how many members' last view differs from who is alive."""
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


def _most_view_changes(history: History, truth: GroundTruth, since: float) -> int:
    counts = dict.fromkeys(truth.names, 0)
    for event in history.select("view", since=since):
        counts[event["who"]] += 1
    return max(counts.values(), default=0)


def _needed_changes(truth: GroundTruth, since: float) -> int:
    """Return the changes of who is alive, those close together taken as one."""
    times = sorted(change.at for change in (*truth.ends, *truth.starts) if change.at > since)
    return sum(1 for at, before in zip(times, [-inf, *times]) if at - before > SAME_CHANGE_SECONDS)


def _summary(values: list[float]) -> dict[str, float]:
    return {
        "p50": round(quantile(values, 0.5), 2),
        "p99": round(quantile(values, 0.99), 2),
        "max": round(max(values, default=0.0), 2),
    }


def _most_bytes_per_second(history: History) -> int:
    """Return the most bytes that any member sent in any second."""
    return max((_most_bytes(events) for events in history.by_process("sent").values()), default=0)


def _most_bytes(events: list[dict]) -> int:
    largest = 0
    total = 0
    first = 0
    for event in events:
        total += event["bytes"]
        while events[first]["at"] <= event["at"] - RATE_WINDOW_SECONDS:
            total -= events[first]["bytes"]
            first += 1
        largest = max(largest, total)
    return largest


def _most_datagrams_per_second(history: History) -> int:
    """Return the most datagrams that any member sent in any second."""
    times_by_member = (
        [event["at"] for event in events for _ in range(event["count"])]
        for events in history.by_process("sent").values()
    )
    return max((max_in_window(times, RATE_WINDOW_SECONDS) for times in times_by_member), default=0)
