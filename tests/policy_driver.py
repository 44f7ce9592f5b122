"""A driver that runs the decision module in simulated time, and a builder of its settings."""

from __future__ import annotations

from collections.abc import Iterable

from applevale import api
from applevale.policy import AdmissionController

LOOKUP = api.ClassSpec(name="short", aim=0.8, aim_stretch=1.5, deadline=4.0, worth=1.0, threads=1)
REPORT = api.ClassSpec(name="long", aim=1.5, aim_stretch=2.5, deadline=25.0, worth=5.0, threads=3)
KINDS = (api.KindSpec("k", 8.0, 16384.0), api.KindSpec("m", 8.0, 16384.0))

START_TIME = 100.0  # seconds on the driver's clock
ATTEMPT_SECONDS = 0.1  # how long an attempt takes, as its outcome says
MAX_REQUEST_ID = 1_000_000


def make_settings(**changes) -> api.Settings:
    """Return settings with two classes and two machine kinds, with the given fields changed."""
    base = dict(
        classes=(LOOKUP, REPORT),
        kinds=KINDS,
        gateways=1,
        may_cancel=True,
        may_advise_retry_after=True,
        max_retry_after=2.0,
        engines_honor_priority=True,
        engines_report_cost=True,
        largest_share=0.4,
        report_columns=("waiting", "cpu", "disk_busy", "memory_used"),
        load_report_mode="answers",
    )
    return api.Settings(**(base | changes))


class PolicyDriver:
    """Runs a controller on a simulated clock, and fires its timers when they are due.

    Attributes:
        settings: The settings of the controller.
        controller: The controller under test.
        now: The simulated time, in seconds.
        timers: Pairs of due time and token of the timers that are set.
        log: Pairs of time and action of all actions so far.
        ids: Yields the ids of new requests.
    """

    def __init__(
        self, engines: int = 3, seed: int = 1, entries: Iterable[api.EngineEntry] | None = None, **changes
    ):
        self.settings = make_settings(**changes)
        self.controller = AdmissionController(self.settings, seed)
        self.now = START_TIME
        self.timers = []
        self.log = []
        self.ids = iter(range(1, MAX_REQUEST_ID))
        entries = entries or tuple(api.EngineEntry(engine) for engine in range(1, engines + 1))
        self.handle(api.EngineList(entries, is_full=True))

    def handle(self, *events) -> list:
        """Handle a batch of events; return the actions except `SetTimer` and `SetResources`."""
        actions = self.controller.handle(self.now, events)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            self.log.append((self.now, action))
        return [action for action in actions if not isinstance(action, (api.SetTimer, api.SetResources))]

    def submit(
        self, class_index: int = 0, timeout: float = 0.0, work: float = 0.2, memory: float = 50.0, **fields
    ) -> tuple[int, list]:
        """Submit a request; return its id and the actions.

        Args:
            class_index: Index of its class in the settings.
            timeout: Its timeout in seconds; 0 means the deadline of its class.
            work: Estimated work in core seconds.
            memory: Estimated memory in MB.
            **fields: Other fields of `api.Request`.
        """
        request_id = next(self.ids)
        timeout = timeout or self.settings.classes[class_index].deadline
        request = api.Request(
            request_id,
            class_index,
            timeout=timeout,
            estimated_work=work,
            estimated_memory_mb=memory,
            **fields,
        )
        return request_id, self.handle(request)

    def send_request(self, *arguments, **fields) -> api.Send:
        """Submit a request as `submit` does; return the action that sends it, which must come at once."""
        _, actions = self.submit(*arguments, **fields)
        return actions_of(api.Send, actions)[0]

    def finish(
        self,
        send: api.Send,
        result: api.Result = api.Result.OK,
        attempt: int = 0,
        work: float = 0.2,
        memory: float = 40.0,
        **fields,
    ) -> list:
        """End the attempt of `send` with a result; return the actions.

        Args:
            send: The action that started the attempt.
            result: Its result; a completed attempt is final unless `fields` say otherwise.
            attempt: Index of the attempt among those of its request.
            work: Work that a completed attempt used, in core seconds.
            memory: Memory that a completed attempt used, in MB.
            **fields: Other fields of `api.AttemptOutcome`.
        """
        is_completed = result is api.Result.OK
        is_final = fields.pop("is_final", is_completed)
        used_work = work if is_completed else 0.0
        used_memory = memory if is_completed else 0.0
        outcome = api.AttemptOutcome(
            send.request_id,
            attempt,
            send.engine_id,
            result,
            ATTEMPT_SECONDS,
            is_final,
            used_work,
            used_memory,
            **fields,
        )
        return self.handle(outcome)

    def run(self, seconds: float) -> list:
        """Advance the clock and fire the timers that are due; return the actions."""
        actions = []
        end = self.now + seconds
        while self.timers and min(self.timers)[0] <= end:
            due, token = min(self.timers)
            self.timers.remove((due, token))
            self.now = max(self.now, due)
            actions += self.handle(api.TimerFired(token))
        self.now = end
        return actions

    def logged(self, kind: type) -> list:
        """Return all actions of type `kind` so far."""
        return actions_of(kind, [action for _, action in self.log])

    def report_load(self, engine: int, memory_used: float = 0.0, cpu: float = 0.0) -> None:
        """Apply a load report of an engine; both arguments are shares of its capacity."""
        self.controller.load.apply_report(self.engine(engine), (0.0, cpu, 0.0, memory_used))
        self.controller.load.start_batch()  # drops the loads that are cached from before the report

    def pending_request(self, request_id: int):
        """Return the controller's state of a request that has not ended."""
        return self.controller.attempts.pending[request_id]

    def engine(self, engine_id: int):
        """Return the controller's state of an engine."""
        return self.controller.engines[engine_id]

    def is_ejected(self, engine_id: int) -> bool:
        """Return whether an engine is ejected now."""
        return self.engine(engine_id).health.is_open(self.now)


def actions_of(kind: type, actions: Iterable) -> list:
    """Return the actions of type `kind`."""
    return [action for action in actions if isinstance(action, kind)]
