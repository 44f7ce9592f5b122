"""The real program with one planted fault, for tests of the harnesses: python -m tests.planted FAULT."""

import sys

from applevale.__main__ import main
from applevale.discovery.registry.commands import Watch
from applevale.discovery.registry.failover import FailoverController
from applevale.discovery.registry.request_scheduler import RequestScheduler
from applevale.discovery.registry.watcher import RegistryWatcher
from applevale.membership.anti_entropy import AntiEntropy
from applevale.membership.config import GOSSIP_RESERVE_BYTES
from applevale.membership.failure_detector import FailureDetector
from applevale.membership.join_prober import JoinProber
from applevale.membership.local_health import LocalHealth
from applevale.membership.local_member import LocalMember
from applevale.membership.messages import (
    INCARNATION_LOW_MASK,
    MemberRecord,
    MemberState,
    MemberUpdate,
    SuspicionUpdate,
)
from applevale.membership.protocol import MembershipProtocol
from applevale.membership.self_monitor import SelfMonitor
from applevale.membership.suspicion_monitor import SuspicionMonitor
from applevale.runtime.application import Application
from applevale.startup.staleness_guard import StalenessGuard


def ignore_compaction(self, now, session_id):
    """Continue from the registry's current revision, as if no events had been lost."""
    revision = self.session.observed_revision
    self.watched_list.revision = revision
    self.session.watch_revision = revision
    return [Watch(session_id, revision + 1)]


on_revision = RegistryWatcher.on_revision
send_poll = RequestScheduler.poll
replace_by_faster_standby = FailoverController.replace_by_faster_standby


def confirm_as_of_response(self, now, session_id, requested_at, revision):
    """Confirm the list as of the time of the response instead of the request."""
    return on_revision(self, now, session_id, now, revision)


def poll_while_one_is_in_flight(self, now, session):
    """Forget the poll in flight, so that another one can be sent before its response."""
    commands = send_poll(self, now, session)
    session.poll_sent_at = float("inf")
    session.next_poll_at = self.pacer.next_poll_at(now)
    return commands


def promote_slow_standby(self, now, standby, revision, cluster_id):
    """Let a standby session take over, no matter how slow its response was."""
    standby.started_at = now
    return replace_by_faster_standby(self, now, standby, revision, cluster_id)


def ignore_engine_list(self):
    """Report readiness even if the engine list is stale or holds no usable engine."""
    return not self.shutdown_requested.is_set()


def never_suspend(self, now, random_value):
    """Never suspend the staleness guarantee, so that it can change with each answer."""


# Faults of the membership protocol.

on_tick = MembershipProtocol.on_tick
on_own_record = LocalMember.on_own_record
refute = LocalMember.refute


def dead_by_one_observer(self, now, member, incarnation, observers, age=0.0):
    """Declare a member dead at the first suspicion by one observer."""
    known = self._view.table.records[member]
    if known.is_alive and incarnation & INCARNATION_LOW_MASK == known.incarnation & INCARNATION_LOW_MASK:
        record = MemberRecord(MemberState.DEAD, known.incarnation, known.process_id)
        self._updates.remove_members(now, (MemberUpdate(member, record),))


def ignore_pause(self, now):
    """Record the time of the event, and never react to a pause of the process."""
    self._health.last_event_at = now


def refute_from_first_incarnation(self, now, reported):
    """Start with the first incarnation, even if another member reported a higher one."""
    refute(self, now, reported if self._identity.incarnation else 0)


def ignore_records_of_earlier_processes(self, now, record):
    """Handle another member's record of this one only if it describes this process."""
    if record.process_id == self._identity.process_id:
        on_own_record(self, now, record)


def ask_no_helpers(self, now, sequence_number, probe):
    """Never ask other members to probe a member that has not answered."""


def never_request_sync(self, now, sender):
    """Never request a sync."""


def never_send_join(self, now):
    """Never send a join request."""
    self.next_join_at = float("inf")


def report_all_members_dead(self, now):
    """Suspect every other member, in its own name and in the forged names of other members."""
    for target in list(self.view.alive):
        others = [member for member in self.view.alive if member != target]
        updates = tuple(
            SuspicionUpdate(
                member, self.view.table.records[member].incarnation, 10.0, (self.identity.member, *others[:2])
            )
            for member in others[:10]
        )
        self.sender.send_gossip(now, target, updates, GOSSIP_RESERVE_BYTES)
    return on_tick(self, now)


MEMBERSHIP_FAULTS = {
    "death_by_one_observer": {SuspicionMonitor: {"suspect": dead_by_one_observer}},
    "no_pause_detection": {
        SelfMonitor: {"check_for_pause": ignore_pause},
        LocalHealth: {"may_suspect_others": lambda self, now: True},
    },
    "incarnation_reset": {
        LocalMember: {
            "refute": refute_from_first_incarnation,
            "on_own_record": ignore_records_of_earlier_processes,
        }
    },
    "no_helpers": {FailureDetector: {"_ask_helpers": ask_no_helpers}},
    "no_sync": {
        AntiEntropy: {"request_sync": never_request_sync},
        JoinProber: {"send_join": never_send_join},
    },
    "forged_suspicions": {MembershipProtocol: {"on_tick": report_all_members_dead}},
}


def plant_membership_fault(fault, set_attribute=setattr):
    """Replace the methods that implement a fault; `set_attribute` has the parameters of `setattr`."""
    for owner, methods in MEMBERSHIP_FAULTS[fault].items():
        for name, method in methods.items():
            assert hasattr(owner, name)
            set_attribute(owner, name, method)


FAULTS = {fault: lambda fault=fault: plant_membership_fault(fault) for fault in MEMBERSHIP_FAULTS} | {
    "arrival": lambda: setattr(RegistryWatcher, "on_revision", confirm_as_of_response),
    "on_top": lambda: setattr(RequestScheduler, "poll", poll_while_one_is_in_flight),
    "leaves": lambda: setattr(FailoverController, "replace_by_faster_standby", promote_slow_standby),
    "ready": lambda: setattr(Application, "is_ready_for_clients", ignore_engine_list),
    "thrash": lambda: setattr(StalenessGuard, "_suspend", never_suspend),
    "compaction": lambda: setattr(RegistryWatcher, "on_compacted", ignore_compaction),
    "staleness": lambda: setattr(RegistryWatcher, "is_fresh", lambda self, now: True),
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main())
