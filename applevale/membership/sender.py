"""Sends messages within the limit on bytes, and piggybacks updates on them."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import Any

from .codec import MAX_DATAGRAM_BYTES, encoded_size, encoded_update_size
from .commands import SendMessage
from .config import (
    GOSSIP_RESERVE_BYTES,
    HELP_RESERVE_BYTES,
    MAX_PIGGYBACK_SUSPICIONS,
    PROBE_RESERVE_BYTES,
)
from .context import ProtocolContext
from .dissemination import BroadcastQueue
from .messages import MemberRecord, MemberState, Message, MessageKind, Update
from .rate_limiter import SenderRateLimiter
from .suspicion_table import SuspicionTable
from .token_bucket import TokenBucket

UNLIMITED = -inf  # A reserve with which the token bucket does not limit a message.


class MessageSender:
    """Builds messages and queues them as commands.

    The methods return whether the message was sent. A message that exceeds a limit is dropped, not delayed.
    """

    def __init__(
        self,
        context: ProtocolContext,
        suspicions: SuspicionTable,
        broadcasts: BroadcastQueue,
        rate_limiter: SenderRateLimiter,
    ):
        """Create a sender with a new token bucket."""
        self._identity = context.identity
        self._view = context.view
        self._stats = context.stats
        self._commands = context.commands
        self._suspicions = suspicions
        self._broadcasts = broadcasts
        self._rate_limiter = rate_limiter
        self._bucket = TokenBucket()

    def send_ping(
        self, now: float, target: int, sequence_number: int, reserve: float = PROBE_RESERVE_BYTES
    ) -> bool:
        """Send a ping if it leaves at least `reserve` bytes in the token bucket."""
        message = self._build(MessageKind.PING, target, sequence_number)
        return self._send(now, target, message, reserve)

    def send_ack(self, now: float, target: int, sequence_number: int) -> bool:
        """Answer a ping."""
        if not self._rate_limiter.may_answer(target):
            return False
        return self._send(now, target, self._build(MessageKind.ACK, target, sequence_number))

    def send_ping_request(self, now: float, helper: int, sequence_number: int, subject: int) -> bool:
        """Ask a helper to probe `subject`."""
        message = self._build(MessageKind.PING_REQUEST, helper, sequence_number, subject=subject)
        return self._send(now, helper, message, HELP_RESERVE_BYTES)

    def send_ping_result(
        self, now: float, requester: int, sequence_number: int, subject: int, is_reachable: bool
    ) -> bool:
        """Answer a ping request; the answer that the subject is reachable has the priority of a probe."""
        message = self._build(
            MessageKind.PING_RESULT, requester, sequence_number, subject=subject, is_reachable=is_reachable
        )
        return self._send(
            now, requester, message, PROBE_RESERVE_BYTES if is_reachable else HELP_RESERVE_BYTES
        )

    def send_gossip(
        self, now: float, target: int, updates: tuple[Update, ...] = (), reserve: float = 0.0
    ) -> bool:
        """Send the given updates; without any, queued updates are piggybacked as on other messages."""
        return self._send(now, target, self._build(MessageKind.GOSSIP, target, updates=updates), reserve)

    def send_segment_digests(self, now: float, target: int) -> bool:
        """Send the digests of all segments of the record table."""
        digests = tuple(self._view.table.segment_digests)
        message = self._build(MessageKind.SEGMENT_DIGESTS, target, segment_digests=digests)
        return self._send(now, target, message, HELP_RESERVE_BYTES)

    def send_segment(
        self, now: float, target: int, first_member: int, records: tuple[MemberRecord, ...]
    ) -> bool:
        """Send the records of consecutive members."""
        message = self._build(MessageKind.SEGMENT, target, first_member=first_member, segment_records=records)
        return self._send(now, target, message, HELP_RESERVE_BYTES)

    def _build(self, kind: MessageKind, target: int, sequence_number: int = 0, **fields: Any) -> Message:
        receiver_record = self._view.table.records[target]
        if self._suspicions.has_quorum(target):
            # Each message to a suspect informs it of the suspicion, so that it can refute it.
            receiver_record = receiver_record.with_state(MemberState.SUSPECT)
        return Message(
            kind,
            sequence_number,
            self._identity.incarnation,
            self._identity.process_id,
            receiver_record,
            self._view.table.digest,
            **fields,
        )

    def _send(self, now: float, target: int, message: Message, reserve: float = 0.0) -> bool:
        size = encoded_size(message)
        if reserve != UNLIMITED and not self._bucket.consume(now, size, reserve):
            self._stats.held_back += 1
            return False
        if self._may_piggyback(target, message):
            updates = self._take_updates(now, MAX_DATAGRAM_BYTES - size)
            if updates:
                message = replace(message, updates=updates)
                size = encoded_size(message)
        self._stats.sent += 1
        self._stats.sent_bytes += size
        self._commands.add(SendMessage(target, message))
        return True

    def _may_piggyback(self, target: int, message: Message) -> bool:
        if message.updates or not self._broadcasts:
            return False
        if message.kind in (MessageKind.SEGMENT_DIGESTS, MessageKind.SEGMENT):
            return False
        active = self._suspicions.active
        may_be_lost = target in active or len(active) > MAX_PIGGYBACK_SUSPICIONS
        return message.kind is not MessageKind.PING or not may_be_lost

    def _take_updates(self, now: float, max_bytes: int) -> tuple[Update, ...]:
        affordable_bytes = int(self._bucket.refill(now) - GOSSIP_RESERVE_BYTES)
        updates = self._broadcasts.take(now, min(max_bytes, affordable_bytes))
        self._bucket.consume(now, sum(map(encoded_update_size, updates)))
        return updates
