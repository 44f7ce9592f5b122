"""The figures that operators read: counters kept where each event happens, read as one snapshot.

Invariant: counts only grow, from the start of the process; a snapshot is made of counts and gauges as they
are at one moment, never by walking the requests or the engines. No I/O and no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

OUTCOMES = ("success", "overload", "error")


class Figures:
    def __init__(self, classes: tuple[str, ...]) -> None:
        self.classes = classes
        self.replies: dict[str, Counter] = {name: Counter() for name in classes}
        self.reloads: Counter = Counter()
        # Gauges, read from whoever keeps them: requests taken and not ended, engines listed, engines avoided.
        self.concurrent: Callable[[], int] = lambda: 0
        self.targets: Callable[[], int] = lambda: 0
        self.disabled: Callable[[], int] = lambda: 0

    def answered(self, cls: int, outcome: str) -> None:
        self.replies[self.classes[cls]][outcome] += 1

    def dispatched(self, lane: str) -> None:
        """An attempt was written whole to an engine; `lane` is its class's name."""
        counts = self.replies.get(lane)
        if counts is not None:
            counts["dispatches"] += 1

    def reloaded(self, good: bool) -> None:
        self.reloads["success" if good else "failure"] += 1

    def snapshot(self) -> dict:
        replies = {
            name: {key: counts[key] for key in (*OUTCOMES, "dispatches")}
            for name, counts in self.replies.items()
        }
        return {
            "replies": replies,
            "dispatches": sum(one["dispatches"] for one in replies.values()),
            "concurrent": self.concurrent(),
            "targets": self.targets(),
            "targets_disabled": self.disabled(),
            "reload_success": self.reloads["success"],
            "reload_failure": self.reloads["failure"],
        }
