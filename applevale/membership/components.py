"""The components that the detectors of the membership protocol share, and their construction."""

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
    """The shared state and the message sender of one protocol instance.

    Attributes:
        suspicions: Suspicions against members, and claims that members died or left.
        broadcasts: Updates that are still to be disseminated.
        store: Applies records to the view, the suspicions and the broadcasts.
        sender: Sends messages within the limit on bytes.
        health: The status of this member, which decides whether it may suspect others.
        probes: Probes that wait for an answer.
        local: The record of this member.
    """

    suspicions: SuspicionTable
    broadcasts: BroadcastQueue
    store: MemberStore
    sender: MessageSender
    health: LocalHealth
    probes: ProbeTable
    local: LocalMember


def create_shared_components(context: ProtocolContext, rate_limiter: SenderRateLimiter) -> SharedComponents:
    """Create the components of a joining member that knows no other member yet."""
    suspicions = SuspicionTable(context.config, context.view)
    broadcasts = BroadcastQueue(context.config, context.view, suspicions)
    store = MemberStore(context.view, suspicions, broadcasts)
    sender = MessageSender(context, suspicions, broadcasts, rate_limiter)
    health = LocalHealth(context)
    probes = ProbeTable(context, sender, health)
    local = LocalMember(context, store, sender, health, probes)
    return SharedComponents(suspicions, broadcasts, store, sender, health, probes, local)
