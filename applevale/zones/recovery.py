"""The course of one zone: home, lost, on trial, coming back. No I/O and no clock.

Invariants: a lost zone takes nothing before its rest is over; on trial it takes one attempt at a time; later
a growing share of its capacity; and since each rest is `back.rest` at least and doubles when the
zone fails soon after its return, the changes of phase in a minute are bounded (`most_changes`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from .settings import Return

TRIED = 3  # good answers in a row that end a trial


class Phase(Enum):
    HOME = "home"
    LOST = "lost"
    TRIAL = "trial"
    BACK = "back"


@dataclass
class Course:
    back: Return
    phase: Phase = Phase.HOME
    since: float = -inf
    rest: float = 0.0  # s, of the present or last loss
    returned: float = -inf  # when the last ramp began
    good: int = 0  # answers in a row on trial
    changes: int = 0

    def lost(self, now: float) -> None:
        """Its engines fail, or none of them is ready any more."""
        if self.phase is Phase.LOST:
            return
        soon = self.phase in (Phase.TRIAL, Phase.BACK) or now - self.returned <= self.back.again
        self.rest = min(self.rest * 2, self.back.rest_most) if soon and self.rest else self.back.rest
        self._go(now, Phase.LOST)

    def looked(self, now: float) -> None:
        """Time goes on."""
        if self.phase is Phase.LOST and now - self.since >= self.rest:
            self.good = 0
            self._go(now, Phase.TRIAL)
        elif self.phase is Phase.BACK and now - self.since >= self.back.over:
            self._go(now, Phase.HOME)

    def answered(self, now: float, good: bool) -> None:
        """What came of an attempt there."""
        if self.phase is not Phase.TRIAL:
            return
        if not good:
            self.lost(now)
            return
        self.good += 1
        if self.good >= TRIED:
            self.returned = now
            self._go(now, Phase.BACK)

    def share(self, now: float) -> float:
        """Of its capacity that may be used; on trial none beyond single attempts."""
        match self.phase:
            case Phase.HOME:
                return 1.0
            case Phase.BACK:
                done = min(1.0, (now - self.since) / self.back.over)
                return self.back.first + (1 - self.back.first) * done
            case _:
                return 0.0

    def most_changes(self, span: float) -> float:
        """The most changes of phase that can fall in so many s: each round is lost, trial, back, home."""
        return 4 * (span / self.back.rest + 1)

    def _go(self, now: float, phase: Phase) -> None:
        self.phase, self.since = phase, now
        self.changes += 1
