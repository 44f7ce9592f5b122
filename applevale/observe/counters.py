"""Counts of what the program takes in, sends and answers; printed on SIGUSR1 and at exit."""

from __future__ import annotations

import json
from collections import Counter

from .events import always


class Counters(Counter):
    """A count by name; a name that was never counted is 0."""

    def show(self) -> None:
        shown = dict(sorted(self.items()))
        always("counters", "counters " + json.dumps(shown), counts=shown)
