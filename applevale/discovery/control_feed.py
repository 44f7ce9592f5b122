"""Client of the control feed, which sends numbered updates of the engine list over TCP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from ..observability.counters import Counters
from ..observability.events import log_event
from .endpoints import AttributeNames, EndpointUpdate
from .feed_codec import FeedError
from .feed_connection import FeedConnection
from .list_freshness import ListFreshness

# Without a whole frame for this time, a further connection is opened. The feed sends at least one frame per
# second.
SILENCE_TIMEOUT_SECONDS = 1.8
# The feed may be this late with all that it sends, so a connection is given up no sooner.
MAX_FEED_DELAY_SECONDS = 7.0
MIN_RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 0.4


def _ignore_change(is_fresh: bool) -> None:
    """Do nothing; for callers that do not use the freshness of the list."""


@dataclass(frozen=True)
class FeedConfig:
    """What a client of the control feed starts with.

    Attributes:
        names: Names of zones and machine kinds, to which records refer by index.
        last_number: Number of the last update that is already known.
        address: Address of the feed; None for a fixed engine list.
        max_age: Seconds after its last confirmation for which the list is fresh.
    """

    names: AttributeNames
    last_number: int = 0
    address: tuple[str, int] | None = None
    max_age: float = inf


class ControlFeed:
    """An `EndpointSource` that follows the control feed, and reconnects until it is stopped.

    It publishes each update once and in order. After a reconnect the feed sends the updates that were missed.

    A feed that is silent may be slow, or the connection may be dead. Neither can be told from the other, so
    the silent connection stays open while others are tried. The first one that delivers a frame is followed,
    and the others are closed.

    Attributes:
        last_number: Number of the last update that was published.
        names: Names of zones and machine kinds, to which records refer by index.
        counters: Counts frames, updates and broken connections.
        publish: Called with each update, once and in order.
        address: Address of the feed; None if no feed is followed.
        connections: Open connections, oldest first.
        freshness: Whether the list is recent enough; it always is without an address.
    """

    def __init__(
        self,
        config: FeedConfig,
        counters: Counters,
        publish: Callable[[EndpointUpdate], None],
        on_freshness_change: Callable[[bool], None] = _ignore_change,
    ):
        """Create a client; `start` opens its connection.

        Args:
            config: What the client starts with.
            counters: Counts frames, updates and broken connections.
            publish: Called with each update, once and in order.
            on_freshness_change: Called with whether the list is fresh, after each change.
        """
        self.last_number = config.last_number
        self.names = config.names
        self.counters = counters
        self.publish = publish
        self.address = config.address
        self.connections: list[FeedConnection] = []
        self.freshness = ListFreshness(config.max_age, counters, on_freshness_change)
        self._is_following = False
        self._connect_timer: asyncio.TimerHandle | None = None
        self._reconnect_delay = MIN_RECONNECT_SECONDS

    def start(self) -> None:
        """Start to follow the feed if it has an address."""
        self.reconfigure(self.address)

    def reconfigure(self, target: tuple[str, int] | None) -> None:
        """Follow the feed at `target`, starting after the last published update; None stops following.

        The age of the list goes on across a change of the address.
        """
        was_following = self._is_following
        if was_following and target != self.address:
            self._disconnect()
        self.address = target
        if target is None:
            self.freshness.stop()
            return
        if not was_following:
            self.freshness.start()
        if not self._is_following:
            self._is_following = True
            self._open_connection()

    def may_send_requests(self) -> bool:
        """Return whether the list is recent enough to send new requests to its engines."""
        return self.freshness.is_fresh()

    def list_age(self) -> float:
        """Return the seconds since the list was last confirmed; 0 without an address."""
        return self.freshness.age()

    async def stop(self) -> None:
        """Stop following the feed."""
        self.reconfigure(None)

    def apply(self, update: EndpointUpdate) -> None:
        """Publish an update unless it has already been published.

        Raises:
            FeedError: Updates between the last published one and this one are missing.
        """
        self.counters["feed_frames"] += 1
        if update.number <= self.last_number:
            return
        if _is_heartbeat(update):  # its update was missed
            text = f"heartbeat of event {update.number} came after event {self.last_number}"
            raise FeedError(text, update.number)
        if not update.is_full and update.number != self.last_number + 1:
            raise FeedError(f"event {update.number} came after {self.last_number}", update.number)
        self.last_number = update.number
        self.counters["feed_events"] += 1
        self.publish(update)

    def _open_connection(self) -> None:
        connection = FeedConnection(
            self.address, self.last_number, self.names, self._on_updates, self._on_failure
        )
        self.connections.append(connection)
        self.counters["feed_connects"] += 1
        self._schedule(SILENCE_TIMEOUT_SECONDS, self._on_silence)

    def _schedule(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` seconds, in place of the call that was scheduled before."""
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        self._connect_timer = asyncio.get_running_loop().call_later(delay, callback)

    def _on_updates(self, connection: FeedConnection, updates: list[EndpointUpdate]) -> None:
        """Follow the connection that has delivered updates, and apply them."""
        for other in self.connections:
            if other is not connection:
                other.close()
        self.connections = [connection]
        self._schedule(SILENCE_TIMEOUT_SECONDS, self._on_silence)
        for update in updates:
            self.apply(update)
        self._reconnect_delay = MIN_RECONNECT_SECONDS
        self._confirm_list(connection, updates)

    def _confirm_list(self, connection: FeedConnection, updates: list[EndpointUpdate]) -> None:
        """Record up to when the list is complete.

        The first frames of a connection may be only some of the updates that were missed. A heartbeat comes
        behind all of them.
        """
        if any(map(_is_heartbeat, updates)):
            connection.lag.record_heartbeat(connection.heard_at)
        if connection.lag.has_heartbeat:
            self.freshness.confirm(connection.heard_at - connection.lag.seconds)

    def _on_failure(self, connection: FeedConnection, error: Exception) -> None:
        """Open another connection soon, unless one that is newer than the failed one is being tried."""
        log_event("feed", f"{type(error).__name__}: {error}")
        self.counters["feed_breaks"] += 1
        is_newest = connection is self.connections[-1]
        self.connections.remove(connection)
        if is_newest:
            self._schedule(self._reconnect_delay, self._open_connection)
            self._reconnect_delay = min(self._reconnect_delay * 2, MAX_RECONNECT_SECONDS)

    def _on_silence(self) -> None:
        """Open a further connection, and close those that are silent for longer than the feed may be late."""
        now = asyncio.get_running_loop().time()
        silence = now - self.connections[0].heard_at
        log_event(
            "feed", f"no frame for {silence:.1f} s, connections: {len(self.connections)}; opening another"
        )
        expired = [c for c in self.connections if now - c.heard_at >= MAX_FEED_DELAY_SECONDS]
        for connection in expired:
            connection.close()
            self.connections.remove(connection)
        self.counters["feed_breaks"] += len(expired)
        self._open_connection()

    def _disconnect(self) -> None:
        """Close all connections and cancel the timer."""
        for connection in self.connections:
            connection.close()
        self.connections = []
        self._connect_timer.cancel()
        self._is_following = False


def _is_heartbeat(update: EndpointUpdate) -> bool:
    return not update.endpoints and not update.is_full
