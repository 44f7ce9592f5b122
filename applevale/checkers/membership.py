"""What is promised of membership, read off a history: who was held dead, when, and whether it was so.

The truth is worked out from what the rig did (`launched`, `ended`, `fault`), never from what members say;
what members held is read from their `view` events, and at the end from `held`. A member counts as reachable
at a time if for `GRACE` before it ran, did not stand still, and was cut off in neither direction from most of
the others that ran: news of a return have to travel.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from fnmatch import fnmatchcase

from .history import History, most_in, quantile

GRACE = 1.0  # s
KNOWN = 5.0  # s after an end without a return within which others must know of it
Span = tuple[float, float]
INF = float("inf")


def _matches(name: str, patterns: list[str]) -> bool:
    return any(fnmatchcase(name, pattern) for pattern in patterns)


def _overlaps(spans: list[Span], since: float, until: float) -> bool:
    return any(begin < until and end > since for begin, end in spans)


class Truth:
    """When each member ran, stood still, and which pairs were cut."""

    def __init__(self, history: History):
        self.names = sorted({event["who"] for event in history.of("launched")})
        self.running: dict[str, list[Span]] = defaultdict(list)
        self.still: dict[str, list[Span]] = defaultdict(list)
        self.cuts: list[tuple[Span, set[str], set[str]]] = []
        self.ends: list[tuple[float, str, str, float]] = []  # when, who, how, when it was launched again
        self.starts: list[tuple[float, str]] = []
        begun: dict[str, float] = {}
        for event in history.of("launched", "ended"):
            who = event["who"]
            if event["event"] == "launched":
                begun[who] = event["at"]
                self.starts.append((event["at"], who))
                self.ends = [
                    (at, name, how, event["at"] if name == who and back == INF else back)
                    for at, name, how, back in self.ends
                ]
            elif who in begun:
                self.running[who].append((begun.pop(who), event["at"]))
                self.ends.append((event["at"], who, event["how"], INF))
        for who, at in begun.items():
            self.running[who].append((at, INF))
        for event in history.of("fault"):
            self._fault(event)

    def _fault(self, event: dict) -> None:
        at = event["at"]
        if event["do"] in ("stop", "stall"):
            for name in self.names:
                if _matches(name, event["who"]):
                    for turn in range(event.get("times", 1)):
                        begin = at + turn * event.get("apart", 0.0)
                        self.still[name].append((begin, begin + event["span"]))
        elif event["do"] == "link" and event["fate"].get("cut"):
            self.cuts.append(
                (
                    (at, at + event["span"]),
                    {name for name in self.names if _matches(name, event["sources"])},
                    {name for name in self.names if _matches(name, event["targets"])},
                )
            )

    def ran(self, name: str, since: float, until: float) -> bool:
        """Without an end or a standstill of any length in between."""
        whole = any(begin <= since and until <= end for begin, end in self.running[name])
        return whole and not _overlaps(self.still[name], since, until)

    def reachable(self, name: str, since: float, until: float) -> bool:
        if not self.ran(name, since, until):
            return False
        others = [one for one in self.names if one != name and self.ran(one, since, until)]
        cuts = [(sources, targets) for span, sources, targets in self.cuts if _overlaps([span], since, until)]
        apart = {
            one
            for one in others
            for sources, targets in cuts
            if (one in sources and name in targets) or (name in sources and one in targets)
        }
        return 2 * len(apart) < len(others)

    def living(self, at: float) -> set[str]:
        return {name for name in self.names if any(begin <= at < end for begin, end in self.running[name])}

    def returns(self) -> list[tuple[float, str]]:
        """When members could be reached again, after a new start, a standstill or a cut."""
        found = list(self.starts)
        for name in self.names:
            found += [(end, name) for _, end in self.still[name]]
        for (_, end), sources, targets in self.cuts:
            found += [(end, name) for name in sources | targets]
        return sorted(found)


def _words(history: History) -> dict[str, list[tuple[float, str, str]]]:
    """What each member said of its view: when, of whom, what."""
    found: dict[str, list[tuple[float, str, str]]] = defaultdict(list)
    for event in history.of("view"):
        found[event["who"]] += [(event["at"], name, change) for name, change in event["changes"]]
    return found


def false_deaths(history: History, truth: Truth) -> list[tuple[float, str, str]]:
    """A member that ran and could be reached by most, held dead or gone: when, by whom, who."""
    left = {(who, at) for at, who, how, _ in truth.ends if how == "term"}
    found = []
    for observer, words in _words(history).items():
        for at, name, change in words:
            if change == "left" and any(who == name and end - 5.0 <= at <= end + KNOWN for who, end in left):
                continue  # said before its process has ended
            if change in ("died", "left") and truth.reachable(name, at - GRACE, at):
                found.append((at, observer, name))
    return found


def ends_known(history: History, truth: Truth, end: float) -> tuple[list[float], list[float], int]:
    """For each member that was killed and stayed away: s until the first and until the last other knew, and
    how many pairs of one that lived and one that had ended never came to know."""
    first, last, missed = [], [], 0
    words = _words(history)
    for at, name, how, back in truth.ends:
        until = min(back, end)
        if how != "kill" or until - at < KNOWN:
            continue
        known = []
        for observer in truth.names:
            if observer == name or not truth.reachable(observer, at, until):
                continue
            heard = [
                when - at
                for when, who, change in words[observer]
                if who == name and change == "died" and at <= when <= until
            ]
            if heard:
                known.append(heard[0])
            else:
                missed += 1
        if known:
            first.append(min(known))
            last.append(max(known))
    return first, last, missed


def returns_known(history: History, truth: Truth) -> list[float]:
    """For each pair in which one held the other dead, and it could be reached again: s until it was held to
    live."""
    returns: dict[str, list[float]] = defaultdict(list)
    for at, name in truth.returns():
        returns[name].append(at)
    found = []
    for words in _words(history).values():
        held: dict[str, float] = {}
        for at, name, change in words:
            if change in ("died", "left"):
                held[name] = at
            elif name in held:
                since = held.pop(name)
                place = bisect_right(returns[name], at)
                if place:
                    found.append(at - max(since, returns[name][place - 1]))
    return found


def wrong_views(history: History, truth: Truth) -> int:
    """Members whose last view is not what lives."""
    last = {event["who"]: event for event in history.of("held")}
    return sum(
        event["view"] is None or set(event["view"]) != truth.living(event["at"])
        for who, event in last.items()
        if who in truth.living(event["at"])
    )


def _needed(truth: Truth, since: float) -> int:
    """Changes of what lives, those within half a second taken as one."""
    times = sorted([at for at, *_ in truth.ends if at > since] + [at for at, _ in truth.starts if at > since])
    return sum(1 for at, before in zip(times, [-INF, *times]) if at - before > 0.5)


def _three(values: list[float]) -> dict[str, float]:
    return {
        "p50": round(quantile(values, 0.5), 2),
        "p99": round(quantile(values, 0.99), 2),
        "max": round(max(values, default=0.0), 2),
    }


def figures(history: History) -> dict:
    truth = Truth(history)
    joined = history.mark("joined") or 0.0
    end = max((event["at"] for event in history.events), default=0.0)
    first, last, missed = ends_known(history, truth, end)
    changes: dict[str, int] = {name: 0 for name in truth.names}
    for event in history.of("view", since=joined):
        changes[event["who"]] += 1
    sent = defaultdict(list)
    for event in history.of("sent"):
        sent[event["who"]].append((event["at"], event["bytes"]))
    false = false_deaths(history, truth)
    shares = [event["total"] for event in history.of("shares")]
    return ({"share_sum_max": round(max(shares), 3)} if shares else {}) | {
        "members": len(truth.names),
        "false_dead": len(false),
        "false_dead_members": len({name for _, _, name in false}),
        "missed": missed,
        "killed": len(first),
        "detect_s": _three(first),
        "agree_s": _three(last),
        "view_changes": max(changes.values(), default=0),
        "view_changes_needed": _needed(truth, joined),
        "rejoin_s": _three(returns_known(history, truth)),
        "wrong_views": wrong_views(history, truth),
        "bytes_s_max": max((_most_bytes(times) for times in sent.values()), default=0),
        "datagram_max": max((event["most"] for event in history.of("sent")), default=0),
        "datagrams_s_max": max(
            (
                most_in([event["at"] for event in one for _ in range(event["count"])], 0.95)
                for one in history.whose("sent").values()
            ),
            default=0,
        ),
    }


def _most_bytes(buckets: list[tuple[float, int]]) -> int:
    """In any second; each bucket holds a tenth of one."""
    most = total = first = 0
    for at, size in buckets:
        total += size
        while buckets[first][0] <= at - 0.95:
            total -= buckets[first][1]
            first += 1
        most = max(most, total)
    return most


ALWAYS = {
    "false_dead": 0,
    "missed": 0,
    "wrong_views": 0,
    "share_sum_max": 2,
    "bytes_s_max": 2000,
    "datagram_max": 256,
}


def broken(found: dict, most: dict[str, float]) -> list[str]:
    """Bars that were missed, in words."""
    bars = ALWAYS | most
    missed = [
        f"{name}: {found[name]}, over {bar:g}" for name, bar in bars.items() if found.get(name, 0) > bar
    ]
    if found["agree_s"]["p99"] > 3.0:
        missed.append(f"agree_s: p99 {found['agree_s']['p99']}")
    return missed
