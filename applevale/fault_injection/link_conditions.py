"""What happens to bytes from one party to another: a condition for each ordered pair. No I/O and no clock.

Names are those of a harness: `n0`, `n1`, ... for instances, `list0`, ... for members of the registry, `e1`,
... for engines. Invariants:

- Each ordered pair has random numbers of its own, from the seed and the two names: what one pair sends
  changes nothing for another.
- The condition that was applied last to a pair holds until it is removed; then the one before it holds again.
"""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase
from hashlib import blake2b
from math import log

import msgspec

_MASK_64 = (1 << 64) - 1
MAX_DELAY_SECONDS = 30.0  # a datagram that would be delayed for longer is lost


class LinkCondition(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"reorder_delay": "held", "duplication": "copies"},
):
    """What happens on one way between two parties. Probabilities are of 1, times in s."""

    cut: bool = False  # nothing passes; on TCP it waits for the end of the cut, as with retransmission
    refuse: bool = False  # TCP: a connection is reset at once, and open ones are ended
    loss: float = 0.0  # probability that a datagram is lost
    delay: float = 0.0  # minimum
    jitter: float = 0.0  # mean of what comes on top of the delay, exponentially distributed
    reorder: float = 0.0  # probability that a datagram is held back, so that later ones overtake it
    reorder_delay: float = 0.0  # for which it is held back
    duplication: float = 0.0  # probability that a datagram comes a second time
    bandwidth: float = 0.0  # bytes a second; 0: no limit


CLEAR = LinkCondition()


@dataclass(slots=True)
class _PairState:
    """The state of one ordered pair; small, for there may be millions."""

    random_state: int  # of a SplitMix64 generator
    free_at: float = 0.0  # when the link has sent what it was given, by its bandwidth

    def draw(self) -> float:
        """Return a random number from 0 to under 1."""
        self.random_state = mixed = (self.random_state + 0x9E3779B97F4A7C15) & _MASK_64
        mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64
        mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64
        return ((mixed ^ mixed >> 31) >> 11) / (1 << 53)


@dataclass(frozen=True, slots=True)
class _Rule:
    """A condition that was applied to all pairs of two groups (patterns as of file names)."""

    number: int
    sources: tuple[str, ...]
    targets: tuple[str, ...]
    condition: LinkCondition

    def covers(self, source: str, target: str) -> bool:
        return matches_any(source, self.sources) and matches_any(target, self.targets)


class LinkConditions:
    """The conditions of all pairs, and the delays that follow from them."""

    def __init__(self, seed: int):
        """Start with clear links; `seed` decides all random numbers."""
        self.seed = seed
        self.rules: list[_Rule] = []
        self.condition_cache: dict[tuple[str, str], LinkCondition] = {}
        self.pair_states: dict[tuple[str, str], _PairState] = {}
        self.rule_count = 0

    def apply(self, sources: tuple[str, ...], targets: tuple[str, ...], condition: LinkCondition) -> int:
        """Apply a condition to all pairs of two groups; return a number to remove it by."""
        self.rule_count += 1
        self.rules.append(_Rule(self.rule_count, sources, targets, condition))
        self.condition_cache.clear()
        return self.rule_count

    def remove(self, number: int) -> None:
        """Remove a condition that was applied."""
        self.rules = [rule for rule in self.rules if rule.number != number]
        self.condition_cache.clear()

    def between(self, source: str, target: str) -> LinkCondition:
        """Return the condition that holds from `source` to `target`."""
        condition = self.condition_cache.get((source, target))
        if condition is None:
            covering = (rule.condition for rule in reversed(self.rules) if rule.covers(source, target))
            condition = self.condition_cache[source, target] = next(covering, CLEAR)
        return condition

    def stream_delay(self, now: float, source: str, target: str, size: int) -> float:
        """Return how long bytes of a stream take, in s; the caller keeps their order."""
        condition = self.between(source, target)
        state = self._state(source, target)
        delay = condition.delay
        if condition.jitter:
            delay += -condition.jitter * log(1 - state.draw())
        if condition.bandwidth:
            state.free_at = max(now, state.free_at) + size / condition.bandwidth
            delay += state.free_at - now
        return delay

    def datagram_delays(self, now: float, source: str, target: str, size: int) -> tuple[float, ...]:
        """Return after how many s each copy of a datagram arrives; an empty tuple means that it is lost."""
        if not self.rules or (condition := self.between(source, target)) is CLEAR:
            return (0.0,)
        state = self._state(source, target)
        if condition.cut or (condition.loss and state.draw() < condition.loss):
            return ()
        copies = 1 + bool(condition.duplication and state.draw() < condition.duplication)
        delays = []
        for _ in range(copies):
            delay = self.stream_delay(now, source, target, size)
            if condition.reorder and state.draw() < condition.reorder:
                delay += condition.reorder_delay
            if delay <= MAX_DELAY_SECONDS:
                delays.append(delay)
        return tuple(delays)

    def _state(self, source: str, target: str) -> _PairState:
        state = self.pair_states.get((source, target))
        if state is None:
            digest = blake2b(f"{self.seed} {source} {target}".encode(), digest_size=8).digest()
            state = self.pair_states[source, target] = _PairState(int.from_bytes(digest, "big"))
        return state


def matches_any(name: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a name matches one of some file name patterns."""
    return any(fnmatchcase(name, pattern) for pattern in patterns)
