"""The real program with one planted fault: python -m tests.planted FAULT. For tests of the rigs."""

import sys

from applevale.__main__ import main
from applevale.sources.registry.follower import Follower, Watch


def ignore_compaction(self, now, number):
    """Goes on from what the registry has now, as if nothing lay between."""
    self.revision = self.session.progress = self.session.seen
    return [Watch(number, self.revision + 1)]


FAULTS = {
    "compaction": lambda: setattr(Follower, "compacted", ignore_compaction),
    "staleness": lambda: setattr(Follower, "fresh", lambda self, now: True),
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main())
