"""Scheduling: which waiting request is sent next, and to which engine."""

from itertools import islice
from math import inf
from typing import NamedTuple

from .. import containers, hashing, selection
from . import config
from .attempts import AttemptManager
from .load_estimation import LoadEstimator
from .model import Context, Engine, PendingRequest
from .outlier import OutlierDetector


class Route(NamedTuple):
    """The engine that a request is sent to, if there is one now."""

    engine: Engine | None = None
    engine_expected: bool = False  # whether an engine may be found soon, for example if a probe is in flight


class Candidate(NamedTuple):
    """An engine that may get a request; candidates compare as tuples, and the smallest is the best."""

    is_last_resort: bool  # the request was tried on this engine, or the engine is on probation
    zone_tier: int
    is_second_choice: bool  # not among the first AFFINITY_ENGINES, or loaded beyond the limit
    engine_load: float
    engine_id: int


class Scheduler:
    """Sends waiting requests in the order of their value per work, and selects their engines."""

    def __init__(
        self, context: Context, attempts: AttemptManager, load: LoadEstimator, outliers: OutlierDetector
    ):
        """Create a scheduler with an empty wait queue."""
        self._context = context
        self._attempts = attempts
        self._load = load
        self._outliers = outliers
        self.waiting: list[PendingRequest] = []
        # Each entry is the order for one table group and class.
        self.engine_orders = containers.BoundedCache(config.MAX_CACHED_ENGINE_ORDERS)

    def engines_by_preference(self, pending: PendingRequest) -> list[Engine]:
        """Return the engines that a request may run on, in its order of preference."""
        table_group = int(pending.request.table_group * config.TABLE_GROUP_SCALE)
        key = (table_group, pending.request.class_index)
        order = self.engine_orders.get(key)
        return self.engine_orders.put(key, self._order(pending, table_group)) if order is None else order

    def _order(self, pending: PendingRequest, table_group: int) -> list[Engine]:
        """Order engines by zone tier, then by a hash; instances spread over the first engines of the order.

        Table loads take the other end of the order, since they block the readers of their tables.
        """
        is_table_load = pending.spec.load
        order = [engine for engine in self._context.ready_engines() if pending.allows(engine.entry)]
        router = self._context.zone_router
        tiers = {engine: router.zone_tier(pending.request.class_index, engine.entry.zone) for engine in order}
        hashes = {engine: hashing.stable_hash(table_group, engine.entry.engine_id) for engine in order}
        sign = -1 if is_table_load else 1
        order.sort(key=lambda engine: (tiers[engine], sign * hashes[engine]))
        if order and self._context.settings.gateways > 1:
            best_tier_size = sum(tier == tiers[order[0]] for tier in tiers.values())
            count = config.AFFINITY_ENGINES
            if is_table_load:
                count = max(1, best_tier_size - config.AFFINITY_ENGINES)
            instance_hash = hashing.stable_hash(self._context.instance_hash, table_group)
            order.insert(0, order.pop(instance_hash % min(best_tier_size, count)))
        return order

    def find_route(self, pending: PendingRequest) -> Route:
        """Return the engine that a request is sent to now; may send a probe, or eject a silent engine."""
        if not self._attempts.may_attempt(pending):
            return Route()
        tried = {attempt.entry.engine_id for attempt in pending.attempts}
        is_short = pending.priority >= config.TOP_PRIORITY and not pending.waits_for_memory
        limit = self._load.thread_limits[pending.priority]
        first_choice_limit = min(limit, config.THREAD_LIMIT if is_short else config.AFFINITY_LOAD)
        available = filter(Engine.is_available, self.engines_by_preference(pending))
        usable = (engine for engine in available if self._attempts.can_run_on(pending, engine))
        candidates: list[Candidate] = []
        for position, engine in enumerate(islice(usable, config.MAX_EXAMINED_ENGINES)):
            if self._outliers.needs_probe(engine, pending):
                if self._outliers.probe(engine):
                    return Route(engine_expected=True)
                self._outliers.eject(engine, "no reply to a probe")
                continue
            if self._is_blocked(pending, engine):
                continue
            load = self._load.engine_load(engine)
            added_load = pending.spec.threads / engine.cores
            new_load = load + added_load
            idle_limit = config.LIMIT_TOLERANCE * added_load
            may_test_engine = is_short and pending.is_safely_repeatable()
            is_avoided = engine.health.on_probation and not may_test_engine
            is_last_resort = engine.entry.engine_id in tried or is_avoided
            if not is_last_resort and new_load <= max(first_choice_limit, idle_limit):
                return Route(engine)
            fits = new_load <= max(limit, idle_limit)
            if fits or (is_short and load < config.OVERFULL_LOAD):
                tier = self._context.zone_router.zone_tier(pending.request.class_index, engine.entry.zone)
                is_second_choice = position >= config.AFFINITY_ENGINES or not fits
                candidates.append(
                    Candidate(is_last_resort, tier, is_second_choice, load, engine.entry.engine_id)
                )
        return self._select(candidates)

    def _is_blocked(self, pending: PendingRequest, engine: Engine) -> bool:
        """Return whether an engine lacks memory for a request, or loads the tables that it needs."""
        needed_mb = max(pending.memory_mb, pending.grant_mb)
        if pending.waits_for_memory and self._load.free_memory(engine) < needed_mb:
            return True
        needs_tables = pending.spec.load or pending.spec.yields
        return needs_tables and engine.runs_table_load(pending.request.table_group)

    def _select(self, candidates: list[Candidate]) -> Route:
        if not candidates:
            return Route()
        has_many_peers = self._context.settings.gateways > config.AFFINITY_ENGINES
        if has_many_peers and len(candidates) > config.MAX_EXACT_CANDIDATES:
            best = selection.better_of_two(self._context.random, candidates, config.CANDIDATE_RANK_FIELDS)
        else:
            best = min(candidates)
        return Route(self._context.engines[best.engine_id])

    def enqueue(self, pending: PendingRequest) -> None:
        """Add a request to the wait queue, or reject or fail it if the queue is full."""
        if len(self.waiting) >= config.MAX_WAITING_REQUESTS:
            self._attempts.reject_or_fail(pending)
        else:
            self.waiting.append(pending)

    def serve_queue(self, stall: float) -> None:
        """Send waiting requests, and reject or fail those that can no longer be completed in time.

        Args:
            stall: Duration (s) of a recent stall of this instance, which makes final answers due earlier.
        """
        self.waiting.sort(key=lambda pending: pending.queue_key)
        now = self._context.now
        router = self._context.zone_router
        own_cores = self._context.ready_cores / self._context.settings.gateways
        work_rate = router.available_rate(now, own_cores) * config.BUSY_SHARE
        slowdowns = [stats.run_time.slowdown.value for stats in self._context.classes]
        slowdowns = [min(max(slowdown, 1.0), config.MAX_QUEUE_SLOWDOWN) for slowdown in slowdowns]
        # Work of the smallest request for which no engine was found, by class, table group and priority.
        smallest_unroutable: dict[tuple[int, float, int], float] = {}
        kept: list[PendingRequest] = []
        work_ahead = 0.0
        routed_count = 0
        not_tried = Route(engine_expected=True)
        for pending in self.waiting:
            if pending.is_finished:
                continue
            is_late = now > pending.final_answer_at(stall)
            is_late = is_late or (pending.attempts and pending.is_repeat_forbidden(now))
            run_time = pending.run_time * slowdowns[pending.request.class_index]
            time_left = min(pending.target_at, pending.deadline) - run_time - now
            route = not_tried
            if routed_count < config.MAX_ROUTED_REQUESTS and not is_late and self._attempts.has_turn(pending):
                routed_count += 1
                route = self._find_route_once(pending, smallest_unroutable)
            if route.engine is not None:
                self._attempts.send(pending, route.engine)
                continue
            is_exempt = pending.priority >= config.TOP_PRIORITY or pending.waits_for_memory
            misses_target = not is_exempt and work_ahead > max(0.0, time_left) * work_rate
            is_hopeless = misses_target and not route.engine_expected
            # Also called for late requests, because the call updates the zone's recovery to the present time.
            is_rejected = is_hopeless or router.is_saturated(now, pending.request.class_index, pending.work)
            if is_rejected or is_late or (time_left < 0 and not route.engine_expected):
                self._attempts.reject_or_fail(pending)
            else:
                kept.append(pending)
                work_ahead += pending.work
        self.waiting = kept

    def _find_route_once(self, pending: PendingRequest, smallest_unroutable: dict) -> Route:
        """Return a route; skip the search if it failed for a similar, smaller request in this pass."""
        is_comparable = not pending.attempts and not pending.waits_for_memory
        key = (pending.request.class_index, pending.request.table_group, pending.priority)
        if is_comparable and pending.work >= smallest_unroutable.get(key, inf):
            return Route()  # during a pass, the loads of engines can only rise
        route = self.find_route(pending)
        if is_comparable and route == Route():
            smallest_unroutable[key] = pending.work
        return route
