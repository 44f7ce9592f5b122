"""The real program with one planted fault: python -m tests.planted FAULT. For tests of the rigs."""

import sys

from applevale.__main__ import main
from applevale.discovery.registry.commands import Watch
from applevale.discovery.registry.synchronizer import ListSynchronizer
from applevale.discovery.registry.watcher import RegistryWatcher
from applevale.membership import messages
from applevale.membership.protocol import KEEP_NEWS, Membership
from applevale.runtime.application import Application
from applevale.startup.staleness_guard import StalenessGuard


def ignore_compaction(self, now, session_id):
    """Continues from the registry's current revision, as if no events had been lost."""
    revision = self.session.observed_revision
    self.watched_list.revision = revision
    self.session.watch_revision = revision
    return [Watch(session_id, revision + 1)]


on_revision = RegistryWatcher.on_revision
send_poll = ListSynchronizer.poll
on_standby_connected = RegistryWatcher._on_standby_connected


def confirm_as_of_response(self, now, session_id, requested_at, revision):
    """Confirms the list as of the time of a response instead of its request."""
    return on_revision(self, now, session_id, now, revision)


def poll_while_one_is_in_flight(self, now, session):
    """Forgets the poll in flight."""
    commands = send_poll(self, now, session)
    session.poll_sent_at = float("inf")
    session.next_poll_at = self.pacer.next_poll_at(now)
    return commands


def promote_slow_standby(self, now, standby, requested_at, revision, cluster_id):
    """Lets a standby session take over however slow its response was."""
    standby.started_at = now
    return on_standby_connected(self, now, standby, requested_at, revision, cluster_id)


def serving(self):
    return not self.shutdown_requested.is_set()


def never_give_up(self, now, draw):
    """The promise turns to and fro with each answer."""


# --- members

ticked, about_me, raises = Membership.ticked, Membership._about_me, Membership._raise


def dead_by_one_word(self, now, member, incarnation, observers, age=0.0):
    held = self.records.all[member]
    if held.living and incarnation & messages.LOW == held.incarnation & messages.LOW:
        self._end(now, ((member, messages.Record(messages.Status.DEAD, held.incarnation, held.life)),))


def notice_no_standstill(self, now):
    self.latest = now


def raise_from_the_first(self, now, over):
    raises(self, now, over if self.incarnation else 0)


def heed_own_life_only(self, now, told):
    if told.life == self.life:
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
        items = tuple(
            messages.Words(one, self.records.all[one].incarnation, 10.0, (self.me, *others[:2]))
            for one in others[:10]
        )
        self._send(now, target, messages.Kind.NEWS, KEEP_NEWS, items=items)
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
    "arrival": lambda: setattr(RegistryWatcher, "on_revision", confirm_as_of_response),
    "on_top": lambda: setattr(ListSynchronizer, "poll", poll_while_one_is_in_flight),
    "leaves": lambda: setattr(RegistryWatcher, "_on_standby_connected", promote_slow_standby),
    "ready": lambda: setattr(Application, "is_serving", serving),
    "thrash": lambda: setattr(StalenessGuard, "_suspend", never_give_up),
    "compaction": lambda: setattr(RegistryWatcher, "on_compacted", ignore_compaction),
    "staleness": lambda: setattr(RegistryWatcher, "is_fresh", lambda self, now: True),
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main())
