"""Statistics of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class MembershipStats:
    """Counts since the start. Each field is published as the counter `members_NAME`.

    Attributes:
        sent: Messages sent.
        sent_bytes: Bytes sent.
        heard: Messages received and accepted.
        held_back: Messages dropped because of the token bucket.
        probes: Probes started.
        failed: Probes that failed.
        suspected: Suspicions that reached a quorum.
        raised: Refutations, each of which raises this member's incarnation.
        died: Members declared dead.
        paused: Pauses of this process.
        repairs: Syncs of records that this member requested.
        floods: Messages ignored and pings not answered because one sender exceeded its limits.
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
