"""Executes the engine probes that the admission controller requests."""

from __future__ import annotations

from collections.abc import Callable

from .. import api
from ..engines.pool import EnginePool
from ..observability.counters import Counters
from .clock import UnixClock
from .decaying_duration import DecayingDuration


class EngineProber:
    """Probes engines and submits the results as events.

    Attributes:
        latency: Recent duration of successful probes.
    """

    def __init__(
        self,
        engine_pool: EnginePool,
        clock: UnixClock,
        submit: Callable[[api.ProbeResult], None],
        counters: Counters,
    ) -> None:
        """Create a prober for the engines of a pool; `submit` is called with each result."""
        self.latency = DecayingDuration()
        self._engine_pool = engine_pool
        self._clock = clock
        self._submit = submit
        self._counters = counters

    def probe(self, engine: int) -> None:
        """Probe an engine; the result is submitted later."""
        self._counters["probes"] += 1
        started_at = self._clock.now()

        def on_result(result: api.Result, report: tuple[float, ...]) -> None:
            duration = self._clock.now() - started_at
            self._record_latency(result, duration)
            self._submit(api.ProbeResult(engine, result, duration, report))

        self._engine_pool.probe(engine, on_result)

    def _record_latency(self, result: api.Result, duration: float) -> None:
        now = self._clock.latest
        if result is api.Result.OK and duration >= self.latency.decayed(now):
            self.latency.record(duration, now)
