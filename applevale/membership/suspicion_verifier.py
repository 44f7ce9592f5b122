"""Verification of suspicions: suspects are pinged or probed before they are declared dead."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from .components import SharedComponents
from .config import FINAL_CHECK_TRANSMITS, MAX_PIGGYBACK_SUSPICIONS
from .context import ProtocolContext
from .suspicion import Suspicion


class SuspicionVerifier:
    """Checks suspects that others could not reach, as one of a few members that are drawn to do so."""

    def __init__(self, context: ProtocolContext, components: SharedComponents):
        """Create a verifier of the suspicions in a table."""
        self._config = context.config
        self._identity = context.identity
        self._view = context.view
        self._stats = context.stats
        self._suspicions = components.suspicions
        self._broadcasts = components.broadcasts
        self._sender = components.sender
        self._probes = components.probes

    def on_quorum(self, now: float, member: int, suspicion: Suspicion) -> None:
        """Begin to verify a suspicion that has just found enough observers."""
        self._stats.suspected += 1
        if self._is_verifier(member, suspicion.incarnation):
            suspicion.next_check_at = now
        elif self._identity.member in suspicion.observers:
            self._ping_suspect(now, member)  # which informs it

    def verify_suspects(self, now: float) -> None:
        """Ping or probe suspects that are due; in a small fleet, all once more before their death."""
        for member, suspicion in self._suspicions.active.items():
            is_final = self._is_final_check_due(now, member, suspicion)
            if now < suspicion.next_check_at and not is_final:
                continue
            if is_final:
                suspicion.final_check_started = True
                self._broadcasts.ensure_transmits(
                    member, FINAL_CHECK_TRANSMITS
                )  # a member with a later record answers
            if suspicion.next_check_at < inf:
                suspicion.next_check_at = now + self._check_interval()
            elif not self._takes_part_in_final_check(suspicion):
                continue
            if self._identity.member in suspicion.observers:
                self._ping_suspect(now, member)
            else:
                self._probes.start_verification(now, member)

    def _check_interval(self) -> float:
        """Return the seconds between checks of a suspect; more with many suspects, as bytes are scarce."""
        crowding = max(1, len(self._suspicions.active) / MAX_PIGGYBACK_SUSPICIONS)
        return self._config.verification_interval * crowding

    def _takes_part_in_final_check(self, suspicion: Suspicion) -> bool:
        """Return whether this member, which is not a verifier, probes the suspect before its death."""
        is_small_fleet = self._view.member_count <= self._config.max_final_check_fleet
        return is_small_fleet and self._identity.member not in suspicion.observers

    def _is_verifier(self, member: int, incarnation: int) -> bool:
        """Return whether this member verifies the suspicion; each member draws for itself."""
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
        """Inform a suspect of the suspicion."""
        self._sender.send_ping(now, member, self._probes.next_sequence_number())
