"""Messages between members, and the records they carry.

Members are identified by number: their index in the configured list of peers. The sender of a message is
known from the address it came from, never from its content. `codec.py` has the encoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

MAX_INCARNATION = (1 << 30) - 1
INCARNATION_LOW_MASK = 255  # the bits of an incarnation by which a suspicion update is matched to it
MAX_OBSERVERS = 5  # in one suspicion update
MAX_SEGMENTS = 48  # into which the records are divided for comparison


class MessageKind(IntEnum):
    """The kind of a message; the value is its byte in a datagram."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to probe `subject`
    PING_RESULT = 4  # answers a ping request: whether `subject` was reached
    GOSSIP = 5
    SEGMENT_DIGESTS = 6
    SEGMENT = 7


class MemberState(IntEnum):
    """The state of a member, in the order in which one overrides another at the same incarnation."""

    ALIVE = 0  # with incarnation 0: nothing is known
    SUSPECT = 1  # sent to the suspect itself only
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is known of a member.

    Attributes:
        state: Its state at this incarnation.
        incarnation: SWIM's incarnation number, raised by the member itself; 0: the member is unknown.
        process_id: A random number of 16 bits drawn at each start of the process.
    """

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    process_id: int = 0

    @property
    def is_known(self) -> bool:
        """Whether anything is known of the member."""
        return self.incarnation > 0

    @property
    def is_alive(self) -> bool:
        """Whether the member is known and neither dead nor left."""
        return self.incarnation > 0 and self.state <= MemberState.SUSPECT

    @property
    def precedence(self) -> tuple[int, int]:
        """The sort key by which the greater of two records overrides the other."""
        return self.incarnation, max(self.state, MemberState.SUSPECT)

    def with_state(self, state: MemberState) -> MemberRecord:
        """Return the record of the same process and incarnation in another state."""
        return MemberRecord(state, self.incarnation, self.process_id)


UNKNOWN_RECORD = MemberRecord()


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A record of one member."""

    member: int
    record: MemberRecord


@dataclass(frozen=True, slots=True)
class SuspicionUpdate:
    """Observers that could not reach a member.

    Attributes:
        member: The suspected member.
        incarnation: The incarnation it is suspected at; a datagram carries its lowest 8 bits.
        age: Seconds since there were enough observers.
        observers: Distinct members that could not reach it.
    """

    member: int
    incarnation: int
    age: float
    observers: tuple[int, ...]


Update = MemberUpdate | SuspicionUpdate


@dataclass(frozen=True, slots=True)
class Message:
    """A message from one member to another.

    Attributes:
        kind: Kind of the request or response.
        sequence_number: Matches an answer to its request.
        incarnation: The sender's incarnation; 0 while it joins.
        process_id: The sender's process.
        receiver_record: What the sender knows of the receiver.
        view_digest: Digest of all records of the sender.
        subject: The member to probe, in ping requests and their results.
        is_reachable: Whether `subject` answered, in ping results.
        updates: Records and suspicions that are disseminated.
        segment_digests: Digests of all segments of the sender's records.
        first_member: The member of the first of `segment_records`.
        segment_records: Records of consecutive members.
    """

    kind: MessageKind
    sequence_number: int
    incarnation: int
    process_id: int
    receiver_record: MemberRecord = UNKNOWN_RECORD
    view_digest: int = 0
    subject: int = 0
    is_reachable: bool = False
    updates: tuple[Update, ...] = ()
    segment_digests: tuple[int, ...] = ()
    first_member: int = 0
    segment_records: tuple[MemberRecord, ...] = ()
