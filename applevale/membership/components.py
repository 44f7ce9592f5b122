"""The parts of the membership protocol that its detectors share, and their construction."""

from __future__ import annotations

from dataclasses import dataclass

from .context import ProtocolContext
from .dissemination import BroadcastQueue, MemberStore
from .local_health import LocalHealth
from .local_member import LocalMember
from .probes import ProbeTable
from .rate_limiter import SenderRateLimiter
from .sender import MessageSender
from .suspicion_table import SuspicionTable


@dataclass(frozen=True)
class SharedComponents:
    """The state and the sender of one protocol instance.

    Attributes:
        suspicions: Suspicions and claims of all members.
        broadcasts: Updates that are still to be transmitted.
        store: Applies records to the view, the suspicions and the broadcasts.
        sender: Sends messages within the bounds on bytes.
        health: Whether this member may judge others.
        probes: Probes that wait for an answer.
        local: The own record.
    """

    suspicions: SuspicionTable
    broadcasts: BroadcastQueue
    store: MemberStore
    sender: MessageSender
    health: LocalHealth
    probes: ProbeTable
    local: LocalMember


def create_shared_components(context: ProtocolContext, rate_limiter: SenderRateLimiter) -> SharedComponents:
    """Return the parts of a joining member that knows nobody."""
    suspicions = SuspicionTable(context.config, context.view)
    broadcasts = BroadcastQueue(context.config, context.view, suspicions)
    store = MemberStore(context.view, suspicions, broadcasts)
    sender = MessageSender(context, suspicions, broadcasts, rate_limiter)
    health = LocalHealth(context)
    probes = ProbeTable(context, sender, health)
    local = LocalMember(context, store, sender, health, probes)
    return SharedComponents(suspicions, broadcasts, store, sender, health, probes, local)
