"""Drives the decision module in simulated time, and builders of its settings."""

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
    """Return settings with two classes and two kinds of engines, with the given fields changed."""
    base = dict(
        classes=(LOOKUP, REPORT),
        kinds=KINDS,
        gateways=1,
        may_cancel=True,
        retry_after=True,
        max_retry_after=2.0,
        ranks_heeded=True,
        tells_cost=True,
        largest_share=0.4,
        report_columns=("waiting", "cpu", "disk_busy", "memory_used"),
        report_how="answers",
    )
    return api.Settings(**(base | changes))


class PolicyDriver:
    """A controller with a clock of its own, which calls it for each timer that is due.

    Attributes:
        settings: The settings of the controller.
        controller: The controller.
        now: The time on the clock, in seconds.
        timers: Pairs of due time and token of the timers that are set.
        log: Pairs of time and action of all actions up to now.
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
        self.handle(api.EngineList(entries, whole=True))

    def handle(self, *events) -> list:
        """Hand in a batch of events; return the actions but for timers and terms."""
        actions = self.controller.handle(self.now, events)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.after, action.token))
            self.log.append((self.now, action))
        return [action for action in actions if not isinstance(action, (api.SetTimer, api.Terms))]

    def submit(
        self, cls: int = 0, ttl: float = 0.0, work: float = 0.2, memory: float = 50.0, **fields
    ) -> tuple[int, list]:
        """Submit a request; return its id and the actions.

        Args:
            cls: The position of its class in the settings.
            ttl: Its timeout in seconds; 0 means the deadline of its class.
            work: Its estimate of work, in core seconds.
            memory: Its estimate of memory, in MB.
            **fields: Other fields of `api.Request`.
        """
        request_id = next(self.ids)
        timeout = ttl or self.settings.classes[cls].deadline
        request = api.Request(request_id, cls, ttl=timeout, work=work, memory_mb=memory, **fields)
        return request_id, self.handle(request)

    def send_request(self, *arguments, **fields) -> api.Send:
        """Submit a request as `submit` does, which must be sent at once; return the action that sends it."""
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
        """Let the attempt of `send` end with `result`; return the actions.

        Args:
            send: The action that began the attempt.
            result: Its result; a completed attempt is final unless `fields` say otherwise.
            attempt: The index of the attempt among those of its request.
            work: What a completed attempt used, in core seconds.
            memory: What a completed attempt used, in MB.
            **fields: Other fields of `api.Outcome`.
        """
        is_completed = result is api.Result.OK
        final = fields.pop("final", is_completed)
        used_work = work if is_completed else 0.0
        used_memory = memory if is_completed else 0.0
        outcome = api.Outcome(
            send.request,
            attempt,
            send.engine,
            result,
            ATTEMPT_SECONDS,
            final,
            used_work,
            used_memory,
            **fields,
        )
        return self.handle(outcome)

    def run(self, seconds: float) -> list:
        """Let time pass and fire the timers that are due; return the actions."""
        actions = []
        end = self.now + seconds
        while self.timers and min(self.timers)[0] <= end:
            due, token = min(self.timers)
            self.timers.remove((due, token))
            self.now = max(self.now, due)
            actions += self.handle(api.Timer(token))
        self.now = end
        return actions

    def logged(self, kind: type) -> list:
        """Return all actions of type `kind` up to now."""
        return actions_of(kind, [action for _, action in self.log])

    def report_load(self, engine: int, memory_used: float = 0.0, cpu: float = 0.0) -> None:
        """Let an engine report its load, as shares of what it has, in a batch of its own."""
        self.controller.load.apply_report(self.engine(engine), (0.0, cpu, 0.0, memory_used))
        self.controller.load.start_batch()  # as at the start of a batch

    def pending_request(self, request_id: int):
        """Return what the controller keeps of a request that has no final answer."""
        return self.controller.attempts.pending[request_id]

    def engine(self, engine_id: int):
        """Return what the controller keeps of an engine."""
        return self.controller.engines[engine_id]

    def is_ejected(self, engine_id: int) -> bool:
        """Return whether an engine gets no attempts for a while."""
        return self.engine(engine_id).health.is_open(self.now)


def actions_of(kind: type, actions: Iterable) -> list:
    """Return those of `actions` that are of type `kind`."""
    return [action for action in actions if isinstance(action, kind)]
