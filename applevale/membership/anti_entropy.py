"""Anti-entropy: two members whose views differ exchange the records that do."""

from __future__ import annotations

from math import inf

from .codec import HEADER, MAX_DATAGRAM_BYTES, MAX_SEGMENT_RECORDS, MEMBER_UPDATE
from .config import HELP_RESERVE_BYTES, MAX_SEGMENTS_PER_SYNC, MAX_SYNC_DELAY_SECONDS
from .context import ProtocolContext
from .messages import MemberUpdate, Message
from .sender import MessageSender
from .updates import UpdateHandler

MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER.size) // MEMBER_UPDATE.size


class AntiEntropy:
    """Compares records by digests of their segments, and sends the segments that differ."""

    def __init__(self, context: ProtocolContext, sender: MessageSender, updates: UpdateHandler):
        """Create it with no comparison made yet."""
        self._config = context.config
        self._view = context.view
        self._stats = context.stats
        self._sender = sender
        self._updates = updates
        self._synced_at = -inf

    def request_sync(self, now: float, sender: int) -> None:
        """Send the own digests to a member whose view differs, unless updates are still being spread."""
        interval = self._config.sync_interval
        elapsed = now - self._synced_at
        is_changing = now - self._view.changed_at < interval
        if elapsed < interval or (is_changing and elapsed < MAX_SYNC_DELAY_SECONDS):
            return
        if self._sender.send_segment_digests(now, sender):
            self._synced_at = now
            self._stats.repairs += 1

    def on_segment_digests(self, now: float, sender: int, digests: tuple[int, ...]) -> None:
        """Send the first segments that differ."""
        table = self._view.table
        for index in table.differing_segments(digests)[:MAX_SEGMENTS_PER_SYNC]:
            members = table.segment(index)
            for first_member in range(members.start, members.stop, MAX_SEGMENT_RECORDS):
                end = min(first_member + MAX_SEGMENT_RECORDS, members.stop)
                self._sender.send_segment(now, sender, first_member, tuple(table.records[first_member:end]))

    def on_segment(self, now: float, sender: int, message: Message) -> None:
        """Handle the records that the sender holds; answer with those that are later here."""
        later = []
        for member, record in enumerate(message.segment_records, message.first_member):
            if not self._view.contains(member):
                break
            known = self._view.table.records[member]
            if record.is_known and record.precedence > known.precedence:
                self._updates.on_record(now, sender, member, record)
            elif known.is_known and known.precedence > record.precedence:
                later.append(MemberUpdate(member, known))
        if later:
            self._sender.send_gossip(now, sender, tuple(later[:MAX_UPDATES]), HELP_RESERVE_BYTES)
