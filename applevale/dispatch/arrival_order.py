"""The order in which requests arrived, as far as reading sockets can tell.

An event loop that runs on time reads sockets in the order in which their data arrived. After a stall all that
has accumulated is read socket by socket, and the order of arrival is lost.

No I/O and no clock: times are given, in seconds of one clock. Invariants:

- Everything that arrived at a socket before its `Source.read_up_to` has been read.
- Every socket that was waited for by `ArrivalOrder.polled_at` was polled after it. A tick runs at the start
  of a loop iteration and the sockets are polled later in it, so this is the last tick but one.
- What is read now arrived in (earliest arrival, now], and the earliest arrival is never later than the truth.
"""

from __future__ import annotations

from math import inf

TICK_SECONDS = 0.01  # between two ticks
MIN_REQUEST_SPACING_SECONDS = 0.05  # clients write requests of one key at least 0.06 s apart
STALL_SECONDS = TICK_SECONDS + 0.03  # between two ticks, from which what was read may be out of order
MAX_CATCH_UP_SECONDS = 1.0  # for which requests with a key wait until the rest is read
KEY_RETENTION_SECONDS = 30.0  # for which the last request of a key is remembered: no loop stalls for longer


class Source:
    """A socket on which requests, or connections, arrive.

    Attributes:
        read_up_to: Time up to which everything that arrived has been read.
    """

    def __init__(self, read_up_to: float = -inf):
        """Create a source of which everything up to a time has been read."""
        self.read_up_to = read_up_to

    def record_read(self, waited_since: float, polled_at: float, emptied: bool) -> float:
        """Return the earliest time at which what was just read may have arrived.

        Args:
            waited_since: When the wait for it began.
            polled_at: `ArrivalOrder.polled_at`.
            emptied: Whether nothing was left behind it.
        """
        earliest_arrival = self.read_up_to
        if waited_since <= polled_at:
            earliest_arrival = max(self.read_up_to, polled_at)
        if emptied:
            self.read_up_to = max(earliest_arrival, polled_at)
        return earliest_arrival


class ArrivalOrder:
    """Detects stalls of the event loop, and requests whose order a stall has made unknown.

    Attributes:
        last_requests: When and where the last request of each key was read, the oldest first.
        polled_at: Time by which each socket that was waited for was polled later.
        stalled_until: End of the last stall.
        is_catching_up: Whether something that arrived before that is still unread.
    """

    def __init__(self) -> None:
        """Start with no tick and no stall."""
        self.polled_at = -inf
        self.ticked_at = -inf
        self.stalled_until = -inf
        self.is_catching_up = False
        self.last_requests: dict[int, tuple[float, Source]] = {}

    def on_tick(self, now: float) -> bool:
        """Record a tick; return whether the loop has stalled since the one before."""
        self.polled_at = self.ticked_at
        self.ticked_at = now
        if now - self.polled_at < STALL_SECONDS or self.polled_at == -inf:
            return False
        self.stalled_until = now
        self.is_catching_up = True
        return True

    def is_caught_up(self, source: Source, readable: bool) -> bool:
        """Return whether all is read that arrived at a source before the end of the last stall."""
        return not readable or source.read_up_to >= self.stalled_until

    def finish_catching_up(self, all_caught_up: bool, now: float) -> bool:
        """End the catching up if it is over; return whether it is.

        It is over after `MAX_CATCH_UP_SECONDS` in any case, since a flood could go on for ever.
        """
        if self.is_catching_up and (all_caught_up or now - self.stalled_until > MAX_CATCH_UP_SECONDS):
            self.is_catching_up = False
        return not self.is_catching_up

    def is_in_order(self, key: int, source: Source, earliest_arrival: float, now: float) -> bool:
        """Return whether a request surely arrived after the one of its key that was read before it.

        Args:
            key: The ordering key of the request.
            source: Where it was read.
            earliest_arrival: As of `Source.record_read`.
            now: When it was read.
        """
        self._forget_old_keys(now)
        last_read_at, last_source = self.last_requests.pop(key, (-inf, source))
        self.last_requests[key] = now, source
        return last_source is source or last_read_at - earliest_arrival < MIN_REQUEST_SPACING_SECONDS

    def _forget_old_keys(self, now: float) -> None:
        for key, (read_at, _) in list(self.last_requests.items()):
            if read_at >= now - KEY_RETENTION_SECONDS:
                break
            del self.last_requests[key]
