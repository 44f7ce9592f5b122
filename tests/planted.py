"""The real program with one planted fault: python -m tests.planted FAULT. For tests of the rigs."""

import sys

from applevale.__main__ import main
from applevale.node.app import Node
from applevale.sources.registry.follower import Follower, Watch
from applevale.startup.promise import Promise


def ignore_compaction(self, now, number):
    """Goes on from what the registry has now, as if nothing lay between."""
    self.revision = self.session.progress = self.session.seen
    return [Watch(number, self.revision + 1)]


answered, asks = Follower.answered, Follower._ask
tried = Follower._tried


def dated_by_arrival(self, now, number, asked, revision):
    """Takes an answer for a word of the moment at which it came."""
    return answered(self, now, number, now, revision)


def ask_on_top(self, now):
    """Forgets that a question is open."""
    commands = asks(self, now)
    self.session.open = float("inf")
    self.session.next_ask = self._ask_at(now)
    return commands


def leave_the_slow(self, now, trial, asked, revision, cluster):
    """Takes whatever trial answers, however slow: as long as another member was silent for long."""
    trial.since = now
    return tried(self, now, trial, asked, revision, cluster)


def serving(self):
    return not self.leaving.is_set()


def never_give_up(self, now, draw):
    """The promise turns to and fro with each answer."""


FAULTS = {
    "arrival": lambda: setattr(Follower, "answered", dated_by_arrival),
    "on_top": lambda: setattr(Follower, "_ask", ask_on_top),
    "leaves": lambda: setattr(Follower, "_tried", leave_the_slow),
    "ready": lambda: setattr(Node, "serving", serving),
    "thrash": lambda: setattr(Promise, "_give_up", never_give_up),
    "compaction": lambda: setattr(Follower, "compacted", ignore_compaction),
    "staleness": lambda: setattr(Follower, "fresh", lambda self, now: True),
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main())
