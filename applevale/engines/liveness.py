"""Liveness of connections to engines: pings on those that are busy and silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .connection import EngineConnection

PING_TIMEOUT_SECONDS = 0.4
MAX_TIMER_LATENESS_SECONDS = 0.1  # beyond it the event loop stood still, and replies may lie unread


class LivenessMonitor:
    """Pings a busy connection that was silent for too long, and closes it if no reply comes.

    Guards attempts against a connection that stays open but is of no further use, after a corrupt reply or
    with one that was cut short: closed, it gives them their results.

    Attributes:
        last_active_at: When the last whole reply came, or when the connection last became busy; in seconds
            of the event loop's clock.
        ping_tag: The tag of the last ping; while the connection waits for its reply, it is not to be trusted.
    """

    def __init__(self, connection: EngineConnection) -> None:
        """Watch over one connection."""
        self.last_active_at = 0.0
        self.ping_tag: bytes | None = None
        self._connection: EngineConnection | None = connection
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Watch the connection from now on, unless it is watched already or closed."""
        if self._timer is None and not self._connection.is_closed:
            self.last_active_at = asyncio.get_running_loop().time()
            self._schedule(self._connection.pool.liveness_interval())

    def stop(self) -> None:
        """Stop watching; it may be started again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop for good, and drop the reference to the connection: a cycle would wait for the collector."""
        self.stop()
        self._connection = None

    def _schedule(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._check, loop.time() + delay)

    def _check(self, due: float) -> None:
        connection = self._connection
        now = asyncio.get_running_loop().time()
        self._timer = None
        if connection.is_closed or not connection.stream_count:
            return
        interval = connection.pool.liveness_interval()
        if not connection.is_connected or now - due > MAX_TIMER_LATENESS_SECONDS:
            self._schedule(PING_TIMEOUT_SECONDS)
        elif self.ping_tag in connection.streams.probes:
            connection.pool.record_corrupt_response()
            connection.close("no reply to a ping")
        elif now - self.last_active_at < interval:
            self._schedule(self.last_active_at + interval - now)
        else:
            self.ping_tag = connection.pool.next_tag()
            connection.ping(self.ping_tag)
            self._schedule(PING_TIMEOUT_SECONDS)
