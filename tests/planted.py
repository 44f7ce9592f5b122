"""The real program with one planted fault: python -m tests.planted FAULT. For tests of the rigs."""

import sys

from applevale.__main__ import main
from applevale.discovery.registry.watcher import Follower, Watch
from applevale.membership import messages
from applevale.membership.protocol import KEEP_NEWS, Membership
from applevale.runtime.application import Application
from applevale.startup.staleness_guard import Promise


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
    return not self.shutdown_requested.is_set()


def never_give_up(self, now, draw):
    """The promise turns to and fro with each answer."""


# --- members

ticked, about_me, raises = Membership.ticked, Membership._about_me, Membership._raise


def dead_by_one_word(self, now, member, incarnation, observers, age=0.0):
    held = self.records.records[member]
    if (
        held.is_alive
        and incarnation & messages.INCARNATION_LOW_MASK == held.incarnation & messages.INCARNATION_LOW_MASK
    ):
        self._end(
            now,
            ((member, messages.MemberRecord(messages.MemberState.DEAD, held.incarnation, held.process_id)),),
        )


def notice_no_standstill(self, now):
    self.latest = now


def raise_from_the_first(self, now, over):
    raises(self, now, over if self.incarnation else 0)


def heed_own_life_only(self, now, told):
    if told.process_id == self.life:
        about_me(self, now, told)


def ask_no_one(self, now, own, probe):
    pass


def mend_nothing(self, now, sender):
    pass


def never_knock(self, now):
    self.due_knock = float("inf")


def call_everyone_dead(self, now):
    """In its own word, and in forged ones of others."""
    for target in list(self.living):
        others = [one for one in self.living if one != target]
        updates = tuple(
            messages.SuspicionUpdate(one, self.records.records[one].incarnation, 10.0, (self.me, *others[:2]))
            for one in others[:10]
        )
        self._send(now, target, messages.MessageKind.GOSSIP, KEEP_NEWS, updates=updates)
    return ticked(self, now)


MEMBERS = {
    "one_word": {"_suspect": dead_by_one_word},
    "no_look": {"_wake": notice_no_standstill, "_judges": lambda self, now: True},
    "reset": {"_raise": raise_from_the_first, "_about_me": heed_own_life_only},
    "no_help": {"_ask_helpers": ask_no_one},
    "never_mended": {"_repair": mend_nothing, "_knock": never_knock},
    "liar": {"ticked": call_everyone_dead},
}


def planted_in_members(fault):
    for name, method in MEMBERS[fault].items():
        setattr(Membership, name, method)


FAULTS = {fault: lambda fault=fault: planted_in_members(fault) for fault in MEMBERS} | {
    "arrival": lambda: setattr(Follower, "answered", dated_by_arrival),
    "on_top": lambda: setattr(Follower, "_ask", ask_on_top),
    "leaves": lambda: setattr(Follower, "_tried", leave_the_slow),
    "ready": lambda: setattr(Application, "is_serving", serving),
    "thrash": lambda: setattr(Promise, "_give_up", never_give_up),
    "compaction": lambda: setattr(Follower, "compacted", ignore_compaction),
    "staleness": lambda: setattr(Follower, "fresh", lambda self, now: True),
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main())
