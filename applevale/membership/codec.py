"""Encoding of membership messages as big-endian datagrams of at most 256 bytes.

Layout, with the size of each field in bytes:

    header      = magic:1 kind:1 sequence number:2 incarnation:4 process id:2 receiver's record:4
                  receiver's process id:2 view digest:4
    subject     = member:2 reachable:1; follows the header of ping requests and ping results
    record      = state in the two highest bits, incarnation in the other 30 bits
    update      = 255:1 member:2 record:4 process id:2
    suspicion   = count:1 member:2 low bits of the incarnation:1 age:1 observers:2*count
    digests     = digest:4 for each segment
    segment     = first member:2 count:1, then record:4 process id:2 for each member
"""

from __future__ import annotations

import struct
from typing import Any

from .messages import (
    INCARNATION_LOW_MASK,
    MAX_INCARNATION,
    MAX_OBSERVERS,
    MemberRecord,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
    SuspicionUpdate,
    Update,
)

MAGIC = 0xA7  # Distinguishes membership datagrams from others on the same socket by their first byte.
MAX_DATAGRAM_BYTES = 256
AGE_UNIT_SECONDS = 1 / 16
MAX_AGE_UNITS = 255

HEADER = struct.Struct(">BBHIHIHI")
SUBJECT = struct.Struct(">HB")
MEMBER_UPDATE = struct.Struct(">BHIH")
SUSPICION_UPDATE = struct.Struct(">BHBB")
OBSERVER_BYTES = 2
DIGEST_BYTES = 4
SEGMENT_HEADER = struct.Struct(">HB")
SEGMENT_RECORD = struct.Struct(">IH")
MAX_SEGMENT_RECORDS = (MAX_DATAGRAM_BYTES - HEADER.size - SEGMENT_HEADER.size) // SEGMENT_RECORD.size

_KINDS_WITH_SUBJECT = (MessageKind.PING_REQUEST, MessageKind.PING_RESULT)
_MEMBER_UPDATE_TAG = 255


class MalformedDatagramError(ValueError):
    """A datagram cannot be decoded as a membership message."""


def encoded_update_size(update: Update) -> int:
    """Return the number of bytes that an update takes in a datagram."""
    if isinstance(update, MemberUpdate):
        return MEMBER_UPDATE.size
    return SUSPICION_UPDATE.size + OBSERVER_BYTES * len(update.observers)


def encoded_size(message: Message) -> int:
    """Return the number of bytes of a message's datagram."""
    body = sum(map(encoded_update_size, message.updates))
    if message.kind is MessageKind.SEGMENT_DIGESTS:
        body = DIGEST_BYTES * len(message.segment_digests)
    elif message.kind is MessageKind.SEGMENT:
        body = SEGMENT_HEADER.size + SEGMENT_RECORD.size * len(message.segment_records)
    elif message.kind in _KINDS_WITH_SUBJECT:
        body += SUBJECT.size
    return HEADER.size + body


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    receiver_record = message.receiver_record
    data = bytearray(
        HEADER.pack(
            MAGIC,
            message.kind,
            message.sequence_number,
            message.incarnation,
            message.process_id,
            _pack_record(receiver_record),
            receiver_record.process_id,
            message.view_digest,
        )
    )
    if message.kind in _KINDS_WITH_SUBJECT:
        data += SUBJECT.pack(message.subject, message.is_reachable)
    if message.kind is MessageKind.SEGMENT_DIGESTS:
        data += struct.pack(f">{len(message.segment_digests)}I", *message.segment_digests)
    elif message.kind is MessageKind.SEGMENT:
        data += SEGMENT_HEADER.pack(message.first_member, len(message.segment_records))
        for record in message.segment_records:
            data += SEGMENT_RECORD.pack(_pack_record(record), record.process_id)
    for update in message.updates:
        data += _encode_update(update)
    return bytes(data)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        MalformedDatagramError: The bytes are not a valid message. No other exception is raised on any input.
    """
    try:
        return _decode(data)
    except (struct.error, ValueError) as error:
        raise MalformedDatagramError(f"{len(data)} bytes: {error}") from None


def _pack_record(record: MemberRecord) -> int:
    return record.state << 30 | record.incarnation


def _unpack_record(packed: int, process_id: int) -> MemberRecord:
    return MemberRecord(MemberState(packed >> 30), packed & MAX_INCARNATION, process_id)


def _encode_update(update: Update) -> bytes:
    if isinstance(update, MemberUpdate):
        record = update.record
        return MEMBER_UPDATE.pack(_MEMBER_UPDATE_TAG, update.member, _pack_record(record), record.process_id)
    age_units = min(MAX_AGE_UNITS, int(update.age / AGE_UNIT_SECONDS))
    header = SUSPICION_UPDATE.pack(
        len(update.observers), update.member, update.incarnation & INCARNATION_LOW_MASK, age_units
    )
    return header + struct.pack(f">{len(update.observers)}H", *update.observers)


def _decode(data: bytes) -> Message:
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(f"longer than {MAX_DATAGRAM_BYTES} bytes")
    (magic, kind, sequence_number, incarnation, process_id, packed_receiver, receiver_process_id, digest) = (
        HEADER.unpack_from(data)
    )
    if magic != MAGIC or incarnation > MAX_INCARNATION:
        raise MalformedDatagramError(f"invalid header: magic byte {magic:#04x}, incarnation {incarnation}")
    kind = MessageKind(kind)
    return Message(
        kind,
        sequence_number,
        incarnation,
        process_id,
        _unpack_record(packed_receiver, receiver_process_id),
        digest,
        **_decode_body(kind, data[HEADER.size :]),
    )


def _decode_body(kind: MessageKind, body: bytes) -> dict[str, Any]:
    """Decode the fields that depend on the kind of the message, keyed by their names in `Message`."""
    if kind is MessageKind.SEGMENT_DIGESTS:
        return {"segment_digests": struct.unpack(f">{len(body) // DIGEST_BYTES}I", body)}
    if kind is MessageKind.SEGMENT:
        first_member, records = _decode_segment(body)
        return {"first_member": first_member, "segment_records": records}
    if kind in _KINDS_WITH_SUBJECT:
        subject, is_reachable = SUBJECT.unpack_from(body)
        updates = _decode_updates(body[SUBJECT.size :])
        return {"subject": subject, "is_reachable": bool(is_reachable), "updates": updates}
    return {"updates": _decode_updates(body)}


def _decode_segment(body: bytes) -> tuple[int, tuple[MemberRecord, ...]]:
    """Return the number of the first member, and the records of it and the members that follow."""
    first_member, count = SEGMENT_HEADER.unpack_from(body)
    if len(body) != SEGMENT_HEADER.size + count * SEGMENT_RECORD.size:
        raise MalformedDatagramError(f"the length does not match a segment of {count} records")
    entries = SEGMENT_RECORD.iter_unpack(body[SEGMENT_HEADER.size :])
    return first_member, tuple(_unpack_record(packed, process_id) for packed, process_id in entries)


def _decode_updates(body: bytes) -> tuple[Update, ...]:
    updates: list[Update] = []
    offset = 0
    while offset < len(body):
        if body[offset] == _MEMBER_UPDATE_TAG:
            _, member, packed, process_id = MEMBER_UPDATE.unpack_from(body, offset)
            offset += MEMBER_UPDATE.size
            updates.append(MemberUpdate(member, _unpack_record(packed, process_id)))
        else:
            count, member, incarnation, age_units = SUSPICION_UPDATE.unpack_from(body, offset)
            offset += SUSPICION_UPDATE.size
            if count > MAX_OBSERVERS:
                raise MalformedDatagramError(f"a suspicion has {count} observers, more than {MAX_OBSERVERS}")
            observers = struct.unpack_from(f">{count}H", body, offset)
            offset += OBSERVER_BYTES * count
            updates.append(SuspicionUpdate(member, incarnation, age_units * AGE_UNIT_SECONDS, observers))
    return tuple(updates)
