"""The health of engines: probes, and ejection at bad signs."""

from .. import api
from . import config
from .model import Attempt, Context, Engine, PendingRequest


class OutlierDetector:
    """Ejects engines at bad signs; probes some before they get a request, within a budget."""

    def __init__(self, context: Context):
        self.context, settings = context, context.settings
        self._only_probes_report = settings.gateways > 1 and settings.report_how == "probe"
        cost_share = config.PROBE_COST_SHARE_ONLY if self._only_probes_report else config.PROBE_COST_SHARE
        self._probe_rate = min(config.PROBES_PER_REQUEST, cost_share / max(settings.probe_price, 1e-9))
        self._probe_budget = config.MAX_PROBES
        self.probes_before_send = settings.gateways > 1 and self._probe_rate >= 1  # each request can pay

    def earn_probes(self) -> None:
        self._probe_budget = min(self._probe_budget + self._probe_rate, config.MAX_PROBES)

    def needs_probe(self, engine: Engine, pending: PendingRequest) -> bool:
        is_long = self._only_probes_report and pending.work >= self.context.request_density.mean_cost.value
        is_wanted = engine.health.on_probation or self.probes_before_send or is_long
        is_affordable = self._probe_budget >= 1 or engine.probed_at <= self.context.now
        is_stale = self.context.now - engine.reported_at > config.REPORT_FRESH
        return self.context.settings.may_probe and is_wanted and is_affordable and is_stale

    def probe(self, engine: Engine) -> bool:
        now = self.context.now
        is_lost = not engine.probed_at <= now <= engine.probed_at + config.EJECTION_TIME
        if is_lost and self.context.settings.may_probe:
            engine.probed_at = now
            self._probe_budget -= 1
            self.context.actions.append(api.Probe(engine.entry.engine))
        return engine.probed_at <= now <= engine.probed_at + config.PROBE_WAIT

    def judge(self, engine: Engine, attempt: Attempt, result: api.Result) -> None:
        if result is api.Result.OK:
            engine.succeeded_at = self.context.now
            engine.health.record_success()
        elif result is api.Result.FULL:  # overfull by all instances together: no fault of its own
            engine.reported_at = self.context.now
            engine.peer_load.add(self.context.now, config.OVERFULL_LOAD)
        elif result is api.Result.CONNECT_FAILED:
            self.suspect(engine, result.value)
        elif result in (api.Result.ERROR, api.Result.RESET):
            is_bad = self.is_bad_sign(engine, result)
            errors = [one for one in attempt.pending.attempts if one.result is api.Result.ERROR]
            if result is api.Result.ERROR and errors[0].index < attempt.pending.attempts[-1].index:
                self._pardon(errors[0])  # no engine can use this request: that says nothing of them
            elif is_bad:
                self.suspect(engine, result.value)
                attempt.caused_ejection = True

    def is_bad_sign(self, engine: Engine, result: api.Result) -> bool:
        return engine.health.record_failure(result is not api.Result.RESET, config.MAX_FAILURES)

    def _pardon(self, attempt: Attempt) -> None:
        engine = self.context.engines.get(attempt.entry.engine)
        if engine and attempt.caused_ejection and engine.health.consecutive_failures <= 1:
            engine.health.close()

    def suspect(self, engine: Engine, reason: str) -> None:
        """Eject an engine, unless too many are, and put it on probation: last choice until an answer."""
        engine.health.on_probation, now = True, self.context.now
        ejected = [one.health.is_open(now) for one in self.context.ready_engines()]
        may_eject = sum(ejected) < int(len(ejected) * config.MAX_EJECTED_SHARE)
        if may_eject and not engine.health.is_open(now) and engine.health.open(now):
            self.context.actions.append(api.Log(f"engine {engine.entry.engine} rests: {reason}"))
