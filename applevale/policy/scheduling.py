"""Which waiting request is sent next, and to which engine."""

from itertools import islice
from math import inf

from .. import containers, hashing, selection
from . import config
from .attempts import AttemptManager
from .model import Context, Engine, PendingRequest


class Scheduler:
    """Serves waiting requests by worth per work; selects engines by table group, zone, load and health."""

    def __init__(self, context: Context, attempts: AttemptManager):
        self.context, self._attempts = context, attempts
        self._load, self._outliers = attempts.load, attempts.outliers
        self.waiting, self.orders = [], containers.BoundedCache(config.MAX_KEPT)  # by table group and class

    def preferred_engines(self, pending: PendingRequest) -> list[Engine]:
        key = (int(pending.request.tables * 16), pending.request.cls)
        order = self.orders.get(key)
        return self.orders.put(key, self._order(pending, key[0])) if order is None else order

    def _order(self, pending: PendingRequest, group: int) -> list[Engine]:
        router, is_load = self.context.zone_router, pending.spec.load
        order = [one for one in self.context.ready_engines() if pending.allows(one.entry)]
        tiers = {one: router.tier(pending.request.cls, one.entry.zone) for one in order}
        sign = -1 if is_load else 1  # a load takes the other end: it would stall its group's readers
        order.sort(key=lambda one: (tiers[one], sign * hashing.stable_hash(group, one.entry.engine)))
        if order and self.context.settings.gateways > 1:
            near = sum(tier == tiers[order[0]] for tier in tiers.values())  # of the first choice of zones
            homes = min(near, max(1, near - config.HOME_ENGINES) if is_load else config.HOME_ENGINES)
            order.insert(0, order.pop(hashing.stable_hash(self.context.instance_hash, group) % homes))
        return order

    def route(self, pending: PendingRequest) -> tuple[Engine | None, bool]:
        if not self._attempts.may_go(pending):
            return None, False
        tried, candidates = {one.entry.engine for one in pending.attempts}, []
        needed_mb = max(pending.memory_mb, pending.grant_mb)
        needs_tables = pending.spec.load or pending.spec.yields
        limit = self._load.thread_limits[pending.rank]
        is_short = pending.rank >= config.TOP_RANK and not pending.is_flag_accepted
        home_limit = min(limit, config.THREAD_LIMIT if is_short else config.HOME_LOAD)
        available = filter(Engine.is_available, self.preferred_engines(pending))
        usable = (engine for engine in available if self._attempts.may_take(pending, engine))
        for examined, engine in enumerate(islice(usable, config.MAX_EXAMINED), start=1):
            if self._outliers.needs_probe(engine, pending):
                if self._outliers.probe(engine):
                    return None, True
                self._outliers.suspect(engine, "silent to a probe")
                continue
            is_full = pending.is_flag_accepted and self._load.free_memory(engine) < needed_mb
            if is_full or (needs_tables and engine.has_load_of(pending.request.tables)):
                continue
            load, added = self._load.engine_load(engine), pending.spec.threads / engine.cores
            is_avoided = engine.health.on_probation and not (is_short and pending.is_repeatable())
            is_last = engine.entry.engine in tried or is_avoided
            if not is_last and load + added <= max(home_limit, 1.01 * added):
                return engine, False
            fits = load + added <= max(limit, 1.01 * added)
            if fits or (is_short and load < config.OVERFULL_LOAD):
                tier = self.context.zone_router.tier(pending.request.cls, engine.entry.zone)
                is_far = examined > config.HOME_ENGINES or not fits
                candidates.append((is_last, tier, is_far, load, engine.entry.engine))
        if self.context.settings.gateways > config.HOME_ENGINES and len(candidates) > 2:
            return self.context.engines[selection.better_of_two(self.context.random, candidates, 3)[4]], False
        return self.context.engines[min(candidates)[4]] if candidates else None, False

    def add(self, pending: PendingRequest) -> None:
        if len(self.waiting) >= config.MAX_KEPT:
            self._attempts.give_up(pending)
        else:
            self.waiting.append(pending)

    def serve(self, stall: float) -> None:
        self.waiting.sort(key=lambda pending: pending.queue_key)
        now, router = self.context.now, self.context.zone_router
        cores = self.context.ready_cores / self.context.settings.gateways
        work_rate = router.available_rate(now, cores) * config.BUSY_SHARE
        slowdowns = [min(max(one.run_time.slowdown.value, 1.0), 1.5) for one in self.context.classes]
        no_room_for: dict[tuple[int, float, int], float] = {}  # least work of its kind that found none
        kept, work_ahead, tries = [], 0.0, 0
        for pending in self.waiting:
            if pending.is_finished:
                continue
            engine, may_wait = None, True
            is_late = now > pending.final_answer_at(stall) or (pending.attempts and pending.is_spent(now))
            latest_end = pending.aim_at if pending.aim_at < pending.deadline else pending.deadline
            time_left = latest_end - pending.run_time * slowdowns[pending.request.cls] - now
            if tries < config.MAX_QUEUE_TRIES and not is_late and self._attempts.has_turn(pending):
                tries += 1
                engine, may_wait = self._route(pending, no_room_for)
            is_exempt = pending.rank >= config.TOP_RANK or pending.is_flag_accepted
            is_behind = not is_exempt and work_ahead > max(0.0, time_left) * work_rate  # would miss its aim
            is_hopeless = is_behind and not may_wait
            is_too_late = is_late or (time_left < 0 and not may_wait)
            if engine is not None:
                self._attempts.send(pending, engine)
            elif is_hopeless or router.is_saturated(now, pending.request.cls, pending.work) or is_too_late:
                self._attempts.give_up(pending)
            else:
                kept.append(pending)
                work_ahead += pending.work
        self.waiting = kept

    def _route(self, pending: PendingRequest, no_room_for: dict) -> tuple[Engine | None, bool]:
        is_plain = not pending.attempts and not pending.is_flag_accepted
        kind = (pending.request.cls, pending.request.tables, pending.rank)
        if is_plain and pending.work >= no_room_for.get(kind, inf):
            return None, False  # sends only fill engines
        route = self.route(pending)
        if is_plain and route == (None, False):
            no_room_for[kind] = pending.work
        return route
