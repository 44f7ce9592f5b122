"""The state of a drain: which requests are rejected and which connections are closed while it lasts.

A drain sends clients to other instances. It never interrupts work in progress, and lasts until it is ended,
however often it is begun. The module does no I/O and reads no clock; all times are event loop times in
seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

# Requests are still accepted for this long after an operator's call. By 4 s after the call no connection may
# be held that carried a request in the last 2 s; without this bound a client whose requests overlap would
# never leave its connection idle.
ACCEPT_SECONDS = 1.75
# The first request of a new connection may be in transit for this long.
FIRST_REQUEST_GRACE_SECONDS = 0.25


@dataclass
class DrainState:
    """Whether a drain is in progress, and what it closes and rejects.

    Attributes:
        reject_from: Time from which new requests are rejected; infinite while there is no drain.
    """

    reject_from: float = inf

    @property
    def is_active(self) -> bool:
        """Whether a drain is in progress."""
        return self.reject_from < inf

    def begin(self, reject_from: float) -> None:
        """Begin a drain; of several calls the earliest time holds."""
        self.reject_from = min(self.reject_from, reject_from)

    def end(self) -> None:
        """End the drain, if there is one."""
        self.reject_from = inf

    def rejects_requests(self, now: float) -> bool:
        """Return whether a request that arrives now is rejected at once."""
        return now >= self.reject_from

    def may_close(self, has_open_work: bool, has_unread_input: bool) -> bool:
        """Return whether a connection is to be closed.

        Args:
            has_open_work: A response on the connection is not complete.
            has_unread_input: The client has begun to send a request.
        """
        return self.is_active and not (has_open_work or has_unread_input)

    def first_request_wait(self, accepted_at: float, now: float) -> float:
        """Return the seconds that a connection without a request is still left open."""
        return max(0.0, accepted_at + FIRST_REQUEST_GRACE_SECONDS - now)
