"""Probes of members, their deadlines, and the table of those that wait for an answer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from .config import HELP_RESERVE_BYTES, PROBE_RESERVE_BYTES
from .context import ProtocolContext
from .local_health import LocalHealth
from .sender import MessageSender

SEQUENCE_NUMBERS = 65536


@dataclass(slots=True)
class Probe:
    """A ping that waits for its answer.

    Attributes:
        subject: The member that was pinged.
        incarnation: The subject's incarnation at the time; an answer with an earlier one is ignored.
        retry_at: When the second ping is due; infinite once it was sent.
        indirect_at: When helpers are asked; infinite once they were asked, or if the probe uses none.
        expires_at: When the probe fails.
        requester: The member on whose behalf this one probes; None for a probe of its own.
        request_sequence_number: Sequence number of the requester's ping request.
        helper_count: Number of helpers that were asked.
        failed_helpers: Helpers that could not reach the subject either.
        is_verification: Whether the probe verifies a suspicion that others raised.
    """

    subject: int
    incarnation: int
    retry_at: float
    indirect_at: float
    expires_at: float
    requester: int | None = None
    request_sequence_number: int = 0
    helper_count: int = 0
    failed_helpers: list[int] = field(default_factory=list)
    is_verification: bool = False


class ProbeTable:
    """Starts probes and keeps those that wait for an answer.

    Attributes:
        pending: Probes that wait for an answer, by sequence number.
        next_probe_at: When the next member is to be probed, in seconds.
    """

    def __init__(self, context: ProtocolContext, sender: MessageSender, health: LocalHealth):
        """Create an empty table."""
        self._config = context.config
        self._view = context.view
        self._stats = context.stats
        self._sender = sender
        self._health = health
        self.pending: dict[int, Probe] = {}
        self.next_probe_at = inf
        self._last_sequence_number = 0

    def next_sequence_number(self) -> int:
        """Return the next sequence number; the numbers wrap around after `SEQUENCE_NUMBERS`."""
        self._last_sequence_number = (self._last_sequence_number + 1) % SEQUENCE_NUMBERS
        return self._last_sequence_number

    def next_deadline(self) -> float:
        """Return the earliest deadline of any pending probe, in seconds; infinite without probes."""
        return min(
            (min(probe.retry_at, probe.indirect_at, probe.expires_at) for probe in self.pending.values()),
            default=inf,
        )

    def start(self, now: float, subject: int) -> None:
        """Probe a member; helpers are asked later if it does not answer."""
        config = self._config
        slowdown = self._health.slowdown
        probe = Probe(
            subject=subject,
            incarnation=self._view.table.records[subject].incarnation,
            retry_at=now + config.retry_after * slowdown,
            indirect_at=now + config.indirect_probe_after * slowdown,
            expires_at=now + config.probe_timeout * slowdown,
        )
        self._ping(now, probe, PROBE_RESERVE_BYTES)

    def start_verification(self, now: float, subject: int) -> None:
        """Probe a member that others suspect; no helpers are asked."""
        slowdown = self._health.slowdown
        probe = Probe(
            subject=subject,
            incarnation=self._view.table.records[subject].incarnation,
            retry_at=now + self._config.retry_after * slowdown,
            indirect_at=inf,
            expires_at=now + self._config.helper_probe_timeout * slowdown,
            is_verification=True,
        )
        self._ping(now, probe, PROBE_RESERVE_BYTES)

    def start_for_requester(
        self, now: float, subject: int, requester: int, request_sequence_number: int
    ) -> None:
        """Probe a member on behalf of another one; no helpers are asked."""
        probe = Probe(
            subject=subject,
            incarnation=self._view.table.records[subject].incarnation,
            retry_at=now + self._config.retry_after,
            indirect_at=inf,
            expires_at=now + self._config.helper_probe_timeout,
            requester=requester,
            request_sequence_number=request_sequence_number,
        )
        self._ping(now, probe, HELP_RESERVE_BYTES)

    def postpone(self, delay: float) -> None:
        """Postpone all deadlines: this process was delayed, and answers may still be unread in the socket."""
        for probe in self.pending.values():
            probe.retry_at += delay
            probe.indirect_at += delay
            probe.expires_at += delay + self._config.delay_threshold

    def clear(self) -> None:
        """Discard all pending probes."""
        self.pending.clear()

    def snapshot(self) -> Iterator[tuple[int, Probe]]:
        """Iterate over a copy of the pending probes, so that probes may be removed during the iteration."""
        return iter(list(self.pending.items()))

    def _ping(self, now: float, probe: Probe, reserve: float) -> None:
        sequence_number = self.next_sequence_number()
        if self._sender.send_ping(now, probe.subject, sequence_number, reserve):
            self._stats.probes += 1
            self.pending[sequence_number] = probe
