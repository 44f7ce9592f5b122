"""How loaded engines are: the own attempts, and the peers' as load reports show them."""

from .. import api, estimators
from . import config
from .model import Context, Engine


class LoadEstimator:
    """Loads of engines and of the whole fleet, in threads per core, and the limits that follow from them."""

    def __init__(self, context: Context):
        self.context = context
        self._peer_load = estimators.DecayingMean(config.WINDOW)  # over all engines
        self._peer_sends = estimators.DecayingMean(config.SEND_FADE)  # threads
        self._own_threads = estimators.TimeWeightedMean(config.LONG_FADE)
        self.threads_per_query = estimators.DecayingMean(config.LONG_FADE)
        self._peer_load_by_engine: dict[int, float] = {}  # in this batch
        self.threads_in_flight, self.thread_limits = 0, []  # the latter by rank, in this pass over the queue

    def start_batch(self) -> None:
        self._peer_load_by_engine.clear()
        self._own_threads.add(self.context.now, self.threads_in_flight)

    def start_pass(self) -> None:
        pressure = min(max(3 * sum(self.fleet_load()) / config.THREAD_LIMIT - 1.5, 0.0), 1.0)
        limits = zip(config.RANK_LIMITS, (pressure, pressure, pressure, 1.0))
        self.thread_limits = [config.THREAD_LIMIT * (1 + (limit - 1) * each) for limit, each in limits]

    def fleet_load(self) -> tuple[float, float]:
        own = self._own_threads.mean(self.context.now, config.SWEEP_INTERVAL) / self.context.ready_cores
        peers = self.context.settings.gateways - 1
        guess = min(own * peers, config.HOME_LOAD)
        return own, self._peer_load.mean(self.context.now, guess, 0.5) if peers else 0.0

    def _peer_load_on(self, engine: Engine) -> float:
        if self.context.settings.gateways <= 1:
            return 0.0
        engine.peer_sends.decay(self.context.now)
        unseen = engine.peer_sends.total - self._peer_sends.total / self.context.ready_cores
        reported = engine.peer_load.mean(self.context.now, self.fleet_load()[1], 0.3)
        return max(0.0, reported + min(unseen, config.OVERFULL_LOAD))

    def engine_load(self, engine: Engine) -> float:
        number = engine.entry.engine
        if number not in self._peer_load_by_engine:
            self._peer_load_by_engine[number] = self._peer_load_on(engine)
        return engine.attempts.threads / engine.cores + self._peer_load_by_engine[number]

    def free_memory(self, engine: Engine) -> float:
        classes = self.context.classes
        per_thread = sum(one.memory.mean.value / one.spec.threads for one in classes) / len(classes)
        guess = min(1.0, self._peer_load_on(engine) * engine.cores * per_thread / engine.memory_mb)
        peer_share = engine.peer_memory.mean(self.context.now, guess, 0.3)
        return engine.memory_mb * (1 - peer_share) - engine.attempts.memory

    def on_peer_report(self, event: api.PeerLoadReport) -> None:
        if engine := self.context.engines.get(event.engine):
            engine.peer_sends.add(self.context.now, event.threads / engine.cores)
            self._peer_sends.add(self.context.now, event.threads)
            if event.report:
                self.take_report(engine, event.report)

    def take_report(self, engine: Engine, values: tuple[float, ...]) -> None:
        now = engine.reported_at = self.context.now
        reported = estimators.finite_readings(self.context.settings.report_columns, values)
        if (load := self._reported_load(engine, reported)) is not None:
            peer_load = min(max(0.0, load - engine.attempts.threads / engine.cores), config.OVERFULL_LOAD)
            engine.peer_load.add(now, peer_load)
            self._peer_load.add(now, peer_load, 1 / len(self.context.engines) ** 0.5)
        if "memory_used" in reported:
            share = min(reported["memory_used"], 1.0) - engine.attempts.memory / engine.memory_mb
            engine.peer_memory.add(now, max(0.0, share))
        if reported.get("waiting", 0) >= 1:
            self.context.memory_trouble_at = now

    def _reported_load(self, engine: Engine, reported: dict[str, float]) -> float | None:
        if "active" in reported:
            threads_each = self.threads_per_query.mean(self.context.now, 1.5, 1.0)
            return reported["active"] * threads_each / engine.cores
        shares = [reported[name] for name in ("cpu", "disk_busy") if name in reported]
        busy = min(max(shares, default=0.0), 1.0)
        load = busy * config.THREAD_LIMIT + max(0.0, busy - config.BUSY_SHARE) * config.SATURATED_LOAD
        return load if shares else None
