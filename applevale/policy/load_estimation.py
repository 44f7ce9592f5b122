"""Estimates the load of engines from own attempts, load reports, and sends announced by peers."""

from .. import api, estimators
from . import config
from .model import Context, Engine


class LoadEstimator:
    """Estimates the loads of engines and of the fleet, and derives the limits on loads from them."""

    def __init__(self, context: Context):
        """Create an estimator without reports."""
        self._context = context
        self._fleet_peer_load = estimators.DecayingMean(config.REPORT_DECAY_SECONDS)
        self._fleet_peer_sends = estimators.DecayingMean(config.PEER_SEND_DECAY_SECONDS)
        self._own_threads = estimators.TimeWeightedMean(config.OWN_LOAD_DECAY_SECONDS)
        self._peer_load_by_engine: dict[int, float] = {}  # cached during a batch of events
        self.threads_per_query = estimators.DecayingMean(config.OWN_LOAD_DECAY_SECONDS)
        self.threads_in_flight = 0  # threads of own attempts
        self.thread_limits: list[float] = []  # limits on an engine's load, by the priority of the request

    def start_batch(self) -> None:
        """Begin a batch of events: drop cached loads and sample the load by this instance."""
        self._peer_load_by_engine.clear()
        self._own_threads.add(self._context.now, self.threads_in_flight)

    def update_thread_limits(self) -> None:
        """Set the limits by priority; those of low priorities fall as the fleet's load rises."""
        relative_load = config.LIMIT_RAMP_SLOPE * sum(self.fleet_load()) / config.THREAD_LIMIT
        pressure = min(max(relative_load - config.LIMIT_RAMP_OFFSET, 0.0), 1.0)
        pressures = (pressure, pressure, pressure, 1.0)  # one per priority; the top one's limit is constant
        limits = zip(config.PRIORITY_LOAD_FACTORS, pressures)
        self.thread_limits = [config.THREAD_LIMIT * (1 + (factor - 1) * weight) for factor, weight in limits]

    def fleet_load(self) -> tuple[float, float]:
        """Return the mean load of a core by this instance, and by all other instances."""
        now = self._context.now
        own_threads = self._own_threads.mean(now, config.SWEEP_INTERVAL_SECONDS)
        own_load = own_threads / self._context.ready_cores
        peer_count = self._context.settings.gateways - 1
        if not peer_count:
            return own_load, 0.0
        assumed_load = min(own_load * peer_count, config.MAX_ASSUMED_PEER_LOAD)
        return own_load, self._fleet_peer_load.mean(now, assumed_load, config.FLEET_LOAD_PRIOR_WEIGHT)

    def _estimate_peer_load(self, engine: Engine) -> float:
        if self._context.settings.gateways <= 1:
            return 0.0
        now = self._context.now
        engine.peer_sends.decay(now)
        unreported_load = engine.peer_sends.total - self._fleet_peer_sends.total / self._context.ready_cores
        _, fleet_peer_load = self.fleet_load()
        reported_load = engine.peer_load.mean(now, fleet_peer_load, config.ENGINE_PRIOR_WEIGHT)
        return max(0.0, reported_load + min(unreported_load, config.OVERFULL_LOAD))

    def engine_load(self, engine: Engine) -> float:
        """Return the load of an engine by all instances."""
        engine_id = engine.entry.engine_id
        if engine_id not in self._peer_load_by_engine:
            self._peer_load_by_engine[engine_id] = self._estimate_peer_load(engine)
        return engine.attempts.threads / engine.cores + self._peer_load_by_engine[engine_id]

    def free_memory(self, engine: Engine) -> float:
        """Return the memory (MB) of an engine that no instance uses; negative if it is overcommitted."""
        classes = self._context.classes
        memory_per_thread = sum(stats.memory.mean.value / stats.spec.threads for stats in classes)
        memory_per_thread /= len(classes)
        peer_threads = self._estimate_peer_load(engine) * engine.cores
        assumed_share = min(1.0, peer_threads * memory_per_thread / engine.memory_mb)
        peer_share = engine.peer_memory.mean(self._context.now, assumed_share, config.ENGINE_PRIOR_WEIGHT)
        return engine.memory_mb * (1 - peer_share) - engine.attempts.memory

    def on_peer_report(self, event: api.PeerLoadReport) -> None:
        """Add what a peer has sent to an engine, and the load report that the peer received from it."""
        if engine := self._context.engines.get(event.engine_id):
            engine.peer_sends.add(self._context.now, event.sent_threads / engine.cores)
            self._fleet_peer_sends.add(self._context.now, event.sent_threads)
            if event.load_report:
                self.apply_report(engine, event.load_report)

    def apply_report(self, engine: Engine, values: tuple[float, ...]) -> None:
        """Apply a load report of an engine, with its values in the order of the settings' columns."""
        now = self._context.now
        engine.reported_at = now
        readings = estimators.finite_readings(self._context.settings.report_columns, values)
        load = self._reported_load(engine, readings)
        if load is not None:
            own_load = engine.attempts.threads / engine.cores
            peer_load = min(max(0.0, load - own_load), config.OVERFULL_LOAD)
            engine.peer_load.add(now, peer_load)
            weight = 1 / len(self._context.engines) ** config.REPORT_WEIGHT_EXPONENT
            self._fleet_peer_load.add(now, peer_load, weight)
        if "memory_used" in readings:
            own_share = engine.attempts.memory / engine.memory_mb
            engine.peer_memory.add(now, max(0.0, min(readings["memory_used"], 1.0) - own_share))
        if readings.get("waiting", 0) >= 1:
            self._context.memory_pressure_at = now

    def _reported_load(self, engine: Engine, readings: dict[str, float]) -> float | None:
        """Return the load that a report shows; None if it shows none."""
        if "active" in readings:
            threads_per_query = self.threads_per_query.mean(
                self._context.now, config.THREADS_PER_QUERY_PRIOR, config.THREADS_PER_QUERY_PRIOR_WEIGHT
            )
            return readings["active"] * threads_per_query / engine.cores
        busy_shares = [readings[name] for name in ("cpu", "disk_busy") if name in readings]
        if not busy_shares:
            return None
        busy_share = min(max(busy_shares), 1.0)
        excess = max(0.0, busy_share - config.BUSY_SHARE)
        return busy_share * config.THREAD_LIMIT + excess * config.SATURATED_LOAD
