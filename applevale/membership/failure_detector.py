"""SWIM's failure detector: probes members in random order, directly and then through helpers."""

from __future__ import annotations

from math import inf

from .commands import LocalStatus
from .components import SharedComponents
from .config import (
    ALONE_PROBE_INTERVAL_SECONDS,
    HELP_RESERVE_BYTES,
    JOIN_FANOUT,
    MAX_RELAYS,
)
from .context import ProtocolContext
from .messages import Message
from .probes import Probe
from .suspicion_monitor import SuspicionMonitor


class FailureDetector:
    """Probes one member after the other, and reports those that do not answer to the suspicion monitor."""

    def __init__(self, context: ProtocolContext, components: SharedComponents, monitor: SuspicionMonitor):
        """Create a detector that has not started its first round."""
        self._config = context.config
        self._identity = context.identity
        self._view = context.view
        self._random = context.random
        self._stats = context.stats
        self._suspicions = components.suspicions
        self._broadcasts = components.broadcasts
        self._sender = components.sender
        self._health = components.health
        self._probes = components.probes
        self._local = components.local
        self._monitor = monitor
        self._probe_round: list[int] = []  # Members still to be probed in this round, in reverse order.
        self._relays: dict[int, int] = {}  # The helper that last reached a member, by member.

    def probe_next(self, now: float) -> None:
        """Probe the next member of the round."""
        interval = self._config.probe_interval
        self._probes.next_probe_at = max(self._probes.next_probe_at + interval, now + interval / 2)
        if self._health.status is LocalStatus.JOINING or not self._view.alive:
            self._ping_unknown_members(now)
            return
        self._probes.start(now, self._next_subject())
        if self._health.status is LocalStatus.ISOLATED:
            self._probes.next_probe_at = now + 2 * interval
        else:
            self._suspicions.discard_stale(now)

    def advance_probes(self, now: float) -> None:
        """Advance each probe that is due: ping again, ask helpers, or let the probe fail."""
        for sequence_number, probe in self._probes.snapshot():
            if now >= probe.expires_at:
                del self._probes.pending[sequence_number]
                self._on_failure(now, probe)
            elif now >= probe.indirect_at:
                probe.retry_at = inf
                probe.indirect_at = inf
                self._ask_helpers(now, sequence_number, probe)
            elif now >= probe.retry_at:
                probe.retry_at = inf
                self._sender.send_ping(now, probe.subject, sequence_number)

    def on_ping_request(self, now: float, requester: int, message: Message) -> None:
        """Probe a member on behalf of another one.

        The request also counts as an observation: the requester could not reach the member itself.
        """
        subject = message.subject
        if not self._view.contains(subject) or subject == self._identity.member:
            return
        if not self._health.may_suspect_others(now):
            return
        if subject in self._suspicions.dead_members:
            update = self._broadcasts.update_for(now, subject)
            self._sender.send_gossip(now, requester, (update,), HELP_RESERVE_BYTES)
            return
        self._monitor.suspect(now, subject, self._view.table.records[subject].incarnation, (requester,))
        suspicion = self._suspicions.active.get(subject)
        if suspicion is not None and self._identity.member in suspicion.observers:
            # This member has already failed to reach the subject.
            self._sender.send_ping_result(now, requester, message.sequence_number, subject, False)
        else:
            self._probes.start_for_requester(now, subject, requester, message.sequence_number)

    def on_ack(self, now: float, sender: int, message: Message) -> None:
        """Handle the answer to a ping."""
        if self._health.status is LocalStatus.JOINING:
            self._local.record_join_answer(now, sender)
        self._health.last_answered_at = now
        if self._health.status is LocalStatus.UNANSWERED:
            self._health.set_status(LocalStatus.HEALTHY)
            self._health.start_quiet_period(now)
        probe = self._probes.pending.get(message.sequence_number)
        if probe is None or probe.subject != sender or message.incarnation < probe.incarnation:
            return
        del self._probes.pending[message.sequence_number]
        self._health.improve()
        self._suspicions.retract(now, sender, self._identity.member)
        if probe.requester is not None:
            self._sender.send_ping_result(now, probe.requester, probe.request_sequence_number, sender, True)

    def on_ping_result(self, now: float, helper: int, message: Message) -> None:
        """Handle the result of a helper's probe."""
        probe = self._probes.pending.get(message.sequence_number)
        if probe is None or probe.requester is not None or probe.subject != message.subject:
            return
        self._health.last_answered_at = now
        if message.is_reachable:
            del self._probes.pending[message.sequence_number]
            self._health.improve()
            if len(self._relays) < MAX_RELAYS or probe.subject in self._relays:
                self._relays[probe.subject] = helper
        elif helper not in probe.failed_helpers:
            probe.failed_helpers.append(helper)

    def _ping_unknown_members(self, now: float) -> None:
        """Ping random configured members, while this member joins or knows no other one that is alive."""
        others = self._view.other_members()
        for target in self._random.sample(others, min(JOIN_FANOUT, len(others))):
            self._sender.send_ping(now, target, self._probes.next_sequence_number())
        if self._health.status is not LocalStatus.JOINING:
            # A joining member pings more often. This one can wait, as members that start announce themselves.
            self._probes.next_probe_at = now + ALONE_PROBE_INTERVAL_SECONDS

    def _next_subject(self) -> int:
        """Return the next member to probe. Each round visits the members in a new random order."""
        while True:
            if not self._probe_round:
                self._probe_round = list(self._view.alive)
                self._random.shuffle(self._probe_round)
            member = self._probe_round.pop()
            suspicion = self._suspicions.active.get(member)
            is_already_observer = suspicion is not None and self._identity.member in suspicion.observers
            if member in self._view.alive and not (is_already_observer and self._probe_round):
                return member

    def _ask_helpers(self, now: float, sequence_number: int, probe: Probe) -> None:
        """Ask helpers to probe the subject: the one that last reached it, and random others.

        No more random helpers are asked than a suspicion still needs observers for its quorum.
        """
        relay = self._relays.get(probe.subject)
        suspicion = self._suspicions.active.get(probe.subject)
        random_helper_count = 1 if relay is not None else self._config.helper_count
        if suspicion is not None:
            observer_count = len({*suspicion.observers, self._identity.member})
            missing_count = self._suspicions.quorum(probe.subject) - observer_count
            random_helper_count = min(random_helper_count, missing_count)
        if not self._config.helper_count or (random_helper_count <= 0 and relay is None):
            return
        candidates = [
            member
            for member in self._view.alive
            if member not in (probe.subject, relay) and member not in self._suspicions.active
        ]
        helpers = [relay] if relay in self._view.alive else []
        helpers += self._random.sample(candidates, min(max(0, random_helper_count), len(candidates)))
        for helper in helpers:
            if self._sender.send_ping_request(now, helper, sequence_number, probe.subject):
                probe.helper_count += 1

    def _on_failure(self, now: float, probe: Probe) -> None:
        self._stats.failed += 1
        local_member = self._identity.member
        if probe.requester is not None:
            if self._health.may_suspect_others(now):
                self._sender.send_ping_result(
                    now, probe.requester, probe.request_sequence_number, probe.subject, False
                )
                self._monitor.suspect(now, probe.subject, probe.incarnation, (local_member,))
            return
        if not probe.is_verification and probe.helper_count and not probe.failed_helpers:
            self._health.worsen()  # No helper replied: the fault may be on this side.
        if self._health.may_suspect_others(now):
            self._health.record_unreachable(now, probe.subject)
            observers = (local_member, *probe.failed_helpers)
            self._monitor.suspect(now, probe.subject, probe.incarnation, observers)
