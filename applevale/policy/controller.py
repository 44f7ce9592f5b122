"""The controller: events in, actions out. It passes each event on to the part that it is for."""

from dataclasses import replace
from math import inf

from .. import api, dispatching, rate_limits, stalls
from . import admission, attempts, config, load_estimation, outlier, scheduling
from .model import Context, Engine, PendingRequest

SWEEP_TIMER, SUBSCRIBE_TIMER = 0, 1  # tokens


class AdmissionController:
    """Decides on all requests of one instance, without sockets and clocks."""

    def __init__(self, settings: api.Settings, seed: int = 0, router: api.Router | None = None):
        context = self.context = Context(settings, seed, router or api.Router())
        self.engines, self.load = context.engines, load_estimation.LoadEstimator(context)
        self.outliers = outlier.OutlierDetector(context)
        self.admission = admission.Admission(context, self.load)
        self.attempts = attempts.AttemptManager(context, self.outliers, self.admission)
        self.scheduler = scheduling.Scheduler(context, self.attempts)
        self._stalls = stalls.StallDetector(config.SWEEP_INTERVAL, config.STALL_TOLERANCE, config.LONG_FADE)
        self._list_backoff = rate_limits.ExponentialBackoff(1.0, max(1.0, settings.ask_within / 2))
        self._is_subscribed = settings.discovery_push
        self._handlers = {
            api.FleetSize: self._on_fleet_size,
            api.EngineList: self._on_engine_list,
            api.PeerLoadReport: self.load.on_peer_report,
            api.Outcome: self._on_outcome,
            api.ProbeResult: self._on_probe_result,
            api.Started: self._on_started,
            api.Note: self.attempts.on_note,
            api.Request: self._on_request,
            api.ClientGone: self._on_client_gone,
            api.AnswerSent: self.attempts.on_answer_sent,
            api.Timer: self._on_timer,
        }

    def ejected_engines(self, now: float) -> set[int]:
        return {number for number, engine in self.engines.items() if engine.health.is_open(now)}

    def handle(self, now: float, events: list[api.Event] | tuple[api.Event, ...]) -> list[api.Action]:
        self.context.now, self.context.actions = now, []
        if not self._is_subscribed:
            self._on_timer(api.Timer(SUBSCRIBE_TIMER))
        if stall := self._stalls.check(now):  # of this instance: it is no one's silence
            for engine in self.engines.values():
                engine.probed_at += stall
                for attempt in engine.attempts.items:
                    attempt.running_since = min(now, attempt.running_since + stall)
        self.load.start_batch()
        dispatching.dispatch_by_type(self._handlers, events)
        if self.scheduler.waiting:
            self.load.start_pass()
            self.scheduler.serve(self._stalls.recent(now))
        if self.attempts.pending and self._stalls.set_timer(now):
            self.context.actions.append(api.SetTimer(config.SWEEP_INTERVAL, SWEEP_TIMER))
        return self.context.actions

    def _on_timer(self, event: api.Timer) -> None:
        if event.token == SUBSCRIBE_TIMER:
            self._is_subscribed = True
            self.context.actions.append(api.Subscribe())
        else:
            self._stalls.on_timer()
            self.attempts.sweep(self._stalls.recent(self.context.now))

    def _on_fleet_size(self, event: api.FleetSize) -> None:
        self.context.settings = replace(self.context.settings, gateways=event.gateways)

    def _on_engine_list(self, event: api.EngineList) -> None:
        context = self.context
        if event.failed:  # ask again with backoff: the list service may be what is overloaded
            delay = self._list_backoff.advance() * (0.5 + context.random.random())
            context.actions.append(api.SetTimer(delay, SUBSCRIBE_TIMER))
            return
        self._list_backoff.reset()
        entries = {entry.engine: entry for entry in event.entries}
        if event.whole:
            left = [engine.entry for number, engine in self.engines.items() if number not in entries]
            entries |= {entry.engine: replace(entry, state=api.State.GONE) for entry in left}
        for entry in entries.values():
            self._apply_entry(entry, context.random.random() * context.request_density.mean_cost.value)
        self.scheduler.orders.clear()
        ready = [(engine.entry, engine.cores) for engine in context.ready_engines()]
        context.ready_cores = sum(cores for _, cores in ready) or 1.0
        context.zone_router.on_engine_list(context.now, ready)

    def _apply_entry(self, entry: api.EngineEntry, cold_debt: float) -> None:
        engine = self.engines.get(entry.engine)
        if entry.state is api.State.GONE and not (engine and engine.attempts.items):
            self.engines.pop(entry.engine, None)
        elif engine is None:
            self.engines[entry.engine] = Engine(entry, self.context, cold_debt)
        elif entry.started > engine.entry.started:
            engine.start(entry, cold_debt)
        else:
            engine.entry = entry

    def _on_request(self, request: api.Request) -> None:
        if request.request in self.attempts.pending or not 0 <= request.cls < len(self.context.classes):
            return
        pending = PendingRequest(request, self.context, self.admission.worth_factor(request.tenant))
        self.attempts.add(pending)
        self.outliers.earn_probes()
        if request.order_unknown:  # sent or not, it could break the order; refused it cannot
            self.attempts.give_up(pending)
        else:
            self.admission.flag(pending, self.scheduler.preferred_engines(pending))
            self.scheduler.add(pending)  # which is served at the end of the batch

    def _on_outcome(self, event: api.Outcome) -> None:
        if pending := self.attempts.on_outcome(event):
            self.scheduler.add(pending)

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        if engine := self.engines.get(event.engine):
            engine.probed_at = inf
            self.context.zone_router.on_result(self.context.now, engine.entry, event.result)
            if event.result in (api.Result.OK, api.Result.FULL):  # full: too many probes there, no fault
                self.load.take_report(engine, event.report)
            elif self.outliers.is_bad_sign(engine, event.result):
                self.outliers.suspect(engine, f"probe: {event.result.value}")

    def _on_started(self, event: api.Started) -> None:
        if pending := self.attempts.pending.get(event.request):
            pending.is_streaming = True

    def _on_client_gone(self, event: api.ClientGone) -> None:
        if pending := self.attempts.pending.get(event.request):
            self.attempts.finish(pending)
