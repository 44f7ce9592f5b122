"""Network conditions between the parties of a harness, one for each ordered pair. No I/O and no clock.

Parties have the names that the harness gives them: `n0`, `n1`, ... for instances, `list0`, `list1`, ... for
members of the registry, `e1`, `e2`, ... for engines. Invariants:

- Each ordered pair has its own random numbers, derived from the seed and the two names, so the traffic of one
  pair does not change the faults of another.
- The condition that was applied last to a pair is in effect until it is removed; then the one applied before
  it is in effect again.
"""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase
from hashlib import blake2b
from math import log

import msgspec

_MASK_64 = (1 << 64) - 1
MAX_DELAY_SECONDS = 30.0  # a datagram with a longer delay is lost


class LinkCondition(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"reorder_delay": "held", "duplication": "copies"},
):
    """What happens to traffic in one direction between two parties.

    Attributes:
        cut: Whether all traffic is blocked. Datagrams are lost; data on TCP waits for the end of the cut, as
            with retransmission.
        refuse: Whether TCP connections are refused and open ones are aborted.
        loss: Probability from 0 to 1 that a datagram is lost.
        delay: Minimum delay, in seconds.
        jitter: Mean of an exponentially distributed delay that is added to `delay`, in seconds.
        reorder: Probability from 0 to 1 that a datagram is held back, so that later ones overtake it.
        reorder_delay: How long such a datagram is held back, in seconds.
        duplication: Probability from 0 to 1 that a datagram is delivered twice.
        bandwidth: Bytes per second; 0 for no limit.
    """

    cut: bool = False
    refuse: bool = False
    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    reorder: float = 0.0
    reorder_delay: float = 0.0
    duplication: float = 0.0
    bandwidth: float = 0.0


CLEAR = LinkCondition()


@dataclass(slots=True)
class _PairState:
    """The state of one ordered pair; kept small because there may be millions.

    Attributes:
        random_state: State of a SplitMix64 generator.
        free_at: When a link of limited bandwidth has transmitted all earlier data, in seconds.
    """

    random_state: int
    free_at: float = 0.0

    def draw(self) -> float:
        """Return a random number, at least 0 and less than 1."""
        self.random_state = (self.random_state + 0x9E3779B97F4A7C15) & _MASK_64
        mixed = self.random_state
        mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64
        mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64
        return ((mixed ^ mixed >> 31) >> 11) / (1 << 53)


@dataclass(frozen=True, slots=True)
class _Rule:
    """A condition applied to all pairs from two groups, each given as shell-style name patterns."""

    rule_number: int
    sources: tuple[str, ...]
    targets: tuple[str, ...]
    condition: LinkCondition

    def covers(self, source: str, target: str) -> bool:
        return matches_any(source, self.sources) and matches_any(target, self.targets)


class LinkConditions:
    """The conditions of all ordered pairs, and the delays that result from them."""

    def __init__(self, seed: int):
        """Start without any faults; all random numbers are derived from `seed`."""
        self.seed = seed
        self.rules: list[_Rule] = []
        self.condition_cache: dict[tuple[str, str], LinkCondition] = {}
        self.pair_states: dict[tuple[str, str], _PairState] = {}
        self.rule_count = 0

    def apply(self, sources: tuple[str, ...], targets: tuple[str, ...], condition: LinkCondition) -> int:
        """Apply a condition to all pairs from two groups; return the number that `remove` takes."""
        self.rule_count += 1
        self.rules.append(_Rule(self.rule_count, sources, targets, condition))
        self.condition_cache.clear()
        return self.rule_count

    def remove(self, rule_number: int) -> None:
        """Remove the condition for which `apply` returned `rule_number`."""
        self.rules = [rule for rule in self.rules if rule.rule_number != rule_number]
        self.condition_cache.clear()

    def between(self, source: str, target: str) -> LinkCondition:
        """Return the condition in effect from `source` to `target`."""
        condition = self.condition_cache.get((source, target))
        if condition is None:
            covering = (rule.condition for rule in reversed(self.rules) if rule.covers(source, target))
            condition = next(covering, CLEAR)
            self.condition_cache[source, target] = condition
        return condition

    def stream_delay(self, now: float, source: str, target: str, size: int) -> float:
        """Return the delay of `size` bytes of a stream, in seconds; the caller keeps the bytes in order."""
        condition = self.between(source, target)
        state = self._pair_state(source, target)
        delay = condition.delay
        if condition.jitter:
            delay += -condition.jitter * log(1 - state.draw())
        if condition.bandwidth:
            state.free_at = max(now, state.free_at) + size / condition.bandwidth
            delay += state.free_at - now
        return delay

    def datagram_delays(self, now: float, source: str, target: str, size: int) -> tuple[float, ...]:
        """Return the delay of each copy of a datagram, in seconds; empty if the datagram is lost."""
        if not self.rules or (condition := self.between(source, target)) is CLEAR:
            return (0.0,)
        state = self._pair_state(source, target)
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

    def _pair_state(self, source: str, target: str) -> _PairState:
        state = self.pair_states.get((source, target))
        if state is None:
            digest = blake2b(f"{self.seed} {source} {target}".encode(), digest_size=8).digest()
            state = _PairState(int.from_bytes(digest, "big"))
            self.pair_states[source, target] = state
        return state


def matches_any(name: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a name matches at least one of some shell-style patterns."""
    return any(fnmatchcase(name, pattern) for pattern in patterns)
