"""Random valid sequences of events, with an independent checker of the rules of one instance."""

from dataclasses import dataclass
from random import Random

import pytest
from policy_driver import KINDS, LOOKUP, REPORT, PolicyDriver
from rule_checker import RuleChecker

from applevale import api

Result = api.Result
CLASSES = (
    LOOKUP,
    REPORT,
    api.ClassSpec(
        "load",
        aim=2.0,
        deadline=6.0,
        worth=4.0,
        repeat=api.RepeatPolicy.UNSAFE,
        is_ordered=True,
        threads=2,
        load=True,
    ),
    api.ClassSpec(
        "keyed", aim=1.0, deadline=4.0, repeat=api.RepeatPolicy.KEYED, repeat_group="zone", repeat_window=1.5
    ),
    api.ClassSpec("bound", aim=1.0, deadline=4.0, kinds=frozenset({1}), zones=frozenset({0, 1})),
)
SETTINGS = (
    dict(),
    dict(
        may_cancel=False,
        try_limit=3,
        memory_shortage_mode="wait",
        report_columns=("cpu",),
        load_report_mode="probe",
    ),
    dict(budget_share=0.1, budget_free=3.0, allows_parallel_attempts=True, progress=0.5, order_pause=0.3),
    dict(
        gateways=3,
        discovery_push=False,
        engines_honor_priority=False,
        may_advise_retry_after=False,
        report_columns=(),
        load_report_mode="none",
    ),
    dict(
        gateways=300,
        may_probe=True,
        report_columns=("active",),
        load_report_mode="probe",
        may_message_peers=True,
    ),
    dict(gateways=60, may_probe=True, may_cancel=False, budget_share=0.0, budget_free=2.0),
)

STEP_SECONDS = 0.01
LOADED_STEPS = 1500
LAST_REQUEST_STEP = 1100
FINAL_STEPS = 3000  # steps in which all attempts in flight end
STALL_STEPS = 400  # steps between two stalls of the instance
STALL_SECONDS = 1.2
CANCEL_SECONDS = 0.005  # delay until the end of a cancelled attempt


@dataclass
class AttemptInFlight:
    """An attempt that ends at `ends_at`; a result of None is drawn at its end."""

    ends_at: float
    send: api.Send
    attempt: int
    result: api.Result | None


@dataclass(frozen=True)
class ProbeInFlight:
    """A probe that is answered at `ends_at`."""

    ends_at: float
    engine: int


class RandomScenario:
    """Random requests, failures, list changes, stalls and load reports for a checked controller."""

    def __init__(self, seed):
        settings = SETTINGS[seed % len(SETTINGS)]
        self.random = Random(seed)
        self.has_stalls = seed % 3 == 0
        self.driver = PolicyDriver(entries=(), seed=seed, classes=CLASSES, kinds=KINDS, **settings)
        self.checker = RuleChecker(self.driver.settings)
        self.attempts = []
        self.probes = []
        self.request_ids = []
        self.entries = [
            api.EngineEntry(engine, zone=engine % 3, kind=engine % 2, cell=engine % 2)
            for engine in range(1, 9)
        ]
        self.handle(api.EngineList(tuple(self.entries), is_full=True))

    def handle(self, event):
        """Handle an event, and check the actions."""
        now = self.driver.now
        if isinstance(event, api.EngineList):
            for entry in event.entries:
                self.checker.on_entry(now, entry)
        elif isinstance(event, api.Request):
            self.checker.on_request(now, event)
        elif isinstance(event, api.AttemptOutcome):
            self.checker.on_outcome(now, event)
        start = len(self.driver.log)
        self.driver.handle(event)
        self._execute(start)

    def fire_timers(self):
        """Fire the timers that are due, and check the actions."""
        start = len(self.driver.log)
        self.driver.run(0.0)
        self._execute(start)

    def _execute(self, start):
        """Check and execute the actions of the log from position `start` on."""
        for now, action in self.driver.log[start:]:
            self.checker.on_action(now, action)
            if isinstance(action, api.Probe) and self.random.random() < 0.9:  # some are never answered
                delay = self.random.choice([0.005, 0.02, 0.25])
                self.probes.append(ProbeInFlight(now + delay, action.engine_id))
            if isinstance(action, api.Send):
                self._begin_attempt(now, action)
            elif isinstance(action, api.Cancel):
                self._cancel_attempt(now, action)

    def _begin_attempt(self, now, send):
        arrived_at, request = self.checker.requests[send.request_id]
        limit = min(now + (send.timeout or 99.0), arrived_at + request.timeout)
        duration = self.random.expovariate(3.0) * (100.0 if self.random.random() < 0.08 else 1.0)
        ends_at = now + duration
        attempt = len(self.checker.attempts[send.request_id]) - 1
        result = None if ends_at < limit else Result.TIMEOUT
        self.attempts.append(AttemptInFlight(min(ends_at, limit), send, attempt, result))

    def _cancel_attempt(self, now, cancel):
        for attempt in self.attempts:
            if attempt.send.request_id == cancel.request_id and attempt.attempt == cancel.attempt_index:
                attempt.ends_at = now + CANCEL_SECONDS
                attempt.result = Result.CANCELLED

    def take_due(self, items):
        """Remove and yield the items that end by now."""
        for item in [item for item in items if item.ends_at <= self.driver.now]:
            items.remove(item)
            yield item

    def end_attempts(self, weight_of_ok):
        """End the attempts that are due; `weight_of_ok` is the weight of success among the results."""
        for item in self.take_due(self.attempts):
            result = item.result or self._draw_result(weight_of_ok)
            request_id = item.send.request_id
            final = request_id in self.checker.ended_at or result is Result.OK
            self.checker.ended_at.pop(request_id, None)
            report = tuple(self.random.choice([0.5, -1.0, 1e9]) for _ in self.driver.settings.report_columns)
            engine = item.send.engine_id
            self.handle(
                api.AttemptOutcome(request_id, item.attempt, engine, result, 0.2, final, 0.2, 60.0, report)
            )

    def _draw_result(self, weight_of_ok):
        results = [Result.OK, Result.ERROR, Result.REJECTED, Result.CONNECT_FAILED, Result.RESET]
        return self.random.choices(results, [weight_of_ok, 1, 0.5, 0.5, 0.5])[0]

    def end_probes(self):
        """Answer the probes that are due, some with invalid or too few values."""
        for item in self.take_due(self.probes):
            columns = self.driver.settings.report_columns
            values = tuple(self.random.choice([0.5, 3.0, -1.0, 1e9]) for _ in columns)
            result = self.random.choice(
                [Result.OK, Result.OK, Result.OK, Result.REJECTED, Result.TIMEOUT, Result.ERROR]
            )
            report = values if self.random.random() < 0.9 else values[1:]
            self.handle(api.ProbeResult(item.engine, result, 0.01, report))

    def send_peer_message(self):
        """Handle a message of random bytes from another instance."""
        sender = self.random.randrange(400)
        self.handle(api.PeerMessage(sender, bytes(self.random.randrange(256) for _ in range(9))))

    def disconnect_client(self):
        """Disconnect the client of one of the latest requests, if it has no answer yet."""
        request_id = self.random.choice(self.request_ids[-20:])
        if request_id not in self.checker.ended_at:
            self.checker.on_end(self.driver.now, request_id)
            self.handle(api.ClientGone(request_id))

    def submit_request(self, request_id):
        """Submit a random request."""
        class_index = self.random.randrange(len(CLASSES))
        timeout = self.random.choice([CLASSES[class_index].deadline, 0.5, 0.03, 0.0])
        self.request_ids.append(request_id)
        self.handle(
            api.Request(
                request_id,
                class_index,
                order_key=self.random.randrange(3),
                timeout=timeout,
                estimated_work=self.random.expovariate(2.0),
                estimated_memory_mb=self.random.expovariate(0.002),
                table_group=float(self.random.randrange(12)),
            )
        )

    def change_entry(self):
        """Change the state of a random engine."""
        entry = self.random.choice(self.entries)
        state = self.random.choice(
            [api.EngineState.READY, api.EngineState.READY, api.EngineState.DRAINING, api.EngineState.GONE]
        )
        started = self.driver.now - 0.5 * self.random.random()
        changed = api.EngineEntry(entry.engine_id, entry.zone, entry.kind, entry.cell, 1.0, state, started)
        self.handle(api.EngineList((changed,)))

    def run_loaded_step(self, step):
        """Run one step under load."""
        self.driver.now += STEP_SECONDS
        if step and step % STALL_STEPS == 0 and self.has_stalls:
            self.driver.now = self.checker.stall_end
        self.fire_timers()
        self.end_attempts(1 if step % 500 < 100 else 20)
        self.end_probes()
        if self.random.random() < 0.02:
            self.send_peer_message()
        if self.random.random() < 0.02 and self.request_ids:
            self.disconnect_client()
        if step % STALL_STEPS == STALL_STEPS - 1 and self.has_stalls:
            # The instance does not run until the end of the stall, and then has all events at once.
            self.checker.stall_start = self.driver.now
            self.checker.stall_end = self.driver.now + STALL_SECONDS
        if step < LAST_REQUEST_STEP and self.random.random() < 0.6:
            self.submit_request(1000 + step)
        if self.random.random() < 0.03:
            self.change_entry()

    def run_final_step(self):
        """Run one step without new requests, in which attempts end."""
        self.driver.now += STEP_SECONDS
        self.fire_timers()
        for item in self.take_due(self.attempts):
            request_id = item.send.request_id
            final = request_id in self.checker.ended_at
            self.checker.ended_at.pop(request_id, None)
            result = item.result or Result.TIMEOUT
            self.handle(api.AttemptOutcome(request_id, item.attempt, item.send.engine_id, result, 0.2, final))


@pytest.mark.parametrize("seed", range(18))
def test_the_rules_hold_in_random_scenarios(seed):
    scenario = RandomScenario(seed)
    for step in range(LOADED_STEPS):
        scenario.run_loaded_step(step)
    for _ in range(FINAL_STEPS):
        scenario.run_final_step()
    assert len(scenario.request_ids) > 400
    assert set(scenario.checker.ended_at) == set(scenario.request_ids)
    controller = scenario.driver.controller
    assert not controller.attempts.pending and not controller.scheduler.waiting
    assert not controller.attempts.key_queues.queues
