"""Named event counters; logged at regular intervals, on SIGUSR1 and at exit."""

from __future__ import annotations

import json
from collections import Counter

from .events import log_unlimited

MS_PER_SECOND = 1000


class Counters(Counter):
    """Counts by name; the count of an unknown name is 0.

    Beside them it keeps durations by name, of which only the longest since the last log line is logged.
    """

    def __init__(self) -> None:
        """Create counters without any count or duration."""
        super().__init__()
        self._longest_ms: dict[str, int] = {}

    def record_duration(self, name: str, seconds: float) -> None:
        """Record a duration; `name` ends in `_ms`, the unit in which it is logged."""
        milliseconds = int(seconds * MS_PER_SECOND)
        if milliseconds > self._longest_ms.get(name, 0):
            self._longest_ms[name] = milliseconds

    def log(self) -> None:
        """Log all counts and longest durations, sorted by name; durations start again at 0."""
        counts = dict(sorted({**self, **self._longest_ms}.items()))
        self._longest_ms.clear()
        log_unlimited("counters", "counters " + json.dumps(counts), counts=counts)
