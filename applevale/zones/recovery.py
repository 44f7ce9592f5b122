"""The recovery of one zone as a state machine: healthy, lost, trial, ramping. No I/O and no clock.

Invariants:

- A lost zone receives no work before its cooldown is over. On trial it receives one attempt at a time. While
  it ramps up it receives a growing share of its capacity.
- A cooldown lasts at least `min_cooldown`, and doubles if the zone fails soon after its return. This bounds
  the number of phase changes within a period (`max_phase_changes`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from .settings import RecoverySettings

TRIAL_SUCCESSES = 3  # Consecutive successes that end a trial.
PHASES_PER_RECOVERY = 4  # The phases are lost, trial, ramping and healthy.


class RecoveryPhase(Enum):
    """Phase of a zone's recovery.

    Attributes:
        HEALTHY: The zone receives work without limits from its recovery.
        LOST: The zone receives no work until its cooldown is over.
        TRIAL: The zone receives one attempt at a time.
        RAMPING: The zone receives a growing share of its capacity.
    """

    HEALTHY = "healthy"
    LOST = "lost"
    TRIAL = "trial"
    RAMPING = "ramping"


@dataclass
class ZoneRecovery:
    """State machine of one zone's recovery. All times are in seconds.

    Attributes:
        settings: Cooldowns and ramp, from the zones file.
        phase: The current phase.
        phase_started_at: When the current phase started.
        cooldown: Duration of the current or latest cooldown.
        ramp_started_at: When the latest ramp started.
        trial_successes: Consecutive successes in the current or latest trial.
        phase_changes: Number of phase changes so far.
    """

    settings: RecoverySettings
    phase: RecoveryPhase = RecoveryPhase.HEALTHY
    phase_started_at: float = -inf
    cooldown: float = 0.0
    ramp_started_at: float = -inf
    trial_successes: int = 0
    phase_changes: int = 0

    def mark_lost(self, now: float) -> None:
        """Start a cooldown, because the engines of the zone fail or none of them is ready any more."""
        if self.phase is RecoveryPhase.LOST:
            return
        if self._is_relapse(now) and self.cooldown:
            self.cooldown = min(self.cooldown * 2, self.settings.max_cooldown)
        else:
            self.cooldown = self.settings.min_cooldown
        self._enter(now, RecoveryPhase.LOST)

    def advance(self, now: float) -> None:
        """Enter the next phase if the duration of the current one has passed."""
        elapsed = now - self.phase_started_at
        if self.phase is RecoveryPhase.LOST and elapsed >= self.cooldown:
            self.trial_successes = 0
            self._enter(now, RecoveryPhase.TRIAL)
        elif self.phase is RecoveryPhase.RAMPING and elapsed >= self.settings.ramp_duration:
            self._enter(now, RecoveryPhase.HEALTHY)

    def record_result(self, now: float, is_success: bool) -> None:
        """Record the result of an attempt in the zone; it has an effect only during a trial."""
        if self.phase is not RecoveryPhase.TRIAL:
            return
        if not is_success:
            self.mark_lost(now)
            return
        self.trial_successes += 1
        if self.trial_successes >= TRIAL_SUCCESSES:
            self.ramp_started_at = now
            self._enter(now, RecoveryPhase.RAMPING)

    def usable_share(self, now: float) -> float:
        """Return the share of the zone's capacity that may be used.

        It is 0 on trial: the single attempts of a trial do not depend on it.
        """
        match self.phase:
            case RecoveryPhase.HEALTHY:
                return 1.0
            case RecoveryPhase.RAMPING:
                progress = min(1.0, (now - self.phase_started_at) / self.settings.ramp_duration)
                return self.settings.initial_share + (1 - self.settings.initial_share) * progress
            case _:
                return 0.0

    def max_phase_changes(self, duration: float) -> float:
        """Return an upper bound on the number of phase changes within `duration` seconds."""
        return PHASES_PER_RECOVERY * (duration / self.settings.min_cooldown + 1)

    def _is_relapse(self, now: float) -> bool:
        if self.phase in (RecoveryPhase.TRIAL, RecoveryPhase.RAMPING):
            return True
        return now - self.ramp_started_at <= self.settings.relapse_window

    def _enter(self, now: float, phase: RecoveryPhase) -> None:
        self.phase = phase
        self.phase_started_at = now
        self.phase_changes += 1
