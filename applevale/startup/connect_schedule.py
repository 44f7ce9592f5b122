"""Schedule of connections to engines that keeps the fleet as a whole within a connection rate per engine.

Hundreds of instances may start, or lose their connections, at the same moment. Each knows the number of
instances and its own index, and nothing else about the others. The connection rate of an engine is therefore
divided into time slots: in a round, which is long enough for all instances to connect one after the other at
that rate, each instance has one slot. The slots of an instance are staggered across the engines, so that it
connects to its first engines early in the round.

No instance may connect immediately, ahead of its first slot: at the start that would add one connection per
instance to every engine and exceed the rate by half.

Invariants:

- An instance begins at most one connection to an engine per round, whether or not the previous one succeeded.
- When its last connection to an engine breaks, an instance waits for its slot in a new round.
- If the fleet is so small that all instances may connect at once within the rate, none waits.

The module does no I/O and reads no clock. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

MIN_ROUND_SECONDS = 0.1  # Shorter rounds make no difference, so connections are not delayed at all.
RATE_UTILIZATION = 0.95  # The rest allows for instances that are not synchronized to the millisecond.


@dataclass
class ConnectSchedule:
    """Connection slots of one instance.

    Attributes:
        rate: Maximum connections per second to one engine, over all instances.
        instance_count: Number of instances.
        instance_index: Index of this instance, from 0.
        next_connect_at: Earliest time of the next connection, by engine.
    """

    rate: float
    instance_count: int
    instance_index: int
    next_connect_at: dict[int, float] = field(default_factory=dict)

    @property
    def round_seconds(self) -> float:
        """Length of a round in seconds; zero if no instance has to wait."""
        length = self.instance_count / (RATE_UTILIZATION * self.rate)
        return length if length > MIN_ROUND_SECONDS else 0.0

    def slot_offset(self, engine: int) -> float:
        """Return how long after the start of a round this instance may connect to an engine, in seconds."""
        if not self.round_seconds:
            return 0.0
        digest = blake2b(b"%d" % engine, digest_size=4).digest()
        shift = int.from_bytes(digest, "big")
        slot = (self.instance_index + shift) % self.instance_count
        return slot / (RATE_UTILIZATION * self.rate)

    def set_engines(self, engines: Set[int], now: float) -> None:
        """Replace the set of known engines; a round begins at `now` for each new one."""
        removed = self.next_connect_at.keys() - engines
        for engine in removed:
            del self.next_connect_at[engine]
        for engine in engines - self.next_connect_at.keys():
            self.next_connect_at[engine] = now + self.slot_offset(engine)

    def may_connect(self, engine: int, now: float) -> bool:
        """Return whether a connection to an engine may begin; unknown engines are not limited."""
        return now >= self.next_connect_at.get(engine, -inf)

    def record_connect(self, engine: int, now: float) -> None:
        """Record that a connection to an engine begins."""
        if self.round_seconds and engine in self.next_connect_at:
            self.next_connect_at[engine] = now + self.round_seconds

    def record_disconnect(self, engine: int, now: float) -> None:
        """Record that the last connection to an engine broke.

        The connections of all instances may have broken at once, so a new round begins.
        """
        if self.round_seconds and engine in self.next_connect_at:
            slot = now + self.slot_offset(engine)
            self.next_connect_at[engine] = max(self.next_connect_at[engine], slot)
