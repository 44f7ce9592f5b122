"""When an instance may connect to each engine, so that all instances together stay within a rate.

Hundreds of instances that start, or lose their connections, at the same moment know nothing of each other
but their number and each its own index. The rate for each engine is shared out as slots of a round. A round
lasts as long as all instances need one after the other, and each instance has one slot in it. The slots for
different engines are shifted against each other, so that an instance gets its first engines soon.

To let each instance begin with one connection at once was tried: in the first moment it adds one connection
for each of them, which exceeds the rate by half.

Invariants:

- An instance begins at most one connection to an engine in a round, whatever became of the last one.
- When its last connection to an engine breaks, an instance waits for its slot in a new round.
- With a rate that all instances may use at once (a small fleet) none waits.

The module does no I/O and reads no clock; times are in seconds.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

MIN_ROUND_SECONDS = 0.1  # a shorter round makes no difference and is left out
RATE_UTILIZATION = 0.95  # of the rate that is shared out: instances are not in step to the millisecond


@dataclass
class ConnectSchedule:
    """The slots of one instance.

    Attributes:
        rate: Connections a second to one engine, over all instances.
        instance_count: The number of instances.
        instance_index: The index of this instance, from 0.
        allowed_from: For each engine, the time from which the next connection may begin.
    """

    rate: float
    instance_count: int
    instance_index: int
    allowed_from: dict[int, float] = field(default_factory=dict)

    @property
    def round_seconds(self) -> float:
        """The length of a round; zero if no instance has to wait."""
        length = self.instance_count / (RATE_UTILIZATION * self.rate)
        return length if length > MIN_ROUND_SECONDS else 0.0

    def slot_offset(self, engine: int) -> float:
        """Return the time within a round at which this instance has its slot for an engine."""
        if not self.round_seconds:
            return 0.0
        digest = blake2b(b"%d" % engine, digest_size=4).digest()
        shift = int.from_bytes(digest, "big")
        slot = (self.instance_index + shift) % self.instance_count
        return slot / (RATE_UTILIZATION * self.rate)

    def set_engines(self, engines: Set[int], now: float) -> None:
        """Replace the known engines; a round begins for each new one."""
        removed = self.allowed_from.keys() - engines
        for engine in removed:
            del self.allowed_from[engine]
        for engine in engines - self.allowed_from.keys():
            self.allowed_from[engine] = now + self.slot_offset(engine)

    def may_connect(self, engine: int, now: float) -> bool:
        """Return whether a connection to an engine may begin; an unknown engine is not limited."""
        return now >= self.allowed_from.get(engine, -inf)

    def record_connect(self, engine: int, now: float) -> None:
        """Record that a connection to an engine begins."""
        if self.round_seconds and engine in self.allowed_from:
            self.allowed_from[engine] = now + self.round_seconds

    def record_disconnect(self, engine: int, now: float) -> None:
        """Record that the last connection to an engine broke, as it may have for all instances."""
        if self.round_seconds and engine in self.allowed_from:
            slot = now + self.slot_offset(engine)
            self.allowed_from[engine] = max(self.allowed_from[engine], slot)
