"""How the module is driven, and how attempts end, without sockets."""

import asyncio

import helpers

from applevale import api
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines import connection as engine
from applevale.observability.counters import Counters
from applevale.policy import AdmissionController
from applevale.requests import handler as broker


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
        driver = EventLoopDriver(module, engine.Fleet(None, (), 0, Counters()), Counters())
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
    driver = EventLoopDriver(controller, None, Counters(), lambda: now[0])
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
    driver = EventLoopDriver(Module(), None, Counters(), lambda: next(times))
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
        query = broker.Query(b"1", 0, b"", driver.now(), 0.1)
        return await broker.Broker(driver, None, settings, driver.counters).serve(query), driver

    answer, driver = asyncio.run(main())
    assert (
        isinstance(answer, broker.Refused) and driver.counters["overdue"] == 1 and not driver.action_handlers
    )


class FakeLink:
    def __init__(self):
        self.said, self.written, self.outbox, self.shaken = [], [], self, True

    def withdraw(self, message):
        return not message.begun

    def put(self, *words, written=None):
        self.said.append(words[0])
        self.written.append(written)

    def forget(self, attempt):
        pass


def attempt(begun):
    ends = []
    one = engine.Attempt(engine.Want(b"1", "load", b"", 1.0, 1.0), ends.append)
    one.link, one.message = FakeLink(), engine.Message(b"", begun=begun)
    return one, ends


def test_a_given_up_attempt_ends_only_after_never_mind_was_written():
    """Else the next `want`, on another connection, could arrive first: a second copy."""

    async def main():
        one, ends = attempt(begun=True)
        one.give_up(api.Result.CANCELLED)
        one.give_up(api.Result.CANCELLED)
        assert one.link.said == [b"never_mind"] and ends == []
        one.link.written[0]()
        assert ends == []
        await until(lambda: ends)
        one.end(one.lost())
        return ends

    ending = engine.Broken(engine.Reach.MAY_HAVE_RUN, api.Result.CANCELLED)
    assert asyncio.run(main()) == [ending]


def test_what_was_never_written_never_ran():
    one, ends = attempt(begun=False)
    assert one.lost().result in api.NEVER_RAN
    one.give_up(api.Result.CANCELLED)
    assert ends == [engine.Broken(engine.Reach.NEVER_SENT, api.Result.MOOT)] and one.link.said == []


def test_an_engine_that_dies_between_pages_ran():
    one, _ = attempt(begun=True)
    assert one.lost() == engine.Broken(engine.Reach.MAY_HAVE_RUN, api.Result.RESET)
    one.sheets = 2
    assert one.lost().reach is engine.Reach.RAN


def test_a_call_with_no_patience_left_is_refused_without_waiting_for_a_batch():
    """A client's retry may come with a few milliseconds; its answer must not wait behind a busy module."""

    async def main():
        settings = api.Settings((api.ClassSpec("lookup"),), (api.KindSpec("k"),), retry_after=True)
        driver = EventLoopDriver(Module(), None, Counters())
        query = broker.Query(b"1", 0, b"", driver.now(), 0.005)
        return await broker.Broker(driver, None, settings, driver.counters).serve(query), driver

    answer, driver = asyncio.run(main())
    assert answer == broker.Refused(1.0) and not driver.pending_events
