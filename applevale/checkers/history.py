"""The history of a run: events in the order of their times, as JSON lines.

Each event has `at` (seconds of the monotonic clock that all processes of a machine share), `event` and, where
it belongs to a process, `who`. Events that programs report of themselves and events that fakes observe have
names of their own:

| event | who | fields |
| --- | --- | --- |
| `launched`, `ended` | instance | `how`: start, kill, term |
| `listening`, `ready`, `list` | instance, reported by itself | `ready`; `confirmed` |
| `read` | instance, observed by the registry | `out`, `member`, `whole`, `answered`, `caller` |
| `session`, `session_end` | instance, observed by the registry | `member`, `caller` |
| `commit` | | `key`, `engine`, `address`, `state` (`gone`: deleted) |
| `connect`, `arrival` | instance, observed by an engine | `engine` (its address); `ref`, `lane` |
| `fell` | | `engine` |
| `said` | instance, reported by itself | `text`, of a staleness limit that it cannot keep |
| `fault` | | the step |
| `mark` | | `name`: the point that the script reached |
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

DISTANT_PAST = -1e18
DISTANT_FUTURE = 1e18


class History:
    """Events of a run, sorted by time; events of equal times keep their order."""

    def __init__(self, events: Iterable[dict] = ()):
        """Create a history.

        Args:
            events: Events in any order.
        """
        self.events = sorted(events, key=lambda event: event["at"])

    def select(
        self, *names: str, since: float = DISTANT_PAST, until: float = DISTANT_FUTURE
    ) -> Iterator[dict]:
        """Iterate over the events with one of the names, from `since` on and before `until` (seconds)."""
        return (event for event in self.events if event["event"] in names and since <= event["at"] < until)

    def mark_time(self, name: str) -> float | None:
        """Return when the script first reached a point, in seconds; None: never."""
        return next((event["at"] for event in self.select("mark") if event["name"] == name), None)

    def by_process(
        self, *names: str, since: float = DISTANT_PAST, until: float = DISTANT_FUTURE
    ) -> dict[str, list[dict]]:
        """Return what `select` gives, grouped by `who`."""
        grouped: dict[str, list[dict]] = {}
        for event in self.select(*names, since=since, until=until):
            grouped.setdefault(event["who"], []).append(event)
        return grouped

    def write(self, path: str) -> None:
        """Write the events as JSON lines."""
        with open(path, "wb") as file:
            file.writelines(msgspec.json.encode(event) + b"\n" for event in self.events)


def read_history(path: str) -> History:
    """Read a history that `History.write` wrote."""
    with open(path, "rb") as file:
        return History(msgspec.json.decode(row) for row in file if row.strip())


def max_in_window(times: Iterable[float], window: float) -> int:
    """Return the greatest number of times that lie within any window of `window` seconds."""
    ordered = sorted(times)
    greatest = 0
    first = 0
    for index, time in enumerate(ordered):
        while ordered[first] <= time - window:
            first += 1
        greatest = max(greatest, index - first + 1)
    return greatest


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share (0 to 1) of the values lies; 0 where there are none."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0
