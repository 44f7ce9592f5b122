"""How the module is driven, and how attempts end, without sockets."""

import asyncio

import helpers

from applevale import api
from applevale.dispatch.clock import UnixClock
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines.attempt import Attempt, AttemptFailed, AttemptSpec, Progress
from applevale.engines.pool import EnginePool
from applevale.net.write_queue import QueuedMessage
from applevale.observability.counters import Counters
from applevale.policy import AdmissionController
from applevale.requests import handler, model


class Module:
    """Stands in for the AdmissionController: keeps the batches, and answers them with what it was given."""

    def __init__(self, *replies):
        self.batches, self.replies = [], list(replies)

    def handle(self, now, events):
        self.batches.append(list(events))
        reply = self.replies.pop(0) if self.replies else []
        if isinstance(reply, Exception):
            raise reply
        return reply


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0)


def drive(module, steps):
    async def main():
        driver = EventLoopDriver(module, EnginePool(None, (), 0, Counters()), Counters())
        await steps(driver)
        return driver

    return asyncio.run(main())


def test_news_of_the_list_in_one_batch_are_told_as_one():
    module = Module()
    ready, draining = api.EngineEntry(1), api.EngineEntry(1, state=api.State.DRAINING)
    other = api.EngineEntry(2, state=api.State.GONE)

    async def steps(driver):
        driver.submit(api.EngineList((api.EngineEntry(9),)))
        driver.submit(api.EngineList((ready,), whole=True))
        driver.submit(api.Timer(3))
        driver.submit(api.EngineList((draining, other)))
        await until(lambda: module.batches)

    drive(module, steps)
    assert module.batches == [[api.EngineList((draining, other), whole=True), api.Timer(3)]]


def test_an_engine_that_rests_is_told_as_avoided_until_its_rest_is_over():
    now = [100.0]
    controller = AdmissionController(helpers.settings(), 1)
    entries = tuple(api.EngineEntry(number) for number in range(1, 5))
    failed = api.ProbeResult(3, api.Result.CONNECT_FAILED)
    controller.handle(now[0], (api.EngineList(entries, whole=True), failed))
    driver = EventLoopDriver(controller, None, Counters(), UnixClock(lambda: now[0]))
    assert driver.outlier_engines() == {3}
    now[0] += 30.0
    assert driver.outlier_engines() == set()


def test_one_turn_is_one_batch_and_a_timer_comes_in_a_later_one():
    module = Module([api.SetTimer(0.0, 7)])

    async def steps(driver):
        driver.submit(api.ClientGone(1))
        driver.submit(api.ClientGone(2))
        await until(lambda: len(module.batches) == 2)

    drive(module, steps)
    assert module.batches == [[api.ClientGone(1), api.ClientGone(2)], [api.Timer(7)]]


def test_a_fault_of_the_module_stops_nothing():
    module = Module(ValueError("x"))

    async def steps(driver):
        driver.submit(api.Timer(1))
        await until(lambda: module.batches)
        driver.submit(api.Timer(2))
        await until(lambda: len(module.batches) == 2)

    assert drive(module, steps).counters["module_errors"] == 1


def test_the_clock_never_goes_back():
    times = iter([5.0, 3.0, 6.0])
    driver = EventLoopDriver(Module(), None, Counters(), UnixClock(lambda: next(times)))
    assert [driver.now() for _ in range(3)] == [5.0, 5.0, 6.0]


def test_a_probe_of_an_engine_that_is_not_named_fails():
    module = Module([api.Probe(3)])

    async def steps(driver):
        driver.submit(api.Timer(1))
        await until(lambda: len(module.batches) == 2)

    drive(module, steps)
    (event,) = module.batches[1]
    assert event.engine == 3 and event.result is api.Result.CONNECT_FAILED


def test_without_a_decision_the_client_still_gets_its_answer():
    """A module that is silent must not cost the client its one answer."""

    async def main():
        settings = api.Settings(classes=(api.ClassSpec("lookup"),), kinds=(api.KindSpec("k"),))
        driver = EventLoopDriver(Module(), None, Counters())
        request = model.Request(b"1", 0, b"", driver.now(), 0.1)
        return await handler.RequestHandler(driver, None, settings, driver.counters).handle(request), driver

    answer, driver = asyncio.run(main())
    assert (
        isinstance(answer, model.Rejected) and driver.counters["overdue"] == 1 and not driver.action_handlers
    )


class FakeConnection:
    def __init__(self):
        self.said, self.written, self.write_queue, self.was_connected = [], [], self, True

    def withdraw(self, message):
        return not message.write_started

    def send_command(self, *parts, on_written=None):
        self.said.append(parts[0])
        self.written.append(on_written)

    def remove_attempt(self, attempt):
        pass


def attempt(begun):
    ends = []
    one = Attempt(AttemptSpec(b"1", "load", b"", 1.0, 1.0), ends.append)
    one.connection, one.message = FakeConnection(), QueuedMessage(b"", write_started=begun)
    return one, ends


def test_a_given_up_attempt_ends_only_after_never_mind_was_written():
    """Else the next `want`, on another connection, could arrive first: a second copy."""

    async def main():
        one, ends = attempt(begun=True)
        one.cancel(api.Result.CANCELLED)
        one.cancel(api.Result.CANCELLED)
        assert one.connection.said == [b"never_mind"] and ends == []
        one.connection.written[0]()
        assert ends == []
        await until(lambda: ends)
        one.finish(one.result_after_disconnect())
        return ends

    ending = AttemptFailed(Progress.POSSIBLY_EXECUTED, api.Result.CANCELLED)
    assert asyncio.run(main()) == [ending]


def test_what_was_never_written_never_ran():
    one, ends = attempt(begun=False)
    assert one.result_after_disconnect().result in api.NEVER_RAN
    one.cancel(api.Result.CANCELLED)
    assert ends == [AttemptFailed(Progress.NOT_SENT, api.Result.MOOT)] and one.connection.said == []


def test_an_engine_that_dies_between_pages_ran():
    one, _ = attempt(begun=True)
    assert one.result_after_disconnect() == AttemptFailed(Progress.POSSIBLY_EXECUTED, api.Result.RESET)
    one.page_count = 2
    assert one.result_after_disconnect().progress is Progress.EXECUTED


def test_a_call_with_no_patience_left_is_refused_without_waiting_for_a_batch():
    """A client's retry may come with a few milliseconds; its answer must not wait behind a busy module."""

    async def main():
        settings = api.Settings((api.ClassSpec("lookup"),), (api.KindSpec("k"),), retry_after=True)
        driver = EventLoopDriver(Module(), None, Counters())
        request = model.Request(b"1", 0, b"", driver.now(), 0.005)
        return await handler.RequestHandler(driver, None, settings, driver.counters).handle(request), driver

    answer, driver = asyncio.run(main())
    assert answer == model.Rejected(1.0) and not driver.event_queue.events
