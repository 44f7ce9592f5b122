"""Whether the promise of freshness can be kept at the pace and latency there is. No I/O, no clock.

States: kept -> given up -> on trial -> kept. Invariants:

- A single lapse gives nothing up: the next answer makes it good. Several in a short time do, and so do
  answers that take so long that no pace keeps the promise.
- Nothing is promised before one answer came in time: a start at a slow service does not turn to and fro, and
  one on a busy machine, whose own loop is late, has more time to find out.
- Once given up it is held to be broken without a break in between until a trial at full pace went through
  without a lapse: no turning to and fro with each answer.
- While it is given up questions are few, and a service that too many ask has room for those it can bear.
- Each failed trial makes the rest before the next one longer, up to a bound; one that went through ends that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

SPAN = 6.0  # s
MOST_LAPSES, MOST_SLOW = 4, 3  # lapses in that span, and slow answers in a row, that give it up
TRIAL = 1.0  # s at full pace without a lapse
SELDOM = (1.0, 4.0)  # s between two questions while it is given up: at first, and after failed trials
REST = (0.5, 16.0)  # s until the next trial


class Kept(Enum):
    KEPT = "kept"
    GIVEN_UP = "given up"
    ON_TRIAL = "on trial"


@dataclass
class Promise:
    """`room`: s that an answer may take so that the next one still comes in time."""

    room: float
    state: Kept = Kept.KEPT
    lapses: deque[float] = field(default_factory=lambda: deque(maxlen=MOST_LAPSES))
    slow: int = 0  # answers in a row that took longer than the room
    proved: bool = False  # an answer came in time
    since: float = -inf  # of the state
    failed: int = 0  # trials in a row
    rest: float = 0.0  # s until the next trial

    @property
    def holds(self) -> bool:
        return self.proved and self.state is Kept.KEPT

    def greeted(self, took: float) -> None:
        """The first answer of a session: it may be late for the connection's sake, and condemns no one."""
        self.proved |= took <= self.room

    def answered(self, now: float, took: float, lapsed: bool, draw: float) -> None:
        """An answer after `took` s; `lapsed`: the promise was broken before it, or still is. `draw`: random
        from 0 to 1."""
        self.slow = self.slow + 1 if took > self.room else 0
        first, self.proved = not (self.proved or self.slow), self.proved or not self.slow
        if lapsed:
            self.lapses.append(now)
        if self.state is Kept.KEPT:
            often = len(self.lapses) == MOST_LAPSES and now - self.lapses[0] <= SPAN
            if often or self.slow >= (MOST_SLOW if self.proved else 3 * MOST_SLOW):
                self._give_up(now, draw)
        elif self.state is Kept.ON_TRIAL:
            if lapsed or self.slow:
                self.failed += 1
                self._give_up(now, draw)
            elif now - self.since >= TRIAL:
                self.state, self.since, self.failed = Kept.KEPT, now, 0
                self.lapses.clear()
        elif first:  # nothing was promised before: no trial is owed
            self.state, self.since = Kept.KEPT, now
        elif not self.slow and now - self.since >= self.rest:
            self.state, self.since = Kept.ON_TRIAL, now

    def refused(self, now: float, draw: float) -> None:
        """A question was refused: no trial goes through with that."""
        if self.state is Kept.ON_TRIAL:
            self.failed += 1
            self._give_up(now, draw)

    def _give_up(self, now: float, draw: float) -> None:
        self.state, self.since = Kept.GIVEN_UP, now
        self.rest = min(REST[1], REST[0] * 2 ** min(self.failed, 10)) * (0.5 + draw)

    def seldom(self) -> float:
        """s between two questions at the least; 0: as the promise needs."""
        if self.state is not Kept.GIVEN_UP:
            return 0.0
        return min(SELDOM[1], SELDOM[0] * 2 ** min(self.failed, 10))
