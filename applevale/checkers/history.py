"""The history of a run: events in the order of their times, as JSON lines.

Each event has `at` (s, the steady clock that all processes of a machine share), `event` and, where it is
somebody's, `who`. What the programs told of themselves and what stand-ins saw are kept apart by their names:

| event | who | fields |
| --- | --- | --- |
| `launched`, `ended` | instance | `how`: start, kill, term |
| `listening`, `ready`, `list` | instance, its own word | `ready`; `confirmed` |
| `read` | instance, seen by the list service | `out`, `member`, `whole`, `answered`, `caller` |
| `session`, `session_end` | instance, seen by the list service | `member`, `caller` |
| `commit` | | `key`, `engine`, `address`, `state` (`gone`: deleted) |
| `connect`, `arrival` | instance, seen by an engine | `engine` (its address); `ref`, `lane` |
| `fell` | | `engine` |
| `said` | instance, its own word | `text`, of a promise that it cannot keep |
| `fault` | | the step |
| `mark` | | `name`: what the script came to |
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec


class History:
    def __init__(self, events: Iterable[dict] = ()):
        self.events = sorted(events, key=lambda event: event["at"])

    def of(self, *names: str, since: float = -1e18, until: float = 1e18) -> Iterator[dict]:
        return (event for event in self.events if event["event"] in names and since <= event["at"] < until)

    def mark(self, name: str) -> float | None:
        """When the script first came to it; None: never."""
        return next((event["at"] for event in self.of("mark") if event["name"] == name), None)

    def whose(self, *names: str, since: float = -1e18, until: float = 1e18) -> dict[str, list[dict]]:
        found: dict[str, list[dict]] = {}
        for event in self.of(*names, since=since, until=until):
            found.setdefault(event["who"], []).append(event)
        return found

    def write(self, path: str) -> None:
        with open(path, "wb") as file:
            file.writelines(msgspec.json.encode(event) + b"\n" for event in self.events)


def read_history(path: str) -> History:
    with open(path, "rb") as file:
        return History(msgspec.json.decode(line) for line in file if line.strip())


def most_in(times: Iterable[float], span: float) -> int:
    """The most of the times that lie within any stretch of `span` s."""
    ordered = sorted(times)
    most = first = 0
    for at, time in enumerate(ordered):
        while ordered[first] <= time - span:
            first += 1
        most = max(most, at - first + 1)
    return most


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0
