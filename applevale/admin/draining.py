"""The state of a drain, which makes clients move to other instances.

During a drain new requests are rejected and idle connections are closed; work in progress is not interrupted.
A single `end` ends a drain, however often it was begun. The module does no I/O and reads no clock; all times
are in seconds by the event loop's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

# New requests are accepted for this long after an operator begins a drain. 4 s after its beginning, no
# connection may be open that had a request in the last 2 s; without this limit, overlapping requests could
# keep a connection busy forever.
ACCEPT_SECONDS = 1.75
# The first request on a new connection may be in transit for this long.
FIRST_REQUEST_GRACE_SECONDS = 0.25


@dataclass
class DrainState:
    """Decides which requests a drain rejects and which connections it closes.

    Attributes:
        reject_from: The time from which new requests are rejected; infinite without a drain.
    """

    reject_from: float = inf

    @property
    def is_active(self) -> bool:
        """Whether a drain is in progress."""
        return self.reject_from < inf

    def begin(self, reject_from: float) -> None:
        """Begin a drain, or keep the one in progress; the earliest `reject_from` of all calls applies."""
        self.reject_from = min(self.reject_from, reject_from)

    def end(self) -> None:
        """End the drain, if there is one."""
        self.reject_from = inf

    def rejects_requests(self, now: float) -> bool:
        """Return whether a request that arrives now is rejected."""
        return now >= self.reject_from

    def should_close(self, has_open_work: bool, has_unread_input: bool) -> bool:
        """Return whether a connection is to be closed.

        Args:
            has_open_work: Whether a response on the connection is incomplete.
            has_unread_input: Whether the client has begun to send a request.
        """
        return self.is_active and not (has_open_work or has_unread_input)

    def first_request_time_left(self, accepted_at: float, now: float) -> float:
        """Return for how many more seconds a connection without any request stays open."""
        return max(0.0, accepted_at + FIRST_REQUEST_GRACE_SECONDS - now)
