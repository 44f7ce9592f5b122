"""Named event counters; logged at regular intervals, on SIGUSR1 and at exit."""

from __future__ import annotations

import json
from collections import Counter

from .events import log_unlimited


class Counters(Counter):
    """Counts by name; the count of an unknown name is 0."""

    def log(self) -> None:
        """Log all counts, sorted by name."""
        counts = dict(sorted(self.items()))
        log_unlimited("counters", "counters " + json.dumps(counts), counts=counts)
