"""What members tell each other, and its form in a datagram of at most 256 bytes.

Members are numbers: their places in the configured list. Who sent a datagram is told by the address that it
came from, never by its content. All is big-endian.

    head   = mark:1 kind:1 number:2 incarnation:4 life:2 yours:4 your_life:2 digest:4, and where somebody
             else is asked for or told of: subject:2 reached:1
    record = status in the two highest bits, incarnation in the others
    news   = 255:1 member:2 record:4 life:2
    words  = count:1 member:2 the lowest bits of the incarnation:1 age:1 observers:2*count
    sums   = 4 bytes for each part;  part = first:2 count:1 then (record:4 life:2) for each member
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MARK = 0xA7  # of these datagrams; others that share the socket begin with another byte
MOST_BYTES = 256
MOST_INCARNATION = (1 << 30) - 1
LOW = 255  # of an incarnation, by which words are matched to it
AGE_UNIT = 1 / 16  # s; ages are told rounded down, up to 15.9 s
MOST_OBSERVERS = 5  # that one item names

HEAD, ABOUT = struct.Struct(">BBHIHIHI"), struct.Struct(">HB")
_NEWS, _WORDS = struct.Struct(">BHIH"), struct.Struct(">BHBB")
_PART, _ENTRY = struct.Struct(">HB"), struct.Struct(">IH")
NEWS_BYTES = _NEWS.size
MOST_PART = (MOST_BYTES - HEAD.size - _PART.size) // _ENTRY.size
MOST_SUMS = 48


class MessageError(ValueError):
    """A datagram that no member sends."""


class Kind(IntEnum):
    PING = 1
    ACK = 2
    ASK = 3  # try to reach `subject` for me
    FOUND = 4  # whether I reached `subject`, which you asked for
    NEWS = 5
    SUMS = 6
    PART = 7


_ABOUT = (Kind.ASK, Kind.FOUND)
_IS_NEWS = 255


class Status(IntEnum):
    """In the order in which one word on an incarnation outdoes another."""

    ALIVE = 0  # with incarnation 0: nothing is known
    SUSPECT = 1  # told to the suspect itself only
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Record:
    """What is held of a member. `life`: the mark of the process that has this incarnation."""

    status: Status = Status.ALIVE
    incarnation: int = 0
    life: int = 0

    @property
    def known(self) -> bool:
        return self.incarnation > 0

    @property
    def living(self) -> bool:
        return self.incarnation > 0 and self.status <= Status.SUSPECT

    @property
    def order(self) -> tuple[int, int]:
        """The later word of two is the one with the higher order."""
        return self.incarnation, max(self.status, Status.SUSPECT)


UNKNOWN = Record()


@dataclass(frozen=True, slots=True)
class News:
    member: int
    record: Record


@dataclass(frozen=True, slots=True)
class Words:
    """`observers` could not reach `member` at this incarnation (its lowest bits); there have been enough of
    them for `age` s."""

    member: int
    incarnation: int
    age: float
    observers: tuple[int, ...]


Item = News | Words


@dataclass(frozen=True, slots=True)
class Message:
    """`yours`: what the sender holds of the receiver; `digest`: of all that it holds."""

    kind: Kind
    number: int
    incarnation: int
    life: int
    yours: Record = UNKNOWN
    digest: int = 0
    subject: int = 0
    reached: bool = False
    items: tuple[Item, ...] = ()
    sums: tuple[int, ...] = ()
    first: int = 0
    part: tuple[Record, ...] = ()


def size_of(item: Item) -> int:
    return NEWS_BYTES if isinstance(item, News) else _WORDS.size + 2 * len(item.observers)


def size(message: Message) -> int:
    """Bytes of its datagram."""
    body = sum(map(size_of, message.items))
    if message.kind is Kind.SUMS:
        body = 4 * len(message.sums)
    elif message.kind is Kind.PART:
        body = _PART.size + _ENTRY.size * len(message.part)
    elif message.kind in _ABOUT:
        body += ABOUT.size
    return HEAD.size + body


def _packed(record: Record) -> int:
    return record.status << 30 | record.incarnation


def _record(packed: int, life: int) -> Record:
    return Record(Status(packed >> 30), packed & MOST_INCARNATION, life)


def encode(message: Message) -> bytes:
    yours = message.yours
    found = bytearray(
        HEAD.pack(
            MARK,
            message.kind,
            message.number,
            message.incarnation,
            message.life,
            _packed(yours),
            yours.life,
            message.digest,
        )
    )
    if message.kind in _ABOUT:
        found += ABOUT.pack(message.subject, message.reached)
    if message.kind is Kind.SUMS:
        found += struct.pack(f">{len(message.sums)}I", *message.sums)
    elif message.kind is Kind.PART:
        found += _PART.pack(message.first, len(message.part))
        for record in message.part:
            found += _ENTRY.pack(_packed(record), record.life)
    for item in message.items:
        if isinstance(item, News):
            found += _NEWS.pack(_IS_NEWS, item.member, _packed(item.record), item.record.life)
        else:
            age = min(255, int(item.age / AGE_UNIT))
            found += _WORDS.pack(len(item.observers), item.member, item.incarnation & LOW, age)
            found += struct.pack(f">{len(item.observers)}H", *item.observers)
    return bytes(found)


def decode(data: bytes) -> Message:
    """Raises MessageError; never anything else, whatever the bytes."""
    try:
        return _decode(data)
    except (struct.error, ValueError) as error:
        raise MessageError(f"{len(data)} bytes: {error}") from None


def _decode(data: bytes) -> Message:
    if len(data) > MOST_BYTES:
        raise MessageError("too long")
    mark, kind, number, incarnation, life, yours, your_life, digest = HEAD.unpack_from(data)
    if mark != MARK or incarnation > MOST_INCARNATION:
        raise MessageError("no head")
    body, kind = data[HEAD.size :], Kind(kind)
    subject = reached = 0
    if kind in _ABOUT:
        (subject, reached), body = ABOUT.unpack_from(body), body[ABOUT.size :]
    items: tuple[Item, ...] = ()
    sums: tuple[int, ...] = ()
    first, part = 0, ()
    if kind is Kind.SUMS:
        sums = struct.unpack(f">{len(body) // 4}I", body)
    elif kind is Kind.PART:
        first, count = _PART.unpack_from(body)
        if len(body) != _PART.size + count * _ENTRY.size:
            raise MessageError("a part of another length")
        part = tuple(_record(*entry) for entry in _ENTRY.iter_unpack(body[_PART.size :]))
    else:
        items = tuple(_items(body))
    return Message(
        kind,
        number,
        incarnation,
        life,
        _record(yours, your_life),
        digest,
        subject,
        bool(reached),
        items,
        sums,
        first,
        part,
    )


def _items(body: bytes) -> list[Item]:
    found: list[Item] = []
    at = 0
    while at < len(body):
        if body[at] == _IS_NEWS:
            _, member, packed, life = _NEWS.unpack_from(body, at)
            at += _NEWS.size
            found.append(News(member, _record(packed, life)))
        else:
            count, member, incarnation, age = _WORDS.unpack_from(body, at)
            at += _WORDS.size
            if count > MOST_OBSERVERS:
                raise MessageError("an item of no kind")
            observers = struct.unpack_from(f">{count}H", body, at)
            at += 2 * count
            found.append(Words(member, incarnation, age * AGE_UNIT, observers))
    return found
