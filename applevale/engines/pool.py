"""The engines that the list names, behind one interface: attempts and probes go through the pool."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Set

from ..api import Result, State
from ..discovery.endpoints import Endpoint, EndpointUpdate
from ..observability.counters import Counters
from .attempt import Attempt, AttemptFailed, AttemptResult, AttemptSpec, Progress
from .connection import EngineConnection
from .engine import Engine
from .limits import ConnectionLimits
from .observer import ConnectPolicy, EngineObserver, UnlimitedConnects
from .streams import ProbeCallback

PROBE_TIMEOUT_SECONDS = 0.25  # set by the site
CORRUPTION_MEMORY_SECONDS = 20.0  # for which a corrupt reply counts as recent
# Silence after which a busy connection is pinged: while corruption is suspected, and else.
SUSPICIOUS_LIVENESS_INTERVAL_SECONDS = 1.0
LIVENESS_INTERVAL_SECONDS = 3.0
CHEAP_PROBE_PRICE = 0.02  # points for a probe a request, up to which pings are sent as often as that


def _always_confirmed() -> bool:
    return True


class EnginePool:
    """All engines that the list has named, and the connections to them.

    Attributes:
        engines: By their ids; one that has left the list stays until its connections have ended.
        departed: Ids of those that have left the list.
        local_address: The address that connections bind; empty: the system's choice.
        connect_policy: Says when a connection to an engine may be opened.
        observer: Receives load reports and written attempts.
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
        """Start without engines.

        Args:
            limits: The settings' limits of connections.
            report_columns: The columns of engines' load reports, in their order.
            max_connections: Bounds the connections to all engines together.
            counters: Counts of connections and replies.
            local_address: The address that connections bind; empty: the system's choice.
            connect_policy: Says when a connection may be opened; None for no limit.
            observer: Receives load reports and written attempts; None to ignore them.
            is_list_confirmed: Returns whether the engine list is held to be true now; None if it always is.
        """
        self.limits = limits
        self.report_columns = report_columns
        self.max_connections = max_connections
        self.counters = counters
        self.local_address = local_address
        self.engines: dict[int, Engine] = {}
        self.departed: set[int] = set()
        self.connect_policy = connect_policy or UnlimitedConnects()
        self.observer = observer or EngineObserver()
        self._is_list_confirmed = is_list_confirmed or _always_confirmed
        self._tag_count = 0
        self._corrupted_at = -CORRUPTION_MEMORY_SECONDS  # by the event loop's clock

    def next_tag(self) -> bytes:
        """Return a new tag for a probe, under which its reply comes."""
        self._tag_count += 1
        return b"p%d" % self._tag_count

    def record_corrupt_response(self) -> None:
        """Note that an engine's reply was corrupt, or failed to come."""
        self.counters["links_spoilt"] += 1
        self._corrupted_at = asyncio.get_running_loop().time()

    def corruption_suspected(self) -> bool:
        """Return whether a corrupt reply was seen lately."""
        return asyncio.get_running_loop().time() - self._corrupted_at <= CORRUPTION_MEMORY_SECONDS

    def shares_connections(self) -> bool:
        """Return whether a busy connection is preferred to a new one.

        It is where handshakes have a price, unless corrupt replies were seen, which end all else on theirs.
        """
        return self.limits.handshake_price > 0 and not self.corruption_suspected()

    def liveness_interval(self) -> float:
        """Return the seconds of silence after which a busy connection is pinged.

        Pings have a price: they are frequent only while corruption is suspected, and rare where it is high.
        """
        if self.corruption_suspected():
            return SUSPICIOUS_LIVENESS_INTERVAL_SECONDS
        return LIVENESS_INTERVAL_SECONDS * max(1.0, self.limits.probe_price / CHEAP_PROBE_PRICE)

    def connection_count(self) -> int:
        """Return the number of connections to all engines."""
        return sum(len(engine.connections) for engine in self.engines.values())

    def listed_engines(self) -> set[int]:
        """Return the ids of the engines that the list names."""
        return set(self.engines) - self.departed

    def connected_engines(self) -> set[int]:
        """Return the ids of the engines to which there is a connection, or one is being opened."""
        return {engine_id for engine_id, engine in self.engines.items() if engine.connections}

    def update(self, update: EndpointUpdate) -> None:
        """Apply a change of the engine list."""
        listed = {endpoint.entry.engine for endpoint in update.endpoints}
        new_owners = self._apply_endpoints(update.endpoints)
        # A long list is walked as a whole only where an update may concern any engine.
        affected = self.engines if update.is_full or new_owners else self.departed | listed
        for engine_id in [engine_id for engine_id in affected if engine_id in self.engines]:
            engine = self.engines[engine_id]
            is_unlisted = update.is_full and engine_id not in listed
            # An engine whose address another one has taken is gone, even if it is still listed.
            is_address_taken = new_owners.get(engine.address, engine_id) != engine_id
            if is_unlisted or is_address_taken:
                engine.mark_gone()
            self._update_departed(engine)

    def _apply_endpoints(self, endpoints: Iterable[Endpoint]) -> dict[tuple[str, int], int]:
        """Update the engines; return the id of each new one by its address."""
        new_owners: dict[tuple[str, int], int] = {}
        for endpoint in endpoints:
            engine_id = endpoint.entry.engine
            engine = self.engines.get(engine_id)
            if engine is None:
                self.engines[engine_id] = Engine(self, endpoint)
                new_owners[endpoint.address] = engine_id
            else:
                engine.update(endpoint)
        return new_owners

    def _update_departed(self, engine: Engine) -> None:
        self.departed.discard(engine.engine_id)
        if engine.state is not State.GONE:
            return
        if engine.connections:
            self.departed.add(engine.engine_id)
        else:
            del self.engines[engine.engine_id]

    def withdraw_unsent(self, engine_id: int) -> None:
        """Fail the attempts at an engine whose commands are not being written yet, also at a ready one."""
        if engine_id in self.engines:
            self.engines[engine_id].withdraw_unsent()

    def may_send(self, spec: AttemptSpec, engine: Engine | None) -> bool:
        """Return whether an attempt may be sent now; what held before a wait is checked again after it.

        Guards the grace period of a drain, the time in which repeats are recognized, and engines against
        work that no client waits for.
        """
        if spec.is_client_gone():
            self.counters["gone_unread"] += 1
            return False
        is_ready = engine is not None and engine.state is State.READY and self._is_list_confirmed()
        return is_ready and asyncio.get_running_loop().time() < spec.start_before

    def start_attempt(
        self,
        engine_id: int,
        spec: AttemptSpec,
        excluded: Set[EngineConnection],
        on_result: Callable[[AttemptResult], None],
    ) -> Attempt:
        """Start an attempt at an engine; `on_result` is called once, perhaps before this returns.

        Args:
            engine_id: The engine.
            spec: What it is asked for.
            excluded: Connections that carried earlier attempts of the request, of which a late reply there
                must not be taken for one to this.
            on_result: Is given the result.
        """
        attempt = Attempt(spec, on_result)
        engine = self.engines.get(engine_id)
        if not self.may_send(spec, engine):
            attempt.finish(AttemptFailed(Progress.NOT_SENT, Result.MOOT))
            return attempt
        connection = engine.pick_connection(spec.request_id, excluded, spec.exclusive)
        if connection is None:
            # Not allowed to connect proves nothing about the engine; too many open connections do.
            result = Result.CONNECT_FAILED if self.connect_policy.may_connect(engine_id) else Result.MOOT
            attempt.finish(AttemptFailed(Progress.NOT_SENT, result))
        else:
            connection.send_attempt(attempt)
        return attempt

    def probe(self, engine_id: int, on_result: ProbeCallback) -> None:
        """Ask an engine for its load; `on_result` is called once, perhaps before this returns."""
        engine = self.engines.get(engine_id)
        connection = engine.pick_connection(b"", frozenset()) if engine is not None else None
        if connection is None:
            on_result(Result.CONNECT_FAILED, ())
            return
        tag = self.next_tag()
        connection.probe(tag, on_result)
        loop = asyncio.get_running_loop()
        loop.call_later(PROBE_TIMEOUT_SECONDS, connection.finish_probe, tag, Result.TIMEOUT)
