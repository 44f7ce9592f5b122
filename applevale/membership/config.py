"""Parameters and limits of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from .suspicion import SuspicionTimeouts

MAX_LOCAL_HEALTH_SCORE = 3.0  # The timeouts of probes are multiplied by 1 + score.
MAX_ANSWERS_PER_SECOND = 30  # Limit for each sender of pings.
MAX_MESSAGES_PER_SECOND = 4 * MAX_ANSWERS_PER_SECOND  # Limit for each sender; messages beyond it are ignored.
REFUTATION_FANOUT = 32  # Members to which a raised incarnation is sent at once.
LEAVE_FANOUT = 12  # Members to which a leave is sent at once.
JOIN_FANOUT = 4  # Members that a joining member pings at once.
MIN_JOIN_ANSWERS = 3  # Answers after which a joining member stops waiting for more.

# Bytes that a message must leave in the token bucket for messages of higher priority. The priorities, from
# the highest: answers, probes, gossip, and messages that help other members.
PROBE_RESERVE_BYTES = 30.0
GOSSIP_RESERVE_BYTES = 80.0
HELP_RESERVE_BYTES = 100.0

FINAL_CHECK_TRANSMITS = 2  # Minimum number of further transmits of a suspicion once its final check starts.
# Transmits of an update, as multiples of the binary logarithm of the fleet size. Those of a suspicion start
# anew when it gains observers that may complete a quorum or fast quorum.
RECORD_TRANSMIT_FACTOR = 1.2
SUSPICION_TRANSMIT_FACTOR = 0.9
# With more active suspicions than this, pings carry no gossip: many pings go to dead members then, and bytes
# are scarce.
MAX_PIGGYBACK_SUSPICIONS = 3

MAX_RELAYS = 1024  # Maximum number of members whose last successful helper is remembered.
FALSE_SUSPICION_WINDOW_SECONDS = 5.0  # Period in which unreachable members and false suspicions are counted.
MAX_SYNC_DELAY_SECONDS = 3.0  # Longest time without a sync while the view keeps changing.
ALONE_PROBE_INTERVAL_SECONDS = 0.4  # Probe interval of a member that knows no other one that is alive.
MAX_SEGMENTS_PER_SYNC = 3


@dataclass(frozen=True)
class ProtocolConfig:
    """Parameters of the protocol. All durations are in seconds.

    Attributes:
        probe_interval: Time between two probes.
        retry_after: Time from the first ping of a probe to the second if no answer arrives.
        indirect_probe_after: Time from the first ping of a probe until helpers are asked.
        probe_timeout: Time from the first ping of a probe until the probe has failed.
        helper_probe_timeout: Time from the first ping of a helper's or verifier's probe until it has failed.
        helper_count: Number of helpers of an indirect probe.
        min_relayed_observers: Minimum number of observers for a suspicion to be relayed to others. With two
            or more, a single false observer is not relayed.
        verifier_count: Average number of members that verify a suspicion by probes of their own.
        verification_interval: Time between two probes of a verifier.
        final_check_lead: Time before a suspect is declared dead at which members probe it once more.
        max_final_check_fleet: Size of the largest fleet in which all members take part in the final check.
        join_wait: Time that a joining member waits for further answers after the first one.
        join_timeout: Time after which a joining member without any answer assumes that it is the first.
        pause_threshold: Minimum delay of an event for this process to count as paused.
        delay_threshold: Delay of an event above which answers may still be unread in the socket.
        quiet_period: Time after a pause, a loss of contact or a join in which this member suspects nobody.
        isolation_timeout: Time without any message after which this member counts as isolated.
        unanswered_timeout: Time without any answer after which this member counts as unanswered.
        batch_window: Time that an announcement of deaths or joins waits for further ones.
        join_rate: Pings per second that each dead member receives from all members together.
        max_join_rate: Maximum number of pings per second that one member sends to dead members.
        sync_interval: Minimum time between two syncs of records.
        refutation_interval: Minimum time between two refutations, unless others report a higher incarnation.
        heartbeat_interval: Time between heartbeats to all members; 0 to send probes instead. Heartbeats serve
            as a baseline for comparison.
        min_false_suspicions: Minimum number of unreachable members that must turn out to be alive before this
            member stops suspecting others.
        monitors_itself: Whether this member suspects nobody after a pause, a loss of contact, or too many
            false suspicions of its own.
        timeouts: Timeouts and quorum of suspicions.
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
