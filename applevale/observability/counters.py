"""Counts of what the program takes in, sends and answers; logged regularly, on SIGUSR1 and at exit."""

from __future__ import annotations

import json
from collections import Counter

from .events import log_unlimited


class Counters(Counter):
    """A count by name; a name that was never counted is 0."""

    def dump(self) -> None:
        """Log all counts, in the order of their names."""
        counts = dict(sorted(self.items()))
        log_unlimited("counters", "counters " + json.dumps(counts), counts=counts)
