"""Words against one member, and when they are enough. No I/O, no clock.

Invariants:

- Only words of distinct observers on one incarnation count; a word of the member itself never.
- Fewer than `need` of them hold nobody dead, however old they are.
- The time until death begins once there are enough anywhere: only from then on the suspect is told. However
  long ago that is said to be, `LEAD` is the most of it that counts: a lie on it gains little, and the rest is
  waited for here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf, log

from .messages import MAX_OBSERVERS

LEAD = 0.8  # s
KEPT = 3.0  # s for which words under the need are kept


@dataclass(frozen=True)
class Times:
    """s from the time of enough words until death, by the number of observers: `most` with just enough,
    `least` with `many`."""

    need: int = 3
    many: int = 5
    least: float = 1.7
    most: float = 2.4

    def of_others(self, others: int) -> tuple[int, int]:
        """Need and many where so many may give a word. No fewer than two, where more than one is asked for:
        a fleet of two holds nobody dead."""
        need = min(self.need, max(2, others))
        return need, max(need, min(self.many, others))

    def wait(self, words: int, others: int) -> float:
        need, many = self.of_others(others)
        if words >= many:
            return self.least
        return self.most - (self.most - self.least) * log(words - need + 1) / log(many - need + 1)


@dataclass(slots=True)
class Suspicion:
    incarnation: int
    latest: float = 0.0  # when the last new word came
    first: float = inf  # when there were enough words here,
    since: float = inf  # and anywhere, as far as counts
    observers: dict[int, None] = field(default_factory=dict)
    told: int = 0  # words that were passed on already
    look: float = inf  # when this one looks at the suspect again, and tells it
    last: bool = False  # whether the last look before its death was begun

    def add(self, now: float, observers: tuple[int, ...], age: float, need: int) -> bool:
        """Words of these; `age`: s since there were enough of them, where that is told. Returns whether one
        is new."""
        former = len(self.observers)
        for one in observers:
            if len(self.observers) < MAX_OBSERVERS:
                self.observers[one] = None
        new = len(self.observers) > former
        if new:
            self.latest = now
        if len(self.observers) >= need:
            self.first = min(self.first, now)
            self.since = max(min(self.since, now - age), self.first - LEAD)
        return new

    def begin_anew(self, now: float) -> None:
        """Who judged stood still, or heard nobody: what came meanwhile may have been missed."""
        self.latest, self.last = now, False
        if self.first < inf:
            self.first = self.since = now

    def over(self, now: float) -> bool:
        """The words were not enough, and are old."""
        return self.first == inf and now - self.latest > KEPT
