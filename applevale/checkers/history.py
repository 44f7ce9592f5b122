"""The history of a run: events sorted by time, stored as JSON lines.

Each event has the fields `at` (seconds of the monotonic clock, which all processes of a machine share),
`event` (its name) and, if it belongs to a process, `who`. Events that a program reports about itself and
events that a fake observes have different names:

| event | who | fields |
| --- | --- | --- |
| `launched`, `ended` | instance | `how`: `start`, `kill` or `term` |
| `listening`, `ready`, `list` | instance, reported by itself | `ready`; `confirmed` |
| `read` | instance, observed by the registry | `out`, `member`, `whole`, `answered`, `caller` |
| `session`, `session_end` | instance, observed by the registry | `member`, `caller` |
| `commit` | | `key`, `engine`, `address`, `state` (`gone`: deleted) |
| `connect`, `arrival` | instance, observed by an engine | `engine` (its address); `ref`, `lane` |
| `fell` | | `engine` |
| `said` | instance, reported by itself | `text`: warning that a staleness limit cannot be kept |
| `fault` | | the fields of the step |
| `mark` | | `name`: the point in the script that was reached |
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

DISTANT_PAST = -1e18
DISTANT_FUTURE = 1e18


class History:
    """Events of a run, sorted by time; events at the same time keep their order."""

    def __init__(self, events: Iterable[dict] = ()):
        """Create a history.

        Args:
            events: Events in any order.
        """
        self.events = sorted(events, key=lambda event: event["at"])

    def select(
        self, *names: str, since: float = DISTANT_PAST, until: float = DISTANT_FUTURE
    ) -> Iterator[dict]:
        """Iterate over the events with one of the names at `since` (inclusive) to `until` (exclusive)."""
        return (event for event in self.events if event["event"] in names and since <= event["at"] < until)

    def mark_time(self, name: str) -> float | None:
        """Return when the script first reached a mark, in seconds, or None if it never did."""
        return next((event["at"] for event in self.select("mark") if event["name"] == name), None)

    def by_process(
        self, *names: str, since: float = DISTANT_PAST, until: float = DISTANT_FUTURE
    ) -> dict[str, list[dict]]:
        """Return the selected events grouped by `who`; see `select` for the arguments."""
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


def max_count_in_window(times: Iterable[float], window: float) -> int:
    """Return the maximum number of times within any window of `window` seconds."""
    ordered = sorted(times)
    max_count = 0
    first = 0
    for index, time in enumerate(ordered):
        while ordered[first] <= time - window:
            first += 1
        max_count = max(max_count, index - first + 1)
    return max_count


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of some values at a share from 0 to 1; 0 if there are no values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0
