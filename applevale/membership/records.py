"""What one member holds of all, with digests to compare it by. No I/O, no clock.

Invariants:

- The later word on a member holds (`Record.order`); `put` is the only way in.
- `digest` and `sums` are those of the records that are known, by number, incarnation and whether it lives:
  equal ones mean equal views. A suspicion is no part of them: it passes by itself.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from .messages import MOST_PART, MOST_SUMS, UNKNOWN, Record, Status


@lru_cache(maxsize=1 << 14)
def _sum(member: int, incarnation: int, status: int) -> int:
    data = b"%d %d %d" % (member, incarnation, status)
    return int.from_bytes(blake2b(data, digest_size=4).digest(), "big")


class Records:
    def __init__(self, count: int):
        self.all: list[Record] = [UNKNOWN] * count
        self.width = max(MOST_PART, -(-count // MOST_SUMS))  # members of one part
        self.sums = [0] * (-(-count // self.width))
        self.digest = 0

    def put(self, member: int, record: Record) -> None:
        for one in (self.all[member], record):
            if one.known:
                mark = _sum(member, one.incarnation, max(one.status, Status.SUSPECT))
                self.sums[member // self.width] ^= mark
                self.digest ^= mark
        self.all[member] = record

    def part(self, which: int) -> range:
        return range(which * self.width, min(len(self.all), (which + 1) * self.width))

    def differing(self, sums: tuple[int, ...]) -> list[int]:
        if len(sums) != len(self.sums):
            return []
        return [at for at, (own, other) in enumerate(zip(self.sums, sums)) if own != other]

    def living(self) -> list[int]:
        return [member for member, record in enumerate(self.all) if record.living]
