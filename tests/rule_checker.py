"""A checker of the rules that one instance must keep, which shares no code with the controller."""

from __future__ import annotations

from dataclasses import dataclass

from applevale import api

Result = api.Result
NEVER_EXECUTED = {Result.REJECTED, Result.CONNECT_FAILED, Result.WITHDRAWN}
POSSIBLY_RUNNING = {Result.TIMEOUT, Result.RESET, Result.CANCELLED}


@dataclass
class AttemptRecord:
    """An attempt of a request; `result` is None while it is in flight."""

    sent_at: float
    zone: int
    result: api.Result | None = None

    @property
    def is_possibly_executed(self):
        """Whether the engine may have executed it."""
        return self.result not in NEVER_EXECUTED


class RuleChecker:
    """Records events and actions, and asserts that each action keeps the rules."""

    def __init__(self, settings):
        self.settings = settings
        self.engines = {}
        self.unready_since = {}  # time from which an engine is not ready, by engine id
        self.requests = {}  # pairs of time of arrival and request, by id
        self.attempts = {}  # attempts of each request, by request id
        self.ended_at = {}  # time of the final answer, by request id
        self.arrivals = []
        self.retries = []
        self.paused_until = {}  # end of the pause after an attempt that may still run, by order key
        self.ordered_requests = []
        self.stall_start = 0.0  # start and end of the last stall of the instance
        self.stall_end = 0.0

    def on_entry(self, now, entry):
        """Record an entry of the list of engines."""
        self.engines[entry.engine_id] = entry
        if entry.state is api.EngineState.READY:
            self.unready_since.pop(entry.engine_id, None)
        else:
            self.unready_since.setdefault(entry.engine_id, now)

    def on_request(self, now, request):
        """Record a new request."""
        self.requests[request.request_id] = (now, request)
        self.attempts[request.request_id] = []
        self.arrivals.append(now)
        if self.settings.classes[request.class_index].is_ordered and request.order_key:
            self.ordered_requests.append(request)

    def on_outcome(self, now, outcome):
        """Record the end of an attempt."""
        self.attempts[outcome.request_id][outcome.attempt_index].result = outcome.result
        _, request = self.requests[outcome.request_id]
        if self.settings.classes[request.class_index].is_ordered and outcome.result in POSSIBLY_RUNNING:
            self.paused_until[request.order_key] = now + self.settings.order_pause
        if outcome.is_final:
            self.on_end(now, outcome.request_id)

    def on_end(self, now, request_id):
        """Record the final answer to a request, or that its client is gone."""
        assert request_id not in self.ended_at, "the request has a second final answer"
        self.ended_at[request_id] = now

    def on_action(self, now, action):
        """Check an action and record it."""
        if isinstance(action, api.Cancel):
            assert self.settings.may_cancel
            assert action.attempt_index < len(self.attempts[action.request_id])
        elif isinstance(action, api.Probe):
            assert self.settings.may_probe
        elif isinstance(action, api.SendPeerMessage):
            assert self.settings.may_message_peers
        elif isinstance(action, (api.Reject, api.Fail)):
            self._check_answer(now, action)
            self.on_end(now, action.request_id)
        elif isinstance(action, api.Send):
            self._check_send(now, action)
            zone = self.engines[action.engine_id].zone
            self.attempts[action.request_id].append(AttemptRecord(now, zone))

    def _check_answer(self, now, action):
        arrived_at, request = self.requests[action.request_id]
        due = arrived_at + request.timeout + self.settings.answer_slack
        is_after_stall = self.stall_start <= due and now == self.stall_end
        assert now <= due or is_after_stall, "the final answer is too late"
        spec = self.settings.classes[request.class_index]
        is_repeatable = spec.repeat is api.RepeatPolicy.SAFE
        is_repeatable |= spec.repeat is not api.RepeatPolicy.UNSAFE and spec.repeat_group == "all"
        if isinstance(action, api.Reject) and not is_repeatable:
            results = [attempt.result for attempt in self.attempts[action.request_id]]
            assert all(result in NEVER_EXECUTED for result in results), (
                "a request that may have been executed was rejected"
            )

    def _check_send(self, now, send):
        assert send.request_id not in self.ended_at, "the request was sent after its end"
        _, request = self.requests[send.request_id]
        spec = self.settings.classes[request.class_index]
        entry = self.engines[send.engine_id]
        unready_since = self.unready_since.get(send.engine_id, now)
        assert now <= unready_since + self.settings.drain_grace, "the request was sent to a draining engine"
        assert spec.kinds is None or entry.kind in spec.kinds, "the machine kind is not allowed for the class"
        assert spec.zones is None or entry.zone in spec.zones, "the zone is not allowed for the class"
        attempts = self.attempts[send.request_id]
        assert len(attempts) < self.settings.try_limit, "the request has too many attempts"
        is_alone = all(attempt.result for attempt in attempts)
        assert self.settings.allows_parallel_attempts or is_alone, (
            "two attempts of the request are in flight at once"
        )
        self._check_repetition(now, spec, entry, attempts)
        if spec.is_ordered and request.order_key:
            self._check_order(now, request)
        if attempts:
            self._check_retry_budget(now)

    def _check_repetition(self, now, spec, entry, attempts):
        possibly_executed = [attempt for attempt in attempts if attempt.is_possibly_executed]
        if not possibly_executed:
            return
        first = possibly_executed[0]
        assert spec.repeat is not api.RepeatPolicy.UNSAFE, "an unsafe request was sent again"
        if spec.repeat is api.RepeatPolicy.KEYED:
            assert entry.zone == first.zone, "a keyed request was sent again to another zone"
            assert now <= first.sent_at + spec.repeat_window, (
                "a keyed request was sent again after its repeat window"
            )

    def _check_order(self, now, request):
        assert self.paused_until.get(request.order_key, 0) <= now, (
            "a request was sent while its order key was paused"
        )
        for other in self.ordered_requests:
            if other is request:
                break
            if other.order_key == request.order_key:
                assert other.request_id in self.ended_at, "an earlier request of the order key has not ended"
                attempts = self.attempts[other.request_id]
                assert all(attempt.result for attempt in attempts), (
                    "an earlier request of the order key is in flight"
                )

    def _check_retry_budget(self, now):
        self.retries.append(now)
        if self.settings.budget_share is None:
            return
        window_start = now - self.settings.budget_span
        arrival_count = sum(arrival > window_start for arrival in self.arrivals)
        retry_count = sum(retry > window_start for retry in self.retries)
        budget = self.settings.budget_free + self.settings.budget_share * arrival_count
        assert retry_count <= budget, "the retry budget is exceeded"
