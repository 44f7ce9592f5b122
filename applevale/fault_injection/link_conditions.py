"""What befalls what one party sends another: a fate for each ordered pair. No I/O and no clock.

Names are those of a rig: `n0`, `n1`, … for instances, `list0`, … for members of the list service, `e1`, … for
engines. Invariants:

- Each ordered pair has random numbers of its own, from the seed and the two names: what one pair sends
  changes nothing for another.
- The latest word on a pair holds, until that very word is taken back; then the one before it holds again.
"""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase
from hashlib import blake2b
from math import log

import msgspec

_MASK = (1 << 64) - 1
MOST_LATE = 30.0  # s: what would come later than this is lost


class Fate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shares are of 1; times in s; bandwidth in bytes a second."""

    cut: bool = False  # nothing passes; on TCP it waits for the end of the cut, as with retransmission
    refuse: bool = False  # TCP: a connection is reset at once, and open ones are ended
    loss: float = 0.0  # datagrams
    delay: float = 0.0  # at the least
    jitter: float = 0.0  # mean of what comes on top, exponentially
    reorder: float = 0.0  # datagrams that are held back for `held`, so that later ones overtake them
    held: float = 0.0
    copies: float = 0.0  # datagrams that come a second time
    bandwidth: float = 0.0  # 0: no limit


CLEAR = Fate()


@dataclass(slots=True)
class _Pair:
    """Small, for there may be millions: its random numbers are those of a counter (SplitMix64)."""

    state: int
    free: float = 0.0  # when its line is free again, by bandwidth

    def draw(self) -> float:
        """From 0 to under 1."""
        self.state = mixed = (self.state + 0x9E3779B97F4A7C15) & _MASK
        mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK
        mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK
        return ((mixed ^ mixed >> 31) >> 11) / (1 << 53)


class Fates:
    def __init__(self, seed: int):
        self.seed = seed
        self.words: list[tuple[int, tuple[str, ...], tuple[str, ...], Fate]] = []
        self.known: dict[tuple[str, str], Fate] = {}  # what the words come to, for pairs that were asked for
        self.pairs: dict[tuple[str, str], _Pair] = {}
        self.numbers = 0

    def put(self, sources: tuple[str, ...], targets: tuple[str, ...], fate: Fate) -> int:
        """From now on for all pairs of the two groups (patterns as of file names); a number to lift it by."""
        self.numbers += 1
        self.words.append((self.numbers, sources, targets, fate))
        self.known.clear()
        return self.numbers

    def lift(self, number: int) -> None:
        self.words = [word for word in self.words if word[0] != number]
        self.known.clear()

    def of(self, source: str, target: str) -> Fate:
        found = self.known.get((source, target))
        if found is None:
            found = next(
                (
                    fate
                    for _, sources, targets, fate in reversed(self.words)
                    if matches(source, sources) and matches(target, targets)
                ),
                CLEAR,
            )
            self.known[source, target] = found
        return found

    def _pair(self, source: str, target: str) -> _Pair:
        pair = self.pairs.get((source, target))
        if pair is None:
            mark = blake2b(f"{self.seed} {source} {target}".encode(), digest_size=8).digest()
            pair = self.pairs[source, target] = _Pair(int.from_bytes(mark, "big"))
        return pair

    def wait(self, now: float, source: str, target: str, size: int) -> float:
        """How long bytes of a stream take, in s; the caller keeps their order."""
        fate, pair = self.of(source, target), self._pair(source, target)
        wait = fate.delay + (-fate.jitter * log(1 - pair.draw()) if fate.jitter else 0.0)
        if fate.bandwidth:
            pair.free = max(now, pair.free) + size / fate.bandwidth
            wait += pair.free - now
        return wait

    def datagram(self, now: float, source: str, target: str, size: int) -> tuple[float, ...]:
        """After how many s each of its copies arrives; none: it is lost."""
        if not self.words or (fate := self.of(source, target)) is CLEAR:
            return (0.0,)
        pair = self._pair(source, target)
        if fate.cut or (fate.loss and pair.draw() < fate.loss):
            return ()
        waits = []
        for _ in range(1 + bool(fate.copies and pair.draw() < fate.copies)):
            wait = self.wait(now, source, target, size)
            if fate.reorder and pair.draw() < fate.reorder:
                wait += fate.held
            if wait <= MOST_LATE:
                waits.append(wait)
        return tuple(waits)


def matches(name: str, patterns: tuple[str, ...]) -> bool:
    return any(fnmatchcase(name, pattern) for pattern in patterns)
