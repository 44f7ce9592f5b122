"""Attempts of requests: the rules of each, sending, results, cancellation, and the final answer."""

from .. import api, containers, rate_limits
from . import config
from .admission import Admission
from .model import Attempt, Context, Engine, PendingRequest
from .outlier import OutlierDetector


class AttemptManager:
    """Owns the requests that have not ended; `may_go` and `may_take` alone check the rules of a send."""

    def __init__(self, context: Context, outliers: OutlierDetector, admission: Admission):
        self.context, self.outliers, self._admission, self.load = context, outliers, admission, admission.load
        rules = context.settings
        self.budget = rate_limits.RatioBudget(rules.budget_span, rules.budget_share, rules.budget_free)
        self._min_overdue = config.MIN_OVERDUE_SHARE * min(spec.aim for spec in rules.classes)
        self._delivery_time, self.pending = 0.0, {}  # of answers, as announced last; requests by id
        self.key_queues = containers.SerialQueues(lambda one: one.is_finished and not one.in_flight)

    def add(self, pending: PendingRequest) -> None:
        self.pending[pending.request.request] = pending
        self.budget.record_ordinary(self.context.now)
        if pending.spec.ordered and pending.request.key:
            self.key_queues.append(pending.request.key, pending)

    def has_turn(self, pending: PendingRequest) -> bool:
        key, now = pending.request.key, self.context.now
        return not (pending.spec.ordered and key) or self.key_queues.has_turn(key, pending, now)

    def may_go(self, pending: PendingRequest) -> bool:
        """The rules that do not depend on the engine, for first attempts, retries and copies alike."""
        settings, now = self.context.settings, self.context.now
        is_ended = pending.is_finished or pending.is_streaming or now >= pending.deadline
        has_try = len(pending.attempts) < settings.try_limit and pending.in_flight <= settings.parallel_tries
        is_open = not is_ended and has_try and not pending.is_spent(now) and self.has_turn(pending)
        return is_open and (not pending.attempts or self.budget.allows_extra(self.context.now))

    def may_take(self, pending: PendingRequest, engine: Engine) -> bool:
        """The rules that do; the cold budget last, as it is worked out at each look."""
        spec, entry, now = pending.spec, engine.entry, self.context.now
        is_bound = spec.repeat is api.Repeat.KEYED and spec.group != "all"
        first = pending.first_executed() if is_bound else None
        is_in_group = first is None or getattr(first.entry, spec.group) == getattr(entry, spec.group)
        if entry.state is not api.State.READY or not pending.allows(entry) or not is_in_group:
            return False
        zone_may = self.context.zone_router.may_take(now, pending.request.cls, entry.zone, pending.work)
        return zone_may and engine.cold_budget_allows(pending.work, now)

    def _may_retry(self, pending: PendingRequest) -> bool:
        return pending.is_repeatable() and len(pending.attempts) < self.context.settings.try_limit

    def send(self, pending: PendingRequest, engine: Engine) -> None:
        context, settings, number = self.context, self.context.settings, pending.request.request
        if settings.ranks_heeded or settings.memory_heeded:
            priority = max(pending.rank, config.LOAD_PRIORITY) if pending.spec.load else pending.rank
            memory_mb = pending.grant_mb if settings.memory_heeded else 0.0
            context.actions.append(api.Terms(number, priority, memory_mb))
        if pending.attempts:
            self.budget.record_extra(context.now)
        attempt = Attempt(pending, engine)
        pending.attempts.append(attempt)
        pending.in_flight += 1
        engine.attempts.add(attempt, pending.spec.threads, attempt.granted_mb)
        engine.cold_budget.level -= pending.work
        context.zone_router.on_send(context.now, engine.entry.zone, pending.work)
        self.load.threads_in_flight += pending.spec.threads
        is_limited = self._may_retry(pending) and not settings.may_cancel
        timeout = min(2 * self.overdue_after(attempt), pending.deadline - context.now) if is_limited else 0.0
        is_fleet_full = self.load.thread_limits[0] < config.THREAD_LIMIT
        announce = is_fleet_full and self.load.engine_load(engine) < sum(self.load.fleet_load())
        context.actions.append(api.Send(number, engine.entry.engine, timeout, announce))

    def _attempt_of(self, event: api.Outcome | api.Note) -> Attempt | None:
        attempts = self.pending[event.request].attempts if event.request in self.pending else ()
        return next((one for one in attempts if one.index == event.attempt and not one.result), None)

    def on_outcome(self, event: api.Outcome) -> PendingRequest | None:
        if (attempt := self._attempt_of(event)) is None:
            return None
        pending, settings, now = attempt.pending, self.context.settings, self.context.now
        attempt.result = event.result
        pending.in_flight -= 1
        self.load.threads_in_flight -= pending.spec.threads
        self.context.zone_router.on_result(now, attempt.entry, event.result)
        engine = self.context.engines.get(attempt.entry.engine)
        if engine and engine.attempts.remove(attempt, pending.spec.threads, attempt.granted_mb):
            self._learn(engine, attempt, event)
        if pending.spec.ordered and event.result in api.MAY_RUN_ON:
            self.key_queues.pause(pending.request.key, now + settings.order_pause)
        if event.final or event.result is api.Result.OK:
            self.finish(pending)
        elif pending.is_finished:
            self._forget_if_ended(pending)
        elif not pending.in_flight:
            errors = sum(one.result is api.Result.ERROR for one in pending.attempts)  # none can use it
            is_stuck = errors >= config.MAX_ENGINE_ERRORS or pending.is_spent(now) or pending.is_streaming
            if not is_stuck and len(pending.attempts) < settings.try_limit:
                return pending
            self.give_up(pending)
        return None

    def _learn(self, engine: Engine, attempt: Attempt, event: api.Outcome) -> None:
        if event.report:
            self.load.take_report(engine, event.report)
        self.outliers.judge(engine, attempt, event.result)
        if event.result is api.Result.OK:
            run_time = self.context.now - attempt.running_since
            met_trouble = attempt.pending.stats.learn(attempt, event, run_time)
            self.load.threads_per_query.add(self.context.now, attempt.pending.spec.threads, run_time)
            self._admission.learn(attempt.pending, engine, met_trouble)
        if engine.entry.state is api.State.GONE and not engine.attempts.items:
            del self.context.engines[engine.entry.engine]

    def on_note(self, event: api.Note) -> None:
        attempt = self._attempt_of(event)
        is_short = event.kind is api.NoteKind.SPILLS or (event.kind, event.value) == (api.NoteKind.WAITS, 1)
        if attempt and is_short:
            attempt.met_memory_trouble = True
            self.context.memory_trouble_at = self.context.now
        elif attempt and event.kind is api.NoteKind.PROGRESS and event.value > 0.001:
            limit = max(self._min_overdue, config.OVERRUN * attempt.pending.expected_run_time())
            if (self.context.now - attempt.running_since) / event.value > limit:
                self._cancel_to_retry(attempt)

    def on_answer_sent(self, event: api.AnswerSent) -> None:
        self.key_queues.pause(event.key, self.context.now + event.delivery_time)
        self._delivery_time = event.delivery_time
        if pending := self.pending.get(event.request):  # an attempt of it has not ended yet
            pending.is_answered = True
        else:
            self.key_queues.blocks.discard(event.key, event.request)

    def sweep(self, stall: float) -> None:
        for pending in list(self.pending.values()):
            if self.context.now > pending.final_answer_at(stall) and not pending.is_streaming:
                self.give_up(pending)
            for attempt in pending.attempts:
                self._check_overdue(attempt)
        for late in self.key_queues.blocking_items(self.context.now, self._forecast_turn):
            self.give_up(late)

    def _forecast_turn(self, pending: PendingRequest) -> containers.TurnForecast | None:
        if pending.is_finished:
            return None
        running_for = self.context.now - pending.attempts[-1].running_since if pending.in_flight else None
        run_time = pending.expected_run_time()
        duration, needed = run_time + self._delivery_time, config.KEY_RUNS_LEFT * run_time
        return containers.TurnForecast(duration, needed, pending.deadline, running_for)

    def overdue_after(self, attempt: Attempt) -> float:
        factor = 2**attempt.index * attempt.pending.stats.run_time.spread(config.SCATTER)
        return max(self._min_overdue, config.OVERRUN * factor * attempt.pending.expected_run_time())

    def _check_overdue(self, attempt: Attempt) -> None:
        pending, now = attempt.pending, self.context.now
        if attempt.result is not None or now - attempt.running_since <= self.overdue_after(attempt):
            return
        engine = self.context.engines.get(attempt.entry.engine)
        self._cancel_to_retry(attempt)
        others_wait = pending.spec.ordered and self.key_queues.length(pending.request.key) > 1
        if others_wait and now > pending.aim_at:
            self.give_up(pending)  # guards those behind it against an answer that never comes
        is_silent = engine and max(engine.succeeded_at, engine.reported_at) <= attempt.sent_at
        if is_silent and not self.outliers.probe(engine):
            self.outliers.suspect(engine, "silent")

    def _cancel_to_retry(self, attempt: Attempt) -> None:
        has_time = attempt.pending.deadline - self.context.now >= attempt.pending.expected_run_time()
        if has_time and self._may_retry(attempt.pending) and self.budget.allows_extra(self.context.now):
            self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        if self.context.settings.may_cancel and not attempt.is_cancelled and not attempt.result:
            attempt.is_cancelled = True
            self.context.actions.append(api.Cancel(attempt.pending.request.request, attempt.index))

    def give_up(self, pending: PendingRequest) -> None:
        if pending.is_finished:
            return
        settings, spec, action = self.context.settings, pending.spec, api.Fail(pending.request.request)
        drops_repeats = spec.repeat is api.Repeat.KEYED and spec.group == "all"
        if drops_repeats or spec.repeat is api.Repeat.SAFE or not pending.first_executed():
            hint = self.context.random.uniform(config.MIN_RETRY_AFTER, config.MAX_RETRY_AFTER)
            retry_after = min(hint, settings.max_retry_after) if settings.retry_after else 0.0
            action = api.Reject(pending.request.request, retry_after)
        self.context.actions.append(action)
        self.finish(pending)

    def finish(self, pending: PendingRequest) -> None:
        pending.is_finished = True
        for attempt in () if pending.is_streaming else pending.attempts:
            self._cancel(attempt)
        self._forget_if_ended(pending)

    def _forget_if_ended(self, pending: PendingRequest) -> None:
        if pending.in_flight:
            return
        self.pending.pop(pending.request.request, None)
        pending.attempts.clear()  # they lead back to it: a cycle would wait for the collector
        key, gap = pending.request.key, self.context.settings.order_gap
        if pending.spec.ordered and key and gap:
            # The next of its key waits until this one's answer is out: in the same batch, it overtook that.
            blocker = None if pending.is_answered else pending.request.request
            self.key_queues.pause(key, self.context.now + gap, blocker)
        self.key_queues.drop_ended(key)
