"""When this instance may open connections to each engine, so that all together stay within a rate.

No I/O, no clock.

Hundreds that start, or lose their links, at the same moment know nothing of each other but how many they are
and each its own number. The rate per engine is shared out as places in a round: a round lasts as long as all
need one after the other, each has one place in it, and places for different engines are shifted against each
other, so that an instance has its first engines soon. To let each begin with one at once was tried: it is one
connection more for each of them in the first moment, half as many again as the rate.

Invariants:

- An instance begins at most one connection to an engine in a round, whatever came of the last one.
- A break that all see at once begins a new round for that engine, in which each waits for its place.
- With a rate that all may use up at once (a small fleet) nobody waits.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

SHORT = 0.1  # s: a round as short as this makes no difference
SPARE = 0.95  # of the rate that is shared out: starts are not in step to the millisecond


@dataclass
class Ramp:
    """`rate`: connections a second to one engine, over all `instances`; `me`: this one's number, from 0."""

    rate: float
    instances: int
    me: int
    next: dict[int, float] = field(default_factory=dict)  # engine -> from when on it may be called

    @property
    def round(self) -> float:
        """s; 0 where nobody has to wait."""
        length = self.instances / (SPARE * self.rate)
        return length if length > SHORT else 0.0

    def place(self, engine: int) -> float:
        """s into a round at which this instance's turn comes."""
        if not self.round:
            return 0.0
        shift = int.from_bytes(blake2b(b"%d" % engine, digest_size=4).digest(), "big")
        return (self.me + shift) % self.instances / (SPARE * self.rate)

    def listed(self, engines: set[int], now: float) -> None:
        """The engines there are. For those not known yet a round begins."""
        for engine in [engine for engine in self.next if engine not in engines]:
            del self.next[engine]
        for engine in engines - self.next.keys():
            self.next[engine] = now + self.place(engine)

    def may(self, engine: int, now: float) -> bool:
        return now >= self.next.get(engine, -inf)

    def begun(self, engine: int, now: float) -> None:
        """A connection is being opened."""
        if self.round and engine in self.next:
            self.next[engine] = now + self.round

    def parted(self, engine: int, now: float) -> None:
        """The last link to it broke: so it may have for all."""
        if self.round and engine in self.next:
            self.next[engine] = max(self.next[engine], now + self.place(engine))
