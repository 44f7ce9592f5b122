"""Outlier detection: probes engines, and ejects those that fail."""

from .. import api
from . import config
from .model import Attempt, Context, Engine, PendingRequest


class OutlierDetector:
    """Ejects failing engines, and probes engines before they get a request, within a budget."""

    def __init__(self, context: Context):
        """Create a detector with a full probe budget."""
        self._context = context
        settings = context.settings
        self._only_probes_report = settings.gateways > 1 and settings.load_report_mode == "probe"
        max_cost = config.PROBE_COST_SHARE_NO_REPORTS if self._only_probes_report else config.PROBE_COST_SHARE
        affordable_probes = max_cost / max(settings.probe_price, config.MIN_PROBE_COST)
        self._probes_per_request = min(config.PROBES_PER_REQUEST, affordable_probes)
        self._probe_budget = config.MAX_PROBE_BUDGET
        self.probes_before_send = settings.gateways > 1 and self._probes_per_request >= 1

    def add_probe_budget(self) -> None:
        """Increase the probe budget for a new request."""
        self._probe_budget = min(self._probe_budget + self._probes_per_request, config.MAX_PROBE_BUDGET)

    def needs_probe(self, engine: Engine, pending: PendingRequest) -> bool:
        """Return whether an engine should be probed before it gets a request, and the budget allows it."""
        context = self._context
        is_long = self._only_probes_report and pending.work >= context.value_density.mean_cost.value
        is_wanted = engine.health.on_probation or self.probes_before_send or is_long
        is_affordable = self._probe_budget >= 1 or engine.probed_at <= context.now
        is_report_old = context.now - engine.reported_at > config.REPORT_FRESH_SECONDS
        return context.settings.may_probe and is_wanted and is_affordable and is_report_old

    def probe(self, engine: Engine) -> bool:
        """Probe an engine unless a probe is in flight; return whether its answer can still arrive in time."""
        now = self._context.now
        is_in_flight = engine.probed_at <= now <= engine.probed_at + config.PROBE_LOST_SECONDS
        if not is_in_flight and self._context.settings.may_probe:
            engine.probed_at = now
            self._probe_budget -= 1
            self._context.actions.append(api.Probe(engine.entry.engine_id))
        return engine.probed_at <= now <= engine.probed_at + config.PROBE_WAIT_SECONDS

    def on_attempt_result(self, engine: Engine, attempt: Attempt, result: api.Result) -> None:
        """Update the health of an engine by the result of an attempt on it."""
        now = self._context.now
        if result is api.Result.OK:
            engine.succeeded_at = now
            engine.health.record_success()
        elif result is api.Result.REJECTED:  # caused by all instances, so not a failure of the engine
            engine.reported_at = now
            engine.peer_load.add(now, config.OVERFULL_LOAD)
        elif result is api.Result.CONNECT_FAILED:
            self.eject(engine, result.value)
        elif result in (api.Result.ERROR, api.Result.RESET):
            should_eject = self.record_failure(engine, result)
            attempts = attempt.pending.attempts
            errors = [other for other in attempts if other.result is api.Result.ERROR]
            if result is api.Result.ERROR and errors[0].index < attempts[-1].index:
                self._revoke_ejection(errors[0])  # if two engines return errors, the request is the cause
            elif should_eject:
                self.eject(engine, result.value)
                attempt.caused_ejection = True

    def record_failure(self, engine: Engine, result: api.Result) -> bool:
        """Record a failure of an engine; return whether it is a reason to eject the engine."""
        is_conclusive = result is not api.Result.RESET
        return engine.health.record_failure(is_conclusive, config.MAX_CONSECUTIVE_RESETS)

    def _revoke_ejection(self, attempt: Attempt) -> None:
        engine = self._context.engines.get(attempt.entry.engine_id)
        if engine and attempt.caused_ejection and engine.health.consecutive_failures <= 1:
            engine.health.close()

    def eject(self, engine: Engine, reason: str) -> None:
        """Put an engine on probation until its next success, and eject it unless too many are ejected."""
        now = self._context.now
        engine.health.on_probation = True
        ejected = [ready.health.is_open(now) for ready in self._context.ready_engines()]
        may_eject = sum(ejected) < int(len(ejected) * config.MAX_EJECTED_SHARE)
        if may_eject and not engine.health.is_open(now):
            is_first_ejection = engine.health.open(now)
            if is_first_ejection:
                self._context.actions.append(api.Log(f"engine {engine.entry.engine_id} is ejected: {reason}"))
