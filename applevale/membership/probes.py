"""Probes that wait for an answer."""

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
        incarnation: Its incarnation at the time; the answer of an earlier one does not count.
        retry_at: When the second ping is due; infinite once it was sent.
        indirect_at: When helpers are asked; infinite once they were, and where none are.
        expires_at: When the probe has failed.
        requester: The member that this one helps; None for a probe of its own.
        request_sequence_number: The sequence number of that member's request.
        helper_count: Helpers that were asked.
        failed_helpers: Helpers that could not reach the subject either.
        is_verification: Whether it verifies the suspicion of others, without helpers.
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
    """The probes that wait for an answer, by sequence number, and when the next one is due.

    Attributes:
        pending: Probes by sequence number.
        next_probe_at: When the next member is probed, in seconds.
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
        """Return a new sequence number."""
        self._last_sequence_number = (self._last_sequence_number + 1) % SEQUENCE_NUMBERS
        return self._last_sequence_number

    def next_deadline(self) -> float:
        """Return when a probe has to be looked at next."""
        return min(
            (min(probe.retry_at, probe.indirect_at, probe.expires_at) for probe in self.pending.values()),
            default=inf,
        )

    def start(self, now: float, subject: int) -> None:
        """Probe a member, later with the help of others."""
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
        """Probe a member that others suspect, without helpers."""
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
        """Probe a member for another one."""
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
        """Put all deadlines off: this process was late, and answers may lie in its socket."""
        for probe in self.pending.values():
            probe.retry_at += delay
            probe.indirect_at += delay
            probe.expires_at += delay + self._config.delay_threshold

    def clear(self) -> None:
        """Forget all probes."""
        self.pending.clear()

    def snapshot(self) -> Iterator[tuple[int, Probe]]:
        """Iterate over the probes pending now, by sequence number; they may be removed meanwhile."""
        return iter(list(self.pending.items()))

    def _ping(self, now: float, probe: Probe, reserve: float) -> None:
        sequence_number = self.next_sequence_number()
        if self._sender.send_ping(now, probe.subject, sequence_number, reserve):
            self._stats.probes += 1
            self.pending[sequence_number] = probe
