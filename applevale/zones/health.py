"""Whether a zone is lost, by what this instance sees of its engines. No I/O and no clock.

Invariants: a verdict rests on `ENGINES` engines at least (all of them, in a smaller zone) and `SIGNS` bad
signs within `SPAN`; an engine counts as it showed last; and where every zone shows the same, none is lost.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

SPAN = 2.0  # s for which a sign counts
SIGNS = 4  # bad signs that a verdict needs
ENGINES = 2  # that they come from
LOST = 0.6  # share of the engines with signs that are bad, from which a zone is lost
SHARED = 0.5  # the same share in another zone, from which it is what they share


@dataclass
class Seen:
    """One engine."""

    good: float = -inf  # when its last good sign came
    bad: float = -inf

    def is_bad(self, now: float) -> bool:
        return self.bad > self.good and now - self.bad <= SPAN

    def known(self, now: float) -> bool:
        return now - max(self.good, self.bad) <= SPAN


@dataclass
class Health:
    """The engines of one zone."""

    engines: dict[int, Seen] = field(default_factory=dict)
    signs: deque[float] = field(default_factory=deque)  # times of the bad ones

    def listed(self, numbers: set[int]) -> None:
        for number in list(self.engines):
            if number not in numbers:
                del self.engines[number]
        for number in numbers:
            self.engines.setdefault(number, Seen())

    def sign(self, now: float, engine: int, good: bool) -> None:
        seen = self.engines.get(engine)
        if seen is None:
            return
        if good:
            seen.good = now
        else:
            seen.bad = now
            self.signs.append(now)
        while self.signs and self.signs[0] < now - SPAN:
            self.signs.popleft()

    def bad_share(self, now: float) -> float:
        """Of the engines that showed anything lately; 0 with too little to go by."""
        known = [seen for seen in self.engines.values() if seen.known(now)]
        bad = sum(seen.is_bad(now) for seen in known)
        signs = sum(at >= now - SPAN for at in self.signs)
        if bad < min(ENGINES, len(self.engines)) or signs < SIGNS:
            return 0.0
        return bad / len(known)


def lost_zones(zones: dict[int, Health], now: float) -> set[int]:
    """Zones whose engines fail together while another zone's do not."""
    shares = {zone: health.bad_share(now) for zone, health in zones.items() if health.engines}
    lost = {zone for zone, share in shares.items() if share >= LOST}
    others = [share for zone, share in shares.items() if zone not in lost]
    if len(shares) > 1 and (not others or min(others) >= SHARED):
        return set()
    return lost
