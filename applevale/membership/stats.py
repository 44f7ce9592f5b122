"""Counts of what the membership protocol did."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class MembershipStats:
    """Counts since the start. The names of the fields are those of the counters, after `members_`.

    Attributes:
        sent: Messages sent.
        sent_bytes: Bytes sent.
        heard: Messages received.
        held_back: Messages that the token bucket kept back.
        probes: Probes started.
        failed: Probes that failed.
        suspected: Suspicions that had a quorum.
        raised: Rises of the own incarnation.
        died: Members declared dead.
        paused: Pauses of this process.
        repairs: Comparisons of records.
        floods: Messages beyond what one sender is answered.
    """

    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0
    held_back: int = 0
    probes: int = 0
    failed: int = 0
    suspected: int = 0
    raised: int = 0
    died: int = 0
    paused: int = 0
    repairs: int = 0
    floods: int = 0
