"""Verification of suspicions: some members ping or probe a suspect again before it is declared dead."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from .components import SharedComponents
from .config import FINAL_CHECK_TRANSMITS, MAX_PIGGYBACK_SUSPICIONS
from .context import ProtocolContext
from .suspicion import Suspicion


class SuspicionVerifier:
    """Checks suspects that others could not reach, if this member was drawn as one of their few verifiers."""

    def __init__(self, context: ProtocolContext, components: SharedComponents):
        """Create a verifier of the suspicions in the given components."""
        self._config = context.config
        self._identity = context.identity
        self._view = context.view
        self._stats = context.stats
        self._suspicions = components.suspicions
        self._broadcasts = components.broadcasts
        self._sender = components.sender
        self._probes = components.probes

    def on_quorum(self, now: float, member: int, suspicion: Suspicion) -> None:
        """Start to verify a suspicion that has just reached its quorum."""
        self._stats.suspected += 1
        if self._is_verifier(member, suspicion.incarnation):
            suspicion.next_check_at = now
        elif self._identity.member in suspicion.observers:
            self._ping_suspect(now, member)

    def verify_suspects(self, now: float) -> None:
        """Ping or probe the suspects whose next check or final check is due.

        In a small fleet all members take part in the final check, shortly before the death.
        """
        for member, suspicion in self._suspicions.active.items():
            is_final = self._is_final_check_due(now, member, suspicion)
            if now < suspicion.next_check_at and not is_final:
                continue
            if is_final:
                suspicion.final_check_started = True
                # A receiver that knows a later record of the suspect replies with it.
                self._broadcasts.ensure_transmits(member, FINAL_CHECK_TRANSMITS)
            if suspicion.next_check_at < inf:
                suspicion.next_check_at = now + self._check_interval()
            elif not self._takes_part_in_final_check(suspicion):
                continue
            if self._identity.member in suspicion.observers:
                self._ping_suspect(now, member)
            else:
                self._probes.start_verification(now, member)

    def _check_interval(self) -> float:
        """Return the seconds between checks of a suspect; more with many suspects, to save bytes."""
        slowdown = max(1, len(self._suspicions.active) / MAX_PIGGYBACK_SUSPICIONS)
        return self._config.verification_interval * slowdown

    def _takes_part_in_final_check(self, suspicion: Suspicion) -> bool:
        """Return whether this member, without being a verifier, takes part in the suspect's final check."""
        is_small_fleet = self._view.member_count <= self._config.max_final_check_fleet
        return is_small_fleet and self._identity.member not in suspicion.observers

    def _is_verifier(self, member: int, incarnation: int) -> bool:
        """Return whether this member verifies the suspicion.

        The draw is a hash of both members and the incarnation, so no coordination is needed.
        """
        member_count = self._view.member_count
        if member_count <= self._config.verifier_count + 2:
            return True
        key = b"%d %d %d" % (self._identity.member, member, incarnation)
        draw = int.from_bytes(blake2b(key, digest_size=4).digest(), "big")
        return draw * member_count < self._config.verifier_count * 2**32

    def _is_final_check_due(self, now: float, member: int, suspicion: Suspicion) -> bool:
        if suspicion.final_check_started:
            return False
        return now >= self._suspicions.expires_at(member, suspicion) - self._config.final_check_lead

    def _ping_suspect(self, now: float, member: int) -> None:
        """Ping a suspect, which also informs it of the suspicion."""
        self._sender.send_ping(now, member, self._probes.next_sequence_number())
