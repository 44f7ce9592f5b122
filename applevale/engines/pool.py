"""The pool of engines and connections, through which attempts are started and probes sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Set

from ..api import EngineState, Result
from ..discovery.endpoints import Endpoint, EndpointUpdate
from ..observability.counters import Counters
from .attempt import Attempt, AttemptFailed, AttemptResult, AttemptSpec, Progress
from .connection import EngineConnection
from .engine import Engine
from .limits import ConnectionLimits
from .observer import ConnectPolicy, EngineObserver, UnlimitedConnects
from .streams import ProbeCallback

PROBE_TIMEOUT_SECONDS = 0.25  # prescribed by the deployment
CORRUPTION_SUSPICION_SECONDS = 20.0  # how long corruption is suspected after a corrupt reply

# Silence after which a busy connection is pinged.
PING_INTERVAL_SECONDS = 3.0
PING_INTERVAL_UNDER_SUSPICION_SECONDS = 1.0  # while corruption is suspected
CHEAP_PROBE_PRICE = 0.02  # the ping interval grows in proportion to `probe_price` above this


def _always_confirmed() -> bool:
    return True


class EnginePool:
    """The engines of the list and the connections to them.

    Attributes:
        engines: Engines by id. An engine that has left the list stays until its connections have ended.
        unlisted: Ids of the engines in `engines` that have left the list.
        local_address: IP address that connections bind; empty to let the system choose.
        connect_policy: Decides when a connection to an engine may be opened.
        observer: Is notified of load reports and written attempts.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        report_columns: tuple[str, ...],
        max_connections: int,
        counters: Counters,
        local_address: str = "",
        *,
        connect_policy: ConnectPolicy | None = None,
        observer: EngineObserver | None = None,
        is_list_confirmed: Callable[[], bool] | None = None,
    ) -> None:
        """Create a pool without engines.

        Args:
            limits: Limits on connections.
            report_columns: Columns of the engines' load reports, in order.
            max_connections: Maximum number of connections to all engines together.
            counters: Counters of connections and replies.
            local_address: IP address that connections bind; empty to let the system choose.
            connect_policy: Decides when a connection may be opened; None for no limit.
            observer: Is notified of load reports and written attempts; None for no observer.
            is_list_confirmed: Returns whether the engine list is confirmed now; None if it always is.
        """
        self.limits = limits
        self.report_columns = report_columns
        self.max_connections = max_connections
        self.counters = counters
        self.local_address = local_address
        self.engines: dict[int, Engine] = {}
        self.unlisted: set[int] = set()
        self.connect_policy = connect_policy or UnlimitedConnects()
        self.observer = observer or EngineObserver()
        self._is_list_confirmed = is_list_confirmed or _always_confirmed
        self._probe_tag_count = 0
        self._corrupted_at = -CORRUPTION_SUSPICION_SECONDS  # time by the event loop's clock

    def next_probe_tag(self) -> bytes:
        """Return a new tag for a probe or ping; the reply carries the same tag."""
        self._probe_tag_count += 1
        return b"p%d" % self._probe_tag_count

    def record_corruption(self) -> None:
        """Record that an engine sent a corrupt reply, or no reply to a ping."""
        self.counters["links_spoilt"] += 1
        self._corrupted_at = asyncio.get_running_loop().time()

    def corruption_suspected(self) -> bool:
        """Return whether a corrupt reply was recorded recently."""
        return asyncio.get_running_loop().time() - self._corrupted_at <= CORRUPTION_SUSPICION_SECONDS

    def shares_connections(self) -> bool:
        """Return whether sharing a busy connection is preferred to opening a new one.

        It is if handshakes have a cost, unless corruption is suspected: a corrupt reply ends all streams of
        its connection.
        """
        return self.limits.handshake_cost > 0 and not self.corruption_suspected()

    def ping_interval(self) -> float:
        """Return the seconds of silence after which a busy connection is pinged.

        A ping costs as much as a probe, so the interval is longer at a high price. It is always short while
        corruption is suspected.
        """
        if self.corruption_suspected():
            return PING_INTERVAL_UNDER_SUSPICION_SECONDS
        return PING_INTERVAL_SECONDS * max(1.0, self.limits.probe_price / CHEAP_PROBE_PRICE)

    def connection_count(self) -> int:
        """Return the number of connections to all engines."""
        return sum(len(engine.connections) for engine in self.engines.values())

    def listed_engines(self) -> set[int]:
        """Return the ids of the engines in the list."""
        return set(self.engines) - self.unlisted

    def connected_engines(self) -> set[int]:
        """Return the ids of the engines that have a connection, or one that is being opened."""
        return {engine_id for engine_id, engine in self.engines.items() if engine.connections}

    def update(self, update: EndpointUpdate) -> None:
        """Apply a change of the engine list."""
        listed = {endpoint.entry.engine_id for endpoint in update.endpoints}
        new_owners = self._apply_endpoints(update.endpoints)
        # All engines of a long list are visited only if the update may concern any of them.
        affected = self.engines if update.is_full or new_owners else self.unlisted | listed
        for engine_id in [engine_id for engine_id in affected if engine_id in self.engines]:
            engine = self.engines[engine_id]
            is_unlisted = update.is_full and engine_id not in listed
            # An engine whose address a new engine uses is gone, even if it is still listed.
            is_address_taken = new_owners.get(engine.address, engine_id) != engine_id
            if is_unlisted or is_address_taken:
                engine.mark_gone()
            self._update_unlisted(engine)

    def _apply_endpoints(self, endpoints: Iterable[Endpoint]) -> dict[tuple[str, int], int]:
        """Create and update engines; return the ids of the new ones by address."""
        new_owners: dict[tuple[str, int], int] = {}
        for endpoint in endpoints:
            engine_id = endpoint.entry.engine_id
            engine = self.engines.get(engine_id)
            if engine is None:
                self.engines[engine_id] = Engine(self, endpoint)
                new_owners[endpoint.address] = engine_id
            else:
                engine.update(endpoint)
        return new_owners

    def _update_unlisted(self, engine: Engine) -> None:
        self.unlisted.discard(engine.engine_id)
        if engine.state is not EngineState.GONE:
            return
        if engine.connections:
            self.unlisted.add(engine.engine_id)
        else:
            del self.engines[engine.engine_id]

    def withdraw_unsent(self, engine_id: int) -> None:
        """Fail the attempts at an engine whose commands are not being written yet, even if it is ready."""
        if engine_id in self.engines:
            self.engines[engine_id].withdraw_unsent()

    def may_send(self, spec: AttemptSpec, engine: Engine | None) -> bool:
        """Return whether an attempt may be sent now; callers check again after each wait.

        This prevents work for clients that have gone, commands to an engine after the grace period of its
        drain, and repetitions that the engines no longer recognize.
        """
        if spec.is_client_gone():
            self.counters["gone_unread"] += 1
            return False
        is_ready = engine is not None and engine.state is EngineState.READY and self._is_list_confirmed()
        return is_ready and asyncio.get_running_loop().time() < spec.start_before

    def start_attempt(
        self,
        engine_id: int,
        spec: AttemptSpec,
        excluded: Set[EngineConnection],
        on_result: Callable[[AttemptResult], None],
    ) -> Attempt:
        """Start an attempt at an engine.

        Args:
            engine_id: Id of the engine.
            spec: Specification of the attempt.
            excluded: Connections of earlier attempts of the request, on which a late reply to such an attempt
                would be taken for a reply to this one.
            on_result: Called once with the result, possibly before this method returns.
        """
        attempt = Attempt(spec, on_result)
        engine = self.engines.get(engine_id)
        if not self.may_send(spec, engine):
            attempt.finish(AttemptFailed(Progress.NOT_SENT, Result.WITHDRAWN))
            return attempt
        connection = engine.pick_connection(spec.request_id, excluded, spec.exclusive)
        if connection is None:
            # A denial by the connect policy does not count against the engine; the limit on connections does.
            result = Result.CONNECT_FAILED if self.connect_policy.may_connect(engine_id) else Result.WITHDRAWN
            attempt.finish(AttemptFailed(Progress.NOT_SENT, result))
        else:
            connection.send_attempt(attempt)
        return attempt

    def probe(self, engine_id: int, on_result: ProbeCallback) -> None:
        """Request a load report from an engine; `on_result` is called once, possibly before this returns."""
        engine = self.engines.get(engine_id)
        connection = engine.pick_connection(b"", frozenset()) if engine is not None else None
        if connection is None:
            on_result(Result.CONNECT_FAILED, ())
            return
        tag = self.next_probe_tag()
        connection.probe(tag, on_result)
        loop = asyncio.get_running_loop()
        loop.call_later(PROBE_TIMEOUT_SECONDS, connection.finish_probe, tag, Result.TIMEOUT)
