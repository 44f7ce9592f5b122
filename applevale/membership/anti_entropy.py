"""Anti-entropy: members with different views exchange the records that differ."""

from __future__ import annotations

from math import inf

from .codec import HEADER, MAX_DATAGRAM_BYTES, MAX_SEGMENT_RECORDS, MEMBER_UPDATE
from .config import HELP_RESERVE_BYTES, MAX_SEGMENTS_PER_SYNC, MAX_SYNC_DELAY_SECONDS
from .context import ProtocolContext
from .messages import MemberUpdate, Message
from .sender import MessageSender
from .updates import UpdateHandler

MAX_UPDATES_PER_REPLY = (MAX_DATAGRAM_BYTES - HEADER.size) // MEMBER_UPDATE.size


class AntiEntropy:
    """Compares the records of two members by the digests of their segments, and sends those that differ."""

    def __init__(self, context: ProtocolContext, sender: MessageSender, updates: UpdateHandler):
        """Create the component; its first sync may start at once."""
        self._config = context.config
        self._view = context.view
        self._stats = context.stats
        self._sender = sender
        self._updates = updates
        self._synced_at = -inf

    def request_sync(self, now: float, sender: int) -> None:
        """Send this member's segment digests to a member whose view differs.

        Syncs are at least `sync_interval` apart. While the view keeps changing, updates are still being
        disseminated, and the next sync waits up to `MAX_SYNC_DELAY_SECONDS`.
        """
        interval = self._config.sync_interval
        elapsed = now - self._synced_at
        is_changing = now - self._view.changed_at < interval
        if elapsed < interval or (is_changing and elapsed < MAX_SYNC_DELAY_SECONDS):
            return
        if self._sender.send_segment_digests(now, sender):
            self._synced_at = now
            self._stats.repairs += 1

    def on_segment_digests(self, now: float, sender: int, digests: tuple[int, ...]) -> None:
        """Send the first segments whose digests differ, at most `MAX_SEGMENTS_PER_SYNC`."""
        table = self._view.table
        for index in table.differing_segments(digests)[:MAX_SEGMENTS_PER_SYNC]:
            members = table.segment(index)
            for first_member in range(members.start, members.stop, MAX_SEGMENT_RECORDS):
                end = min(first_member + MAX_SEGMENT_RECORDS, members.stop)
                self._sender.send_segment(now, sender, first_member, tuple(table.records[first_member:end]))

    def on_segment(self, now: float, sender: int, message: Message) -> None:
        """Apply the sender's newer records, and reply with the records that are newer here."""
        newer = []
        for member, record in enumerate(message.segment_records, message.first_member):
            if not self._view.contains(member):
                break
            known = self._view.table.records[member]
            if record.is_known and record.precedence > known.precedence:
                self._updates.on_record(now, sender, member, record)
            elif known.is_known and known.precedence > record.precedence:
                newer.append(MemberUpdate(member, known))
        if newer:
            self._sender.send_gossip(now, sender, tuple(newer[:MAX_UPDATES_PER_REPLY]), HELP_RESERVE_BYTES)
