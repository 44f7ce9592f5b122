"""Liveness checks of connections to engines: pings on busy connections that are silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .connection import EngineConnection

PING_TIMEOUT_SECONDS = 0.4
MAX_TIMER_LATENESS_SECONDS = 0.1  # a later timer means that the event loop stalled, with replies unread


class LivenessMonitor:
    """Pings a busy connection that has been silent for too long, and closes it if no reply comes.

    After a corrupt or truncated reply, a connection may stay open without ever delivering another reply.
    Closing it ends its attempts and probes with a failure.

    Attributes:
        last_active_at: Time, by the event loop's clock, of the last complete reply, or of the moment at which
            the connection became busy.
        ping_tag: Tag of the last ping; until its reply comes, the connection accepts nothing new.
    """

    def __init__(self, connection: EngineConnection) -> None:
        """Create a monitor for one connection."""
        self.last_active_at = 0.0
        self.ping_tag: bytes | None = None
        self._connection: EngineConnection | None = connection
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to monitor the connection, unless it is monitored already or closed."""
        if self._timer is None and not self._connection.is_closed:
            self.last_active_at = asyncio.get_running_loop().time()
            self._schedule(self._connection.pool.ping_interval())

    def stop(self) -> None:
        """Stop monitoring; `start` may be called again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop for good, and drop the reference to the connection, to break a reference cycle."""
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
        interval = connection.pool.ping_interval()
        if not connection.is_connected or now - due > MAX_TIMER_LATENESS_SECONDS:
            self._schedule(PING_TIMEOUT_SECONDS)
        elif self.ping_tag in connection.streams.probes:
            connection.pool.record_corruption()
            connection.close("no reply to a ping")
        elif now - self.last_active_at < interval:
            self._schedule(self.last_active_at + interval - now)
        else:
            self.ping_tag = connection.pool.next_probe_tag()
            connection.ping(self.ping_tag)
            self._schedule(PING_TIMEOUT_SECONDS)
