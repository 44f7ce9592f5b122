"""The controller: takes batches of events, passes each event to its handler, and returns the actions."""

from collections.abc import Sequence
from dataclasses import replace
from math import inf

from .. import api, dispatching, rate_limits, stalls
from . import admission, attempts, config, load_estimation, outlier, scheduling
from .model import Context, Engine, PendingRequest


class AdmissionController:
    """Decides on all requests of one instance, without access to sockets or clocks."""

    def __init__(self, settings: api.Settings, seed: int = 0, router: api.Router | None = None):
        """Create a controller that knows no engine; without a router, all zones are treated alike."""
        self.context = Context(settings, seed, router or api.Router())
        self.engines = self.context.engines
        self.load = load_estimation.LoadEstimator(self.context)
        self.outliers = outlier.OutlierDetector(self.context)
        self.admission = admission.Admission(self.context, self.load)
        self.attempts = attempts.AttemptManager(self.context, self.outliers, self.admission, self.load)
        self.scheduler = scheduling.Scheduler(self.context, self.attempts, self.load, self.outliers)
        self._stalls = stalls.StallDetector(
            config.SWEEP_INTERVAL_SECONDS, config.STALL_TOLERANCE_SECONDS, config.STALL_DECAY_SECONDS
        )
        min_delay = config.MIN_SUBSCRIBE_DELAY_SECONDS
        max_delay = max(min_delay, settings.ask_within / config.SUBSCRIBE_DELAY_DIVISOR)
        self._subscribe_backoff = rate_limits.ExponentialBackoff(min_delay, max_delay)
        self._is_subscribed = settings.discovery_push
        self._handlers = {  # the events of a batch are handled in this order
            api.FleetSize: self._on_fleet_size,
            api.EngineList: self._on_engine_list,
            api.PeerLoadReport: self.load.on_peer_report,
            api.AttemptOutcome: self._on_outcome,
            api.ProbeResult: self._on_probe_result,
            api.StreamStarted: self._on_stream_started,
            api.AttemptUpdate: self.attempts.on_attempt_update,
            api.Request: self._on_request,
            api.ClientGone: self._on_client_gone,
            api.ResponseSent: self.attempts.on_response_sent,
            api.TimerFired: self._on_timer,
        }

    def ejected_engines(self, now: float) -> set[int]:
        """Return the ids of the engines that are ejected now."""
        return {engine_id for engine_id, engine in self.engines.items() if engine.health.is_open(now)}

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Handle the events since the last batch; return the actions to carry out, in their order."""
        self.context.now = now
        self.context.actions = []
        if not self._is_subscribed:
            self._subscribe()
        if stall := self._stalls.check(now):
            self._discount_stall(stall)
        self.load.start_batch()
        dispatching.dispatch_by_type(self._handlers, events)
        if self.scheduler.waiting:
            self.load.update_thread_limits()
            self.scheduler.serve_queue(self._stalls.recent(now))
        if self.attempts.pending and self._stalls.set_timer(now):
            self.context.actions.append(api.SetTimer(config.SWEEP_INTERVAL_SECONDS, config.SWEEP_TIMER_TOKEN))
        return self.context.actions

    def _discount_stall(self, stall: float) -> None:
        """Shift start times by a stall (s) of this instance, which must not count as silence of engines."""
        for engine in self.engines.values():
            engine.probed_at += stall
            for attempt in engine.attempts.items:
                attempt.running_since = min(self.context.now, attempt.running_since + stall)

    def _subscribe(self) -> None:
        self._is_subscribed = True
        self.context.actions.append(api.SubscribeToEngineList())

    def _on_timer(self, event: api.TimerFired) -> None:
        if event.token == config.SUBSCRIBE_TIMER_TOKEN:
            self._subscribe()
        else:
            self._stalls.on_timer()
            self.attempts.sweep(self._stalls.recent(self.context.now))

    def _on_fleet_size(self, event: api.FleetSize) -> None:
        self.context.settings = replace(self.context.settings, gateways=event.instance_count)

    def _on_engine_list(self, event: api.EngineList) -> None:
        context = self.context
        if event.has_failed:  # the list service may be overloaded, so retries back off
            jitter = config.MIN_SUBSCRIBE_JITTER + context.random.random()
            delay = self._subscribe_backoff.advance() * jitter
            context.actions.append(api.SetTimer(delay, config.SUBSCRIBE_TIMER_TOKEN))
            return
        self._subscribe_backoff.reset()
        entries = {entry.engine_id: entry for entry in event.entries}
        if event.is_full:
            missing = [engine.entry for engine_id, engine in self.engines.items() if engine_id not in entries]
            entries |= {entry.engine_id: replace(entry, state=api.EngineState.GONE) for entry in missing}
        for entry in entries.values():
            # All instances learn of a new engine at the same time; random debts spread their first requests.
            initial_debt = context.random.random() * context.value_density.mean_cost.value
            self._apply_entry(entry, initial_debt)
        self.scheduler.engine_orders.clear()
        ready = [(engine.entry, engine.cores) for engine in context.ready_engines()]
        context.ready_cores = sum(cores for _, cores in ready) or 1.0
        context.zone_router.on_engine_list(context.now, ready)

    def _apply_entry(self, entry: api.EngineEntry, initial_debt: float) -> None:
        engine = self.engines.get(entry.engine_id)
        if entry.state is api.EngineState.GONE and not (engine and engine.attempts.items):
            self.engines.pop(entry.engine_id, None)
        elif engine is None:
            self.engines[entry.engine_id] = Engine(entry, self.context, initial_debt)
        elif entry.started_at > engine.entry.started_at:
            engine.reset(entry, initial_debt)
        else:
            engine.entry = entry

    def _on_request(self, request: api.Request) -> None:
        is_known = request.request_id in self.attempts.pending
        if is_known or not 0 <= request.class_index < len(self.context.classes):
            return
        pending = PendingRequest(request, self.context, self.admission.value_factor(request.tenant_index))
        self.attempts.register(pending)
        self.outliers.add_probe_budget()
        if request.is_order_unknown:  # executing it could violate the order of its key
            self.attempts.reject_or_fail(pending)
            return
        self.admission.assess_memory_risk(pending, self.scheduler.engines_by_preference(pending))
        self.scheduler.enqueue(pending)

    def _on_outcome(self, event: api.AttemptOutcome) -> None:
        if pending := self.attempts.on_outcome(event):
            self.scheduler.enqueue(pending)

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        engine = self.engines.get(event.engine_id)
        if engine is None:
            return
        engine.probed_at = inf
        self.context.zone_router.on_result(self.context.now, engine.entry, event.result)
        # An engine rejects a probe if it gets too many, which is no failure.
        if event.result in (api.Result.OK, api.Result.REJECTED):
            self.load.apply_report(engine, event.load_report)
        elif self.outliers.record_failure(engine, event.result):
            self.outliers.eject(engine, f"probe: {event.result.value}")

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        if pending := self.attempts.pending.get(event.request_id):
            pending.is_streaming = True

    def _on_client_gone(self, event: api.ClientGone) -> None:
        if pending := self.attempts.pending.get(event.request_id):
            self.attempts.finish(pending)
