"""The watch streams of a fake etcd member, which send the changes of the member's visible store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream

from ..discovery.registry import messages
from .key_value_store import CompactedError, KeyVersion

if TYPE_CHECKING:
    from .etcd import Member

MAX_EVENTS_PER_MESSAGE = 500
PROGRESS_WATCH_ID = -1  # in the answer to a progress request, which covers all watches of a stream


class WatchStream:
    """Sends the events of a range of keys until the watch is cancelled or its client closes the stream.

    Attributes:
        next_revision: The first revision whose events have not been sent.
    """

    def __init__(self, member: Member, stream: Stream, create_request: object):
        """Create the watch that `create_request` asks for on `stream`."""
        self.member = member
        self.stream = stream
        self.key: bytes = create_request.key
        self.range_end: bytes = create_request.range_end
        self.next_revision: int = create_request.start_revision
        self._send_lock = asyncio.Lock()
        self._changed = asyncio.Event()

    async def serve(self) -> None:
        """Confirm the watch and send events as changes are committed; return when the watch has ended."""
        member = self.member
        await self.stream.send_message(messages.WatchResponse(header=member.header(), created=True))
        member.visible_store.changed.add(self._changed)
        progress_task = asyncio.create_task(self._answer_progress_requests())
        try:
            await self._send_events_until(progress_task)
        except (StreamTerminatedError, ConnectionError):
            pass
        finally:
            progress_task.cancel()
            for store in (member.store, member.visible_store):
                store.changed.discard(self._changed)

    async def _send_events_until(self, progress_task: asyncio.Task) -> None:
        """Send events as changes are committed, until the watch is cancelled or `progress_task` is done."""
        while not progress_task.done():
            if not await self._send_pending_events():
                return
            change_task = asyncio.create_task(self._changed.wait())
            try:
                await asyncio.wait({change_task, progress_task}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                change_task.cancel()
            self._changed.clear()

    async def _answer_progress_requests(self) -> None:
        """Answer progress requests until the client closes the stream."""
        try:
            while (request := await self.stream.recv_message()) is not None:
                if request.HasField("progress_request") and not self.member.silences_watches:
                    await self._send_pending_events()
                    await self._send_progress()
        except (StreamTerminatedError, ConnectionError):
            pass

    async def _send_progress(self) -> None:
        async with self._send_lock:
            await self.stream.send_message(
                messages.WatchResponse(header=self.member.header(), watch_id=PROGRESS_WATCH_ID)
            )

    async def _send_pending_events(self) -> bool:
        """Send all pending events; return False if the watch had to be cancelled because of a compaction."""
        async with self._send_lock:
            while not self.member.silences_watches:
                store = self.member.visible_store
                try:
                    pending = store.changes_since(self.next_revision, self.key, self.range_end)
                except CompactedError:
                    await self.stream.send_message(self._cancellation())
                    return False
                if not pending:
                    break
                await self._send_events(pending[:MAX_EVENTS_PER_MESSAGE])
        return True

    async def _send_events(self, versions: list[KeyVersion]) -> None:
        header = self.member.header()
        header.revision = versions[-1].revision
        for _ in range(2 if self.member.duplicates_events else 1):
            await self.stream.send_message(
                messages.WatchResponse(header=header, events=[_event(version) for version in versions])
            )
        self.next_revision = versions[-1].revision + 1

    def _cancellation(self) -> object:
        return messages.WatchResponse(
            header=self.member.header(),
            canceled=True,
            compact_revision=self.member.visible_store.compacted_revision,
            cancel_reason="required revision has been compacted",
        )


def key_value(version: KeyVersion) -> object:
    """Return the etcd message for a version of a key."""
    return messages.KeyValue(
        key=version.key,
        create_revision=version.create_revision,
        mod_revision=version.revision,
        value=version.value or b"",
    )


def _event(version: KeyVersion) -> object:
    return messages.Event(
        type=messages.DELETE if version.value is None else messages.PUT, kv=key_value(version)
    )
