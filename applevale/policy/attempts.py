"""Attempts of requests: the rules that allow them, their results and cancellation, and final answers."""

from .. import api, containers, rate_limits
from . import config
from .admission import Admission
from .load_estimation import LoadEstimator
from .model import Attempt, Context, Engine, PendingRequest
from .outlier import OutlierDetector


class AttemptManager:
    """Owns the requests that have not ended; `may_attempt` and `can_run_on` check all rules for attempts."""

    def __init__(
        self, context: Context, outliers: OutlierDetector, admission: Admission, load: LoadEstimator
    ):
        """Create a manager without requests."""
        self._context = context
        self._outliers = outliers
        self._admission = admission
        self._load = load
        settings = context.settings
        self._retry_budget = rate_limits.RatioBudget(
            settings.budget_span, settings.budget_share, settings.budget_free
        )
        shortest_target = min(spec.aim for spec in settings.classes)
        self._min_overdue_time = config.MIN_OVERDUE_TARGET_SHARE * shortest_target
        self._delivery_time = 0.0  # time from the end of the last answered request to its delivery
        self.pending: dict[int, PendingRequest] = {}  # requests by id
        # Requests of ordered classes, by order key.
        self.key_queues = containers.SerialQueues(lambda item: item.is_finished and not item.in_flight)

    def register(self, pending: PendingRequest) -> None:
        """Add a new request."""
        self.pending[pending.request.request_id] = pending
        self._retry_budget.record_ordinary(self._context.now)
        if pending.spec.is_ordered and pending.request.order_key:
            self.key_queues.append(pending.request.order_key, pending)

    def has_turn(self, pending: PendingRequest) -> bool:
        """Return whether a request need not wait for an earlier one with its order key."""
        has_order = pending.spec.is_ordered and pending.request.order_key
        return not has_order or self.key_queues.has_turn(
            pending.request.order_key, pending, self._context.now
        )

    def may_attempt(self, pending: PendingRequest) -> bool:
        """Return whether the rules that do not depend on the engine allow another attempt now."""
        settings = self._context.settings
        now = self._context.now
        if pending.is_finished or pending.is_streaming or now >= pending.deadline:
            return False
        max_in_flight = 1 if settings.allows_parallel_attempts else 0
        if len(pending.attempts) >= settings.try_limit or pending.in_flight > max_in_flight:
            return False
        if pending.is_repeat_forbidden(now) or not self.has_turn(pending):
            return False
        return not pending.attempts or self._retry_budget.allows_extra(now)

    def can_run_on(self, pending: PendingRequest, engine: Engine) -> bool:
        """Return whether the rules that depend on the engine allow an attempt on it."""
        spec = pending.spec
        entry = engine.entry
        if entry.state is not api.EngineState.READY or not pending.allows(entry):
            return False
        has_repeat_group = spec.repeat is api.RepeatPolicy.KEYED and spec.repeat_group != "all"
        first = pending.first_executed() if has_repeat_group else None
        if first is not None and getattr(first.entry, spec.repeat_group) != getattr(entry, spec.repeat_group):
            return False
        now = self._context.now
        is_zone_open = self._context.zone_router.can_accept_work(
            now, pending.request.class_index, entry.zone, pending.work
        )
        # The budget of a cold engine is checked last, since each check computes it.
        return is_zone_open and engine.cold_budget_allows(pending.work, now)

    def _may_retry(self, pending: PendingRequest) -> bool:
        return pending.is_safely_repeatable() and len(pending.attempts) < self._context.settings.try_limit

    def send(self, pending: PendingRequest, engine: Engine) -> None:
        """Send an attempt of a request to an engine that `can_run_on` allows."""
        context = self._context
        spec = pending.spec
        self._set_resources(pending)
        if pending.attempts:
            self._retry_budget.record_extra(context.now)
        attempt = Attempt(pending, engine)
        pending.attempts.append(attempt)
        pending.in_flight += 1
        engine.attempts.add(attempt, spec.threads, attempt.granted_mb)
        engine.cold_budget.level -= pending.work
        context.zone_router.on_send(context.now, engine.entry.zone, pending.work)
        self._load.threads_in_flight += spec.threads
        timeout = 0.0  # 0 means that only the client's timeout applies
        if self._may_retry(pending) and not context.settings.may_cancel:
            max_run_time = config.ATTEMPT_TIMEOUT_FACTOR * self.overdue_after(attempt)
            timeout = min(max_run_time, pending.deadline - context.now)
        is_fleet_busy = self._load.thread_limits[0] < config.THREAD_LIMIT
        # Peers are told of a send to an engine that looks less loaded than most.
        announce = is_fleet_busy and self._load.engine_load(engine) < sum(self._load.fleet_load())
        context.actions.append(
            api.Send(pending.request.request_id, engine.entry.engine_id, timeout, announce)
        )

    def _set_resources(self, pending: PendingRequest) -> None:
        settings = self._context.settings
        if settings.engines_honor_priority or settings.engines_honor_memory:
            min_priority = config.MIN_TABLE_LOAD_PRIORITY if pending.spec.load else 0
            priority = max(pending.priority, min_priority)
            memory_mb = pending.grant_mb if settings.engines_honor_memory else 0.0
            self._context.actions.append(api.SetResources(pending.request.request_id, priority, memory_mb))

    def _attempt_in_flight(self, event: api.AttemptOutcome | api.AttemptUpdate) -> Attempt | None:
        attempts = self.pending[event.request_id].attempts if event.request_id in self.pending else ()
        in_flight = (attempt for attempt in attempts if not attempt.result)
        return next((attempt for attempt in in_flight if attempt.index == event.attempt_index), None)

    def on_outcome(self, event: api.AttemptOutcome) -> PendingRequest | None:
        """Handle the end of an attempt; return its request if it needs another attempt."""
        attempt = self._attempt_in_flight(event)
        if attempt is None:
            return None
        pending = attempt.pending
        self._end_attempt(attempt, event)
        if event.is_final or event.result is api.Result.OK:
            self.finish(pending)
        elif pending.is_finished:
            self._forget_if_ended(pending)
        elif not pending.in_flight:
            errors = sum(other.result is api.Result.ERROR for other in pending.attempts)
            is_faulty = errors >= config.MAX_ENGINE_ERRORS  # the request is the cause, not the engines
            is_stuck = is_faulty or pending.is_repeat_forbidden(self._context.now) or pending.is_streaming
            if not is_stuck and len(pending.attempts) < self._context.settings.try_limit:
                return pending
            self.reject_or_fail(pending)
        return None

    def _end_attempt(self, attempt: Attempt, event: api.AttemptOutcome) -> None:
        context = self._context
        pending = attempt.pending
        attempt.result = event.result
        pending.in_flight -= 1
        self._load.threads_in_flight -= pending.spec.threads
        context.zone_router.on_result(context.now, attempt.entry, event.result)
        engine = context.engines.get(attempt.entry.engine_id)
        if engine and engine.attempts.remove(attempt, pending.spec.threads, attempt.granted_mb):
            self._learn(engine, attempt, event)
        if pending.spec.is_ordered and event.result in api.POSSIBLY_RUNNING:
            self.key_queues.pause(pending.request.order_key, context.now + context.settings.order_pause)

    def _learn(self, engine: Engine, attempt: Attempt, event: api.AttemptOutcome) -> None:
        pending = attempt.pending
        now = self._context.now
        if event.load_report:
            self._load.apply_report(engine, event.load_report)
        self._outliers.on_attempt_result(engine, attempt, event.result)
        if event.result is api.Result.OK:
            run_time = now - attempt.running_since
            met_pressure = pending.stats.learn(attempt, event, run_time)
            self._load.threads_per_query.add(now, pending.spec.threads, run_time)
            self._admission.learn(pending, engine, met_pressure)
        if engine.entry.state is api.EngineState.GONE and not engine.attempts.items:
            del self._context.engines[engine.entry.engine_id]

    def on_attempt_update(self, event: api.AttemptUpdate) -> None:
        """Handle a status report on an attempt: record memory pressure, cancel a slow attempt."""
        attempt = self._attempt_in_flight(event)
        if attempt is None:
            return
        waits_for_memory = event.kind is api.AttemptUpdateKind.WAITING and event.value == 1
        if event.kind is api.AttemptUpdateKind.SPILLING or waits_for_memory:
            attempt.met_memory_pressure = True
            self._context.memory_pressure_at = self._context.now
        elif event.kind is api.AttemptUpdateKind.PROGRESS and event.value > config.MIN_PROGRESS:
            overdue_time = config.OVERDUE_FACTOR * attempt.pending.expected_run_time()
            extrapolated_run_time = (self._context.now - attempt.running_since) / event.value
            if extrapolated_run_time > max(self._min_overdue_time, overdue_time):
                self._cancel_to_retry(attempt)

    def on_response_sent(self, event: api.ResponseSent) -> None:
        """Let the next request of an order key start once this answer is delivered."""
        self.key_queues.pause(event.order_key, self._context.now + event.delivery_seconds)
        self._delivery_time = event.delivery_seconds
        if pending := self.pending.get(event.request_id):  # an attempt is still in flight
            pending.is_answered = True
        else:
            self.key_queues.blocks.discard(event.order_key, event.request_id)

    def sweep(self, stall: float) -> None:
        """Answer requests near their deadlines, and cancel overdue attempts.

        Args:
            stall: Duration (s) of a recent stall of this instance, which makes final answers due earlier.
        """
        for pending in list(self.pending.values()):
            if self._context.now > pending.final_answer_at(stall) and not pending.is_streaming:
                self.reject_or_fail(pending)
            for attempt in pending.attempts:
                self._check_overdue(attempt)
        for blocking in self.key_queues.blocking_items(self._context.now, self._forecast_turn):
            self.reject_or_fail(blocking)

    def _forecast_turn(self, pending: PendingRequest) -> containers.TurnForecast | None:
        if pending.is_finished:
            return None
        running_for = self._context.now - pending.attempts[-1].running_since if pending.in_flight else None
        run_time = pending.expected_run_time()
        duration = run_time + self._delivery_time
        needed_time = config.TURN_TIME_FACTOR * run_time
        return containers.TurnForecast(duration, needed_time, pending.deadline, running_for)

    def overdue_after(self, attempt: Attempt) -> float:
        """Return the run time (s) from which an attempt is overdue; it grows with the scatter."""
        scatter = attempt.pending.stats.run_time.spread(config.SCATTER_DEVIATIONS)
        factor = config.OVERDUE_GROWTH**attempt.index * scatter
        overdue_time = config.OVERDUE_FACTOR * factor * attempt.pending.expected_run_time()
        return max(self._min_overdue_time, overdue_time)

    def _check_overdue(self, attempt: Attempt) -> None:
        pending = attempt.pending
        now = self._context.now
        if attempt.result is not None or now - attempt.running_since <= self.overdue_after(attempt):
            return
        engine = self._context.engines.get(attempt.entry.engine_id)
        self._cancel_to_retry(attempt)
        is_blocking = pending.spec.is_ordered and self.key_queues.length(pending.request.order_key) > 1
        if is_blocking and now > pending.target_at:
            self.reject_or_fail(pending)  # it may get no answer, and other requests of its key wait
        is_silent = engine and max(engine.succeeded_at, engine.reported_at) <= attempt.sent_at
        if is_silent and not self._outliers.probe(engine):
            self._outliers.eject(engine, "no answer")

    def _cancel_to_retry(self, attempt: Attempt) -> None:
        """Cancel an attempt if there is time for another one and the rules allow it."""
        pending = attempt.pending
        has_time = pending.deadline - self._context.now >= pending.expected_run_time()
        if has_time and self._may_retry(pending) and self._retry_budget.allows_extra(self._context.now):
            self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        if self._context.settings.may_cancel and not attempt.is_cancelled and not attempt.result:
            attempt.is_cancelled = True
            self._context.actions.append(api.Cancel(attempt.pending.request.request_id, attempt.index))

    def reject_or_fail(self, pending: PendingRequest) -> None:
        """Give the final answer to a request: a rejection if a repetition is harmless, else a failure."""
        if pending.is_finished:
            return
        settings = self._context.settings
        random = self._context.random
        spec = pending.spec
        action: api.Action = api.Fail(pending.request.request_id)
        drops_repeats = spec.repeat is api.RepeatPolicy.KEYED and spec.repeat_group == "all"
        if drops_repeats or spec.repeat is api.RepeatPolicy.SAFE or not pending.first_executed():
            # A random delay spreads the retries of clients that are rejected together.
            delay = random.uniform(config.MIN_RETRY_AFTER_SECONDS, config.MAX_RETRY_AFTER_SECONDS)
            retry_after = min(delay, settings.max_retry_after) if settings.may_advise_retry_after else 0.0
            action = api.Reject(pending.request.request_id, retry_after)
        self._context.actions.append(action)
        self.finish(pending)

    def finish(self, pending: PendingRequest) -> None:
        """End a request that has its final answer or whose client is gone."""
        pending.is_finished = True
        if not pending.is_streaming:
            for attempt in pending.attempts:
                self._cancel(attempt)
        self._forget_if_ended(pending)

    def _forget_if_ended(self, pending: PendingRequest) -> None:
        if pending.in_flight:
            return
        request = pending.request
        self.pending.pop(request.request_id, None)
        pending.attempts.clear()  # breaks a reference cycle, which only the garbage collector would free
        gap = self._context.settings.order_gap
        if pending.spec.is_ordered and request.order_key and gap:
            # The next request of its key waits until this answer is delivered, or it could overtake it.
            blocker = None if pending.is_answered else request.request_id
            self.key_queues.pause(request.order_key, self._context.now + gap, blocker)
        self.key_queues.drop_ended(request.order_key)
