"""Estimates how late the heartbeats of the control feed arrive. The module does no I/O and reads no clock."""

from __future__ import annotations

HEARTBEAT_INTERVAL_SECONDS = 1.0
# Heartbeats are not exactly regular, and a busy feed is not a late one.
TOLERANCE_SECONDS = 0.25
MAX_LAG_SECONDS = 5.0


class HeartbeatLag:
    """Lag of one connection: a longer gap between heartbeats adds to it, a shorter one takes from it.

    Frames carry no time, so a lag that was there before the connection was opened shows in the wait for its
    first heartbeat. The estimate is bounded, so that it cannot make a list stale while heartbeats arrive.

    Attributes:
        seconds: The estimate, in s; 0 before the first heartbeat.
        has_heartbeat: Whether a heartbeat has arrived, so that all earlier updates are known.
    """

    def __init__(self, opened_at: float):
        """Create the estimate for a connection that was opened at a time in s."""
        self.seconds = 0.0
        self.has_heartbeat = False
        self._last_at = opened_at

    def record_heartbeat(self, now: float) -> None:
        """Record that a heartbeat has arrived at a time in s."""
        excess = now - self._last_at - HEARTBEAT_INTERVAL_SECONDS
        self._last_at = now
        self.has_heartbeat = True
        if abs(excess) > TOLERANCE_SECONDS:
            self.seconds = min(max(0.0, self.seconds + excess), MAX_LAG_SECONDS)
