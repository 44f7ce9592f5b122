"""When each member of a run was alive and reachable, according to the actions of the harness."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from fnmatch import fnmatchcase
from math import inf

from .history import History


@dataclass(frozen=True)
class Interval:
    """A period of time, in seconds; the end may be infinite."""

    start: float
    end: float

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether the interval overlaps the period from `since` to `until`."""
        return self.start < until and self.end > since


@dataclass(frozen=True)
class Cut:
    """An interval in which no datagram from the sources reached the targets."""

    interval: Interval
    sources: set[str]
    targets: set[str]

    def separates(self, first: str, second: str) -> bool:
        """Return whether two members were cut off from each other, in either direction."""
        return (first in self.sources and second in self.targets) or (
            second in self.sources and first in self.targets
        )


@dataclass
class ProcessEnd:
    """The end of a member's process.

    Attributes:
        at: When it ended, in seconds.
        name: The member.
        how: Cause of the end, `kill` or `term`.
        restarted_at: When the member was launched again, in seconds; infinite if it never was.
    """

    at: float
    name: str
    how: str
    restarted_at: float = inf


@dataclass(frozen=True)
class ProcessStart:
    """The launch of a member's process, at a time in seconds."""

    at: float
    name: str


@dataclass(frozen=True)
class Return:
    """A time, in seconds, at which a member may have become reachable again."""

    at: float
    name: str


class GroundTruth:
    """When each member ran and was paused, and which pairs were cut off from each other.

    Attributes:
        names: Names of all members, sorted.
        starts: The launches, sorted by time.
        ends: The ends, sorted by time.
    """

    def __init__(self, history: History):
        """Derive the truth from the events `launched`, `ended` and `fault`."""
        self.names = sorted({event["who"] for event in history.select("launched")})
        self.starts: list[ProcessStart] = []
        self.ends: list[ProcessEnd] = []
        self._running: dict[str, list[Interval]] = defaultdict(list)
        self._paused: dict[str, list[Interval]] = defaultdict(list)
        self._cuts: list[Cut] = []
        self._read_processes(history)
        for event in history.select("fault"):
            self._read_fault(event)

    def ran(self, name: str, since: float, until: float) -> bool:
        """Return whether a member ran from `since` to `until` without an end or a pause."""
        has_run = any(interval.start <= since and until <= interval.end for interval in self._running[name])
        return has_run and not any(interval.overlaps(since, until) for interval in self._paused[name])

    def is_reachable(self, name: str, since: float, until: float) -> bool:
        """Return whether a member ran all the time and was cut off from less than half of the others."""
        if not self.ran(name, since, until):
            return False
        others = [other for other in self.names if other != name and self.ran(other, since, until)]
        cuts = [cut for cut in self._cuts if cut.interval.overlaps(since, until)]
        separated = [other for other in others if any(cut.separates(name, other) for cut in cuts)]
        return 2 * len(separated) < len(others)

    def alive(self, at: float) -> set[str]:
        """Return the members whose process was running at a time."""
        return {
            name
            for name in self.names
            if any(interval.start <= at < interval.end for interval in self._running[name])
        }

    def returns(self) -> list[Return]:
        """Return when members became reachable by a start or by the end of a pause or cut, sorted by time."""
        returns = [Return(start.at, start.name) for start in self.starts]
        for name in self.names:
            returns += [Return(pause.end, name) for pause in self._paused[name]]
        for cut in self._cuts:
            returns += [Return(cut.interval.end, name) for name in cut.sources | cut.targets]
        return sorted(returns, key=lambda item: (item.at, item.name))

    def _read_processes(self, history: History) -> None:
        started_at: dict[str, float] = {}
        for event in history.select("launched", "ended"):
            name = event["who"]
            if event["event"] == "launched":
                started_at[name] = event["at"]
                self._add_start(ProcessStart(event["at"], name))
            elif name in started_at:
                self._running[name].append(Interval(started_at.pop(name), event["at"]))
                self.ends.append(ProcessEnd(event["at"], name, event["how"]))
        for name, at in started_at.items():
            self._running[name].append(Interval(at, inf))

    def _add_start(self, start: ProcessStart) -> None:
        self.starts.append(start)
        for end in self.ends:
            if end.name == start.name and end.restarted_at == inf:
                end.restarted_at = start.at

    def _read_fault(self, event: dict) -> None:
        at = event["at"]
        if event["do"] in ("stop", "stall"):
            for name in self._matching_names(event["who"]):
                for repetition in range(event.get("times", 1)):
                    start = at + repetition * event.get("apart", 0.0)
                    self._paused[name].append(Interval(start, start + event["span"]))
        elif event["do"] == "link" and event["fate"].get("cut"):
            sources = set(self._matching_names(event["sources"]))
            targets = set(self._matching_names(event["targets"]))
            self._cuts.append(Cut(Interval(at, at + event["span"]), sources, targets))

    def _matching_names(self, patterns: list[str]) -> list[str]:
        return [name for name in self.names if any(fnmatchcase(name, pattern) for pattern in patterns)]
