"""The records of all members, with digests that two members compare. No I/O, no clock.

Invariants:

- Records change only through `put`. Its caller has checked by `MemberRecord.precedence` that the new record
  overrides the known one.
- `digest` and `segment_digests` cover the member, incarnation and state of all known records: equal digests
  mean equal views. They treat suspect members as alive, since a suspicion is temporary.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from .codec import MAX_SEGMENT_RECORDS
from .messages import MAX_SEGMENTS, UNKNOWN_RECORD, MemberRecord, MemberState


@lru_cache(maxsize=1 << 14)
def _record_digest(member: int, incarnation: int, state: int) -> int:
    data = b"%d %d %d" % (member, incarnation, state)
    return int.from_bytes(blake2b(data, digest_size=4).digest(), "big")


class RecordTable:
    """The records of all members, divided into segments of equal width.

    Attributes:
        records: The record of each member, by its number.
        segment_width: Number of members in a segment; the last segment may have fewer.
        segment_digests: One digest for each segment.
        digest: Digest of all records.
    """

    def __init__(self, member_count: int):
        """Create a table of `member_count` members of which nothing is known."""
        self.records: list[MemberRecord] = [UNKNOWN_RECORD] * member_count
        self.segment_width = max(MAX_SEGMENT_RECORDS, -(-member_count // MAX_SEGMENTS))
        self.segment_digests = [0] * (-(-member_count // self.segment_width))
        self.digest = 0

    def put(self, member: int, record: MemberRecord) -> None:
        """Replace the record of a member."""
        for changed in (self.records[member], record):
            if changed.is_known:
                state = max(changed.state, MemberState.SUSPECT)
                digest = _record_digest(member, changed.incarnation, state)
                self.segment_digests[member // self.segment_width] ^= digest
                self.digest ^= digest
        self.records[member] = record

    def segment(self, index: int) -> range:
        """Return the numbers of the members of a segment."""
        first = index * self.segment_width
        return range(first, min(len(self.records), first + self.segment_width))

    def differing_segments(self, digests: tuple[int, ...]) -> list[int]:
        """Return the indexes of the segments whose digests differ; none if the number of segments differs."""
        if len(digests) != len(self.segment_digests):
            return []
        pairs = zip(self.segment_digests, digests)
        return [index for index, (own, other) in enumerate(pairs) if own != other]
