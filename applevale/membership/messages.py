"""Messages between members, and the records that they carry.

A member is identified by its number, the index in the configured list of peers. The sender of a message is
identified by its address, never by the content. `codec.py` has the encoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

MAX_INCARNATION = (1 << 30) - 1
INCARNATION_LOW_MASK = 255  # The bits of an incarnation that a suspicion update carries.
MAX_OBSERVERS = 5  # Limit for one suspicion.
MAX_SEGMENTS = 48  # Segments into which the records of all members are divided for comparison.


class MessageKind(IntEnum):
    """The kind of a message. The value is its byte in a datagram.

    Attributes:
        PING: Asks for an ack.
        ACK: Answers a ping.
        PING_REQUEST: Asks the receiver to probe `subject`.
        PING_RESULT: Answers a ping request: whether `subject` was reached.
        GOSSIP: Carries updates only.
        SEGMENT_DIGESTS: Starts a sync of records.
        SEGMENT: Answers segment digests with the records of a segment that differs.
    """

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    PING_RESULT = 4
    GOSSIP = 5
    SEGMENT_DIGESTS = 6
    SEGMENT = 7


class MemberState(IntEnum):
    """The state of a member. At the same incarnation LEFT overrides DEAD, and DEAD the other two.

    Attributes:
        ALIVE: The member takes part; with incarnation 0: nothing is known of it.
        SUSPECT: The member is alive but suspected by a quorum. Only the suspect itself is sent this state.
        DEAD: The member was declared dead.
        LEFT: The member left in an orderly way.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is known of a member.

    Attributes:
        state: The state of the member at this incarnation.
        incarnation: SWIM's incarnation number, which only the member itself raises; 0 if it is unknown.
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
        """The sort key of records of one member: the greater of two records overrides the other."""
        return self.incarnation, max(self.state, MemberState.SUSPECT)

    def with_state(self, state: MemberState) -> MemberRecord:
        """Return a copy of the record with another state."""
        return MemberRecord(state, self.incarnation, self.process_id)


UNKNOWN_RECORD = MemberRecord()


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A disseminated record of one member."""

    member: int
    record: MemberRecord


@dataclass(frozen=True, slots=True)
class SuspicionUpdate:
    """A disseminated suspicion: the observers that could not reach a member.

    Attributes:
        member: The suspected member.
        incarnation: The incarnation at which it is suspected. A datagram carries its lowest 8 bits.
        age: Time since a quorum of observers was reached, in seconds; 0 without a quorum.
        observers: Distinct members that could not reach the suspect.
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
        kind: The kind of the message.
        sequence_number: Number that matches an answer to its request.
        incarnation: Incarnation of the sender; 0 while it joins.
        process_id: Process id of the sender.
        receiver_record: The sender's record of the receiver.
        view_digest: Digest of all records of the sender.
        subject: In ping requests and ping results: the member to probe.
        is_reachable: In ping results: whether `subject` answered.
        updates: Piggybacked records and suspicions.
        segment_digests: In segment digests: one digest for each segment of the sender's records.
        first_member: In segments: the number of the member that the first of `segment_records` describes.
        segment_records: In segments: the records of consecutive members.
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
