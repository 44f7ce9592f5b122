"""Which of two requests came first, as far as reading sockets can tell. No I/O and no clock: times are given.

A loop that runs on time reads sockets in the order in which their data came. After it stood still, all that
gathered is read socket by socket, and the order of arrival is lost. Invariants:

- `Source.clear`: everything that came to the socket before it has been read.
- `Arrivals.polled`: every socket that was waited for by then was looked at after it. A tick is told at the
  start of a turn of the loop and the sockets are looked at later in it, so it is the last tick but one.
- What is read now came in (`since`, now], and `since` is never later than the truth.
"""

from __future__ import annotations

from math import inf

TICK = 0.01  # s between two ticks
SPACING = 0.05  # s: clients write requests of one key at least 0.06 s apart
STOOD_STILL = TICK + 0.03  # s between two ticks from which what was read may be out of order
CATCH_UP = 1.0  # s for which keyed requests wait for the rest to be read, at most
KEPT = 30.0  # s for which the last request of a key is remembered: no loop stands still for longer


class Source:
    """One socket that requests come by."""

    def __init__(self, clear: float = -inf):
        self.clear = clear

    def read(self, asked: float, polled: float, emptied: bool) -> float:
        """Since when what was just read may have lain there. `asked`: when the wait for it began;
        `emptied`: nothing was left behind it."""
        since = max(self.clear, polled) if asked <= polled else self.clear
        if emptied:
            self.clear = max(since, polled)
        return since


class Arrivals:
    def __init__(self) -> None:
        self.polled = self.tick = -inf
        self.stood = -inf  # end of the last time that the loop stood still
        self.behind = False  # since then, not all that came before it has been read
        self.last: dict[int, tuple[float, Source]] = {}  # key -> when its last was read, where

    def ticked(self, now: float) -> bool:
        """One tick; true if the loop has stood still since the one before."""
        self.polled, self.tick = self.tick, now
        if now - self.polled < STOOD_STILL or self.polled == -inf:
            return False
        self.stood, self.behind = now, True
        return True

    def settled(self, source: Source, readable: bool) -> bool:
        """Whether all is read that came to a socket before the loop ran again."""
        return not readable or source.clear >= self.stood

    def caught_up(self, all_settled: bool, now: float) -> bool:
        """Ends the catching up; past `CATCH_UP` in any case, for a flood could go on for ever."""
        if self.behind and (all_settled or now - self.stood > CATCH_UP):
            self.behind = False
        return not self.behind

    def sure(self, key: int, source: Source, since: float, now: float) -> bool:
        """Whether a request came after the one of its key that was read before it."""
        for other, (at, _) in list(self.last.items()):
            if at >= now - KEPT:
                break
            del self.last[other]
        at, former = self.last.pop(key, (-inf, source))
        self.last[key] = now, source
        return former is source or at - since < SPACING
