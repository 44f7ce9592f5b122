"""Determines whether requests were read in the order in which they arrived.

An event loop that runs on time reads sockets in the order in which their data arrived. After a stall it reads
the accumulated data socket by socket, and the order of arrival is lost.

The module does no I/O and reads no clock. All times are passed in, in seconds of the same clock.

Invariants:

- All data that arrived at a socket before its `ArrivalSource.read_up_to` has been read.
- Each socket that was waited for at `ArrivalOrder.polled_at` has been polled after that time. A tick runs at
  the start of a loop iteration and the sockets are polled later in the iteration, so `polled_at` is the time
  of the second to last tick.
- Data that is read now arrived after its earliest arrival time, and no later than now.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

TICK_SECONDS = 0.01  # interval between ticks
MIN_REQUEST_SPACING_SECONDS = 0.05  # clients send requests with the same key at least 0.06 s apart
STALL_SECONDS = TICK_SECONDS + 0.03  # an interval between ticks of this length or more is a stall
MAX_CATCH_UP_SECONDS = 1.0  # longest wait of requests with a key for the data accumulated in a stall
# Longest wait of one request with a key. Stalls that follow each other prolong the catching up, not this.
MAX_ORDER_WAIT_SECONDS = 1.2 * MAX_CATCH_UP_SECONDS
KEY_RETENTION_SECONDS = 30.0  # how long the last request of a key is remembered; no stall lasts longer


class ArrivalSource:
    """A socket at which requests or connections arrive.

    Attributes:
        read_up_to: Time up to which all data that arrived has been read.
    """

    def __init__(self, read_up_to: float = -inf):
        """Create a source from which all data up to a time has been read."""
        self.read_up_to = read_up_to

    def earliest_arrival(self, wait_started_at: float, polled_at: float) -> float:
        """Return the earliest time at which what was just found at the socket may have arrived.

        Args:
            wait_started_at: Time at which the wait for it began.
            polled_at: The current `ArrivalOrder.polled_at`.
        """
        if wait_started_at <= polled_at:
            return max(self.read_up_to, polled_at)
        return self.read_up_to

    def record_emptied(self, read_at: float) -> None:
        """Record that all was read that had arrived at the time `read_at`."""
        self.read_up_to = max(self.read_up_to, read_at)

    def record_read(self, wait_started_at: float, polled_at: float, emptied: bool) -> float:
        """Record a read that the event loop made; return the earliest time of arrival of its data.

        Args:
            wait_started_at: Time at which the wait for the data began.
            polled_at: The current `ArrivalOrder.polled_at`; the event loop read after that time.
            emptied: Whether the read left no data behind.
        """
        earliest_arrival = self.earliest_arrival(wait_started_at, polled_at)
        if emptied:
            self.record_emptied(max(earliest_arrival, polled_at))
        return earliest_arrival


class LastRequest(NamedTuple):
    """The last request that was read with an order key."""

    read_at: float
    source: ArrivalSource


class ArrivalOrder:
    """Detects stalls of the event loop, and requests whose order of arrival is unknown after a stall.

    Attributes:
        last_requests: The last request with each order key, oldest first.
        polled_at: Time after which each socket that was waited for at that time has been polled.
        ticked_at: Time of the last tick.
        stalled_until: End of the last stall.
        is_catching_up: Whether data that arrived before the end of the last stall may still be unread.
    """

    def __init__(self) -> None:
        """Start without a tick or a stall."""
        self.polled_at = -inf
        self.ticked_at = -inf
        self.stalled_until = -inf
        self.is_catching_up = False
        self.last_requests: dict[int, LastRequest] = {}

    def on_tick(self, now: float) -> bool:
        """Record a tick; return whether the loop has stalled since the previous one."""
        self.polled_at = self.ticked_at
        self.ticked_at = now
        if now - self.polled_at < STALL_SECONDS or self.polled_at == -inf:
            return False
        self.stalled_until = now
        self.is_catching_up = True
        return True

    def is_caught_up(self, source: ArrivalSource, readable: bool) -> bool:
        """Return whether all data that arrived at a source before the end of the last stall has been read."""
        return not readable or source.read_up_to >= self.stalled_until

    def finish_catching_up(self, all_caught_up: bool, now: float) -> bool:
        """Update `is_catching_up`; return whether no accumulated data is left to wait for.

        The wait is limited to `MAX_CATCH_UP_SECONDS`, since a client that sends without pause could prolong
        it forever.
        """
        if self.is_catching_up and (all_caught_up or now - self.stalled_until > MAX_CATCH_UP_SECONDS):
            self.is_catching_up = False
        return not self.is_catching_up

    def is_in_order(self, key: int, source: ArrivalSource, earliest_arrival: float, now: float) -> bool:
        """Return whether a request certainly arrived after the previously read request with the same key.

        Args:
            key: The order key of the request.
            source: The socket from which it was read.
            earliest_arrival: The result of `ArrivalSource.record_read` for the read.
            now: Time at which it was read.
        """
        self._remove_expired_keys(now)
        last = self.last_requests.pop(key, LastRequest(-inf, source))
        self.last_requests[key] = LastRequest(now, source)
        return last.source is source or last.read_at - earliest_arrival < MIN_REQUEST_SPACING_SECONDS

    def _remove_expired_keys(self, now: float) -> None:
        for key, last in list(self.last_requests.items()):
            if last.read_at >= now - KEY_RETENTION_SECONDS:
                break
            del self.last_requests[key]
