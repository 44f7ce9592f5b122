"""Counts of what the program takes in, sends and answers; printed on SIGUSR1 and at exit."""

from __future__ import annotations

import json
import sys
from collections import Counter


class Counters(Counter):
    """A count by name; a name that was never counted is 0."""

    def show(self) -> None:
        print("counters " + json.dumps(dict(sorted(self.items()))), file=sys.stderr, flush=True)
