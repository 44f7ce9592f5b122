"""Tests of the event loop driver and of the ends of attempts, without sockets."""

import asyncio

from policy_driver import make_settings

from applevale import api
from applevale.dispatch.clock import UnixClock
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines.attempt import Attempt, AttemptFailed, AttemptSpec, Progress
from applevale.engines.pool import EnginePool
from applevale.net.write_queue import QueuedMessage
from applevale.observability.counters import Counters
from applevale.policy import AdmissionController
from applevale.requests import handler, model


class FakeController:
    """An admission controller that records batches; for each it returns given actions or raises an error."""

    def __init__(self, *results):
        self.batches = []
        self.results = list(results)

    def handle(self, now, events):
        self.batches.append(list(events))
        result = self.results.pop(0) if self.results else []
        if isinstance(result, Exception):
            raise result
        return result


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0)


def run_driver(controller, steps):
    """Run the coroutine function `steps` with a new driver, and return the driver."""

    async def main():
        driver = EventLoopDriver(controller, EnginePool(None, (), 0, Counters()), Counters())
        await steps(driver)
        return driver

    return asyncio.run(main())


def test_the_list_updates_in_one_batch_are_merged():
    controller = FakeController()
    ready = api.EngineEntry(1)
    draining = api.EngineEntry(1, state=api.EngineState.DRAINING)
    other = api.EngineEntry(2, state=api.EngineState.GONE)

    async def steps(driver):
        driver.submit(api.EngineList((api.EngineEntry(9),)))
        driver.submit(api.EngineList((ready,), is_full=True))
        driver.submit(api.TimerFired(3))
        driver.submit(api.EngineList((draining, other)))
        await wait_until(lambda: controller.batches)

    run_driver(controller, steps)
    assert controller.batches == [[api.EngineList((draining, other), is_full=True), api.TimerFired(3)]]


def test_an_engine_is_reported_as_outlier_until_its_ejection_ends():
    now = [100.0]
    controller = AdmissionController(make_settings(), 1)
    entries = tuple(api.EngineEntry(number) for number in range(1, 5))
    failed = api.ProbeResult(3, api.Result.CONNECT_FAILED)
    controller.handle(now[0], (api.EngineList(entries, is_full=True), failed))
    driver = EventLoopDriver(controller, None, Counters(), UnixClock(lambda: now[0]))
    assert driver.outlier_engines() == {3}
    now[0] += 30.0
    assert driver.outlier_engines() == set()


def test_events_of_one_loop_iteration_form_a_batch_and_a_timer_fires_in_a_later_one():
    controller = FakeController([api.SetTimer(0.0, 7)])

    async def steps(driver):
        driver.submit(api.ClientGone(1))
        driver.submit(api.ClientGone(2))
        await wait_until(lambda: len(controller.batches) == 2)

    run_driver(controller, steps)
    assert controller.batches == [[api.ClientGone(1), api.ClientGone(2)], [api.TimerFired(7)]]


def test_the_driver_continues_after_an_error_of_the_controller():
    controller = FakeController(ValueError("x"))

    async def steps(driver):
        driver.submit(api.TimerFired(1))
        await wait_until(lambda: controller.batches)
        driver.submit(api.TimerFired(2))
        await wait_until(lambda: len(controller.batches) == 2)

    assert run_driver(controller, steps).counters["module_errors"] == 1


def test_the_clock_never_goes_back():
    times = iter([5.0, 3.0, 6.0])
    driver = EventLoopDriver(FakeController(), None, Counters(), UnixClock(lambda: next(times)))
    assert [driver.now() for _ in range(3)] == [5.0, 5.0, 6.0]


def test_a_probe_of_an_engine_that_is_not_listed_fails():
    controller = FakeController([api.Probe(3)])

    async def steps(driver):
        driver.submit(api.TimerFired(1))
        await wait_until(lambda: len(controller.batches) == 2)

    run_driver(controller, steps)
    (event,) = controller.batches[1]
    assert event.engine_id == 3 and event.result is api.Result.CONNECT_FAILED


def test_a_request_without_a_decision_is_rejected_before_its_timeout():
    """Every request gets a response, even if the controller decides nothing."""

    async def main():
        settings = api.Settings(classes=(api.ClassSpec("lookup"),), kinds=(api.KindSpec("k"),))
        driver = EventLoopDriver(FakeController(), None, Counters())
        request = model.Request(b"1", 0, b"", driver.now(), 0.1)
        return await handler.RequestHandler(driver, None, settings, driver.counters).handle(request), driver

    response, driver = asyncio.run(main())
    assert isinstance(response, model.Rejected)
    assert driver.counters["overdue"] == 1
    assert not driver.action_handlers


class FakeConnection:
    """An engine connection that records commands; it is its own write queue."""

    def __init__(self):
        self.commands = []
        self.write_callbacks = []
        self.write_queue = self
        self.was_reached = True

    def withdraw(self, message):
        return not message.write_started

    def send_command(self, *parts, on_written=None):
        self.commands.append(parts[0])
        self.write_callbacks.append(on_written)

    def remove_attempt(self, attempt):
        pass


def attempt_on_connection(write_started):
    """Return an attempt on a fake connection, and the list to which its result is appended."""
    results = []
    attempt = Attempt(AttemptSpec(b"1", "load", b"", 1.0, 1.0), results.append)
    attempt.connection = FakeConnection()
    attempt.message = QueuedMessage(b"", write_started=write_started)
    return attempt, results


def test_a_cancelled_attempt_ends_only_after_the_cancel_command_was_written():
    """Otherwise the next execute command, on another connection, could overtake the cancel command."""

    async def main():
        attempt, results = attempt_on_connection(write_started=True)
        attempt.cancel(api.Result.CANCELLED)
        attempt.cancel(api.Result.CANCELLED)
        assert attempt.connection.commands == [b"never_mind"] and results == []
        attempt.connection.write_callbacks[0]()
        assert results == []
        await wait_until(lambda: results)
        attempt.finish(attempt.result_after_disconnect())
        return results

    failed = AttemptFailed(Progress.POSSIBLY_EXECUTED, api.Result.CANCELLED)
    assert asyncio.run(main()) == [failed]


def test_an_attempt_whose_write_has_not_started_was_not_executed():
    attempt, results = attempt_on_connection(write_started=False)
    assert attempt.result_after_disconnect().result in api.NEVER_EXECUTED
    attempt.cancel(api.Result.CANCELLED)
    assert results == [AttemptFailed(Progress.NOT_SENT, api.Result.WITHDRAWN)]
    assert attempt.connection.commands == []


def test_an_attempt_whose_connection_ends_between_pages_was_executed():
    attempt, _ = attempt_on_connection(write_started=True)
    assert attempt.result_after_disconnect() == AttemptFailed(Progress.POSSIBLY_EXECUTED, api.Result.RESET)
    attempt.page_count = 2
    assert attempt.result_after_disconnect().progress is Progress.EXECUTED


def test_a_request_without_time_left_is_rejected_without_waiting_for_a_batch():
    """A retry may have only a few milliseconds left. Its response must not wait for a busy controller."""

    async def main():
        settings = api.Settings((api.ClassSpec("lookup"),), (api.KindSpec("k"),), may_advise_retry_after=True)
        driver = EventLoopDriver(FakeController(), None, Counters())
        request = model.Request(b"1", 0, b"", driver.now(), 0.005)
        return await handler.RequestHandler(driver, None, settings, driver.counters).handle(request), driver

    response, driver = asyncio.run(main())
    assert response == model.Rejected(1.0)
    assert not driver.event_queue.events
