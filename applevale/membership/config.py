"""Parameters and limits of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from .suspicion import SuspicionTimeouts

MAX_LOCAL_HEALTH_SCORE = 3.0  # timeouts grow by this factor plus one at most
MAX_ANSWERS_PER_SECOND = 30  # to one sender
MAX_MESSAGES_PER_SECOND = 4 * MAX_ANSWERS_PER_SECOND  # from one sender
REFUTATION_FANOUT = 32  # members that are informed of a raised incarnation at once
LEAVE_FANOUT = 12  # members that are informed of a leave at once
JOIN_FANOUT = 4  # members that a joining member pings at once
MIN_JOIN_ANSWERS = 3  # after which a joining member waits no longer

# Bytes that a message of each kind leaves in the token bucket for those of higher priority: answers first,
# then probes, gossip, and help for others.
PROBE_RESERVE_BYTES = 30.0
GOSSIP_RESERVE_BYTES = 80.0
HELP_RESERVE_BYTES = 100.0

FINAL_CHECK_TRANSMITS = 2  # of a suspicion, when its final check starts
RECORD_TRANSMIT_FACTOR = 1.2  # transmits of a record, over the logarithm of the fleet size
SUSPICION_TRANSMIT_FACTOR = 0.9  # transmits of a suspicion, each time it has enough new observers
# With more suspicions pings carry no gossip: many go to dead members, and bytes are scarce.
MAX_PIGGYBACK_SUSPICIONS = 3

MAX_RELAYS = 1024  # members for which the helper that reached them is remembered
FALSE_SUSPICION_WINDOW_SECONDS = 5.0  # for which members that could not be reached are remembered
MAX_SYNC_DELAY_SECONDS = 3.0  # for which records are not compared because the view keeps changing
ALONE_PROBE_INTERVAL_SECONDS = 0.4  # of a member that knows no other one
MAX_SEGMENTS_PER_SYNC = 3


@dataclass(frozen=True)
class ProtocolConfig:
    """Parameters of the protocol; durations in seconds.

    Attributes:
        probe_interval: Between two probes.
        retry_after: Without an answer, until the second ping of a probe.
        indirect_probe_after: Without an answer, until helpers are asked.
        probe_timeout: Until a probe has failed.
        helper_probe_timeout: Until a helper's probe, or a verification, has failed.
        helper_count: Helpers of an indirect probe.
        min_relayed_observers: Observers from which on a suspicion is relayed, so that a single false observer
            is relayed by nobody.
        verifier_count: Members that verify a suspicion by probes of their own, on average.
        verification_interval: Between two such probes.
        final_check_lead: Before a death, when all members probe the suspect once more.
        max_final_check_fleet: The largest fleet in which all of them do.
        join_wait: After the first answer, for which a joining member waits for others.
        join_timeout: Without an answer, until a joining member takes itself for the first one.
        pause_threshold: Delay of an event from which on this process counts as paused.
        delay_threshold: Delay of an event from which on answers may lie unread in the socket.
        quiet_period: After a pause or isolation, without judgement of others.
        isolation_timeout: Without any message.
        unanswered_timeout: Without any answer.
        batch_window: For which a death waits for others that are due, and a join for others.
        join_rate: Probes per second that each dead member gets, from all members together.
        max_join_rate: Probes per second to dead members that one member sends.
        sync_interval: Between two comparisons of records.
        refutation_interval: Between two rises of the own incarnation.
        heartbeat_interval: Between heartbeats to all, in place of probes (a baseline); 0: probes.
        min_false_suspicions: Unreachable members that turned out alive, from which on this
            member doubts itself.
        monitors_itself: Whether pauses, isolation and doubt suspend judgement of others.
        timeouts: Of suspicions.
    """

    probe_interval: float = 0.1
    retry_after: float = 0.12
    indirect_probe_after: float = 0.24
    probe_timeout: float = 0.62
    helper_probe_timeout: float = 0.32
    helper_count: int = 3
    min_relayed_observers: int = 2
    verifier_count: float = 10.0
    verification_interval: float = 0.5
    final_check_lead: float = 0.45
    max_final_check_fleet: int = 64
    join_wait: float = 0.3
    join_timeout: float = 1.2
    pause_threshold: float = 0.5
    delay_threshold: float = 0.08
    quiet_period: float = 0.6
    isolation_timeout: float = 0.7
    unanswered_timeout: float = 1.2
    batch_window: float = 0.15
    join_rate: float = 5.0
    max_join_rate: float = 2.5
    sync_interval: float = 0.5
    refutation_interval: float = 0.15
    heartbeat_interval: float = 0.0
    min_false_suspicions: int = 5
    monitors_itself: bool = True
    timeouts: SuspicionTimeouts = field(default_factory=SuspicionTimeouts)
