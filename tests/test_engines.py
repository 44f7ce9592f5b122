"""Parts of the engine pool without sockets: commands on the wire, liveness, paced connections."""

import asyncio

import pytest

from applevale import api
from applevale.discovery.endpoints import Endpoint, EndpointUpdate
from applevale.discovery.gated_endpoints import GatedEndpoints
from applevale.engines import attempt, resp
from applevale.engines.connect_pacer import ConnectPacer
from applevale.engines.limits import ConnectionLimits
from applevale.engines.liveness import MAX_TIMER_LATENESS_SECONDS, LivenessMonitor
from applevale.engines.pool import EnginePool
from applevale.engines.streams import StreamTable
from applevale.net.write_queue import QueuedMessage
from applevale.observability.counters import Counters
from applevale.startup.connect_schedule import ConnectSchedule


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is set by the test."""

    def __init__(self):
        super().__init__()
        self.now = 100.0

    def time(self):
        return self.now


def run(test):
    loop = ManualLoop()
    try:
        return loop.run_until_complete(test(loop))
    finally:
        loop.close()


async def advance(loop, seconds):
    """Let time pass and the timers that are due run: they run in the turn after the next."""
    loop.now += seconds
    await asyncio.sleep(0)
    await asyncio.sleep(0)


class FakeConnection:
    """Records commands; stands in for the pool too."""

    def __init__(self):
        self.is_closed = False
        self.is_connected = True
        self.stream_count = 1
        self.streams = StreamTable()
        self.pool = self
        self.commands = []
        self.closed = []
        self.corrupt_count = 0

    def ping_interval(self):
        return 3.0

    def next_probe_tag(self):
        return b"p1"

    def record_corrupt_response(self):
        self.corrupt_count += 1

    def ping(self, tag):
        self.streams.probes[tag] = None

    def close(self, reason):
        self.closed.append(reason)

    def send_command(self, *parts, on_written=None):
        self.commands.append(parts)

    def remove_attempt(self, attempt):
        pass


def test_commands_keep_their_bytes_on_the_wire():
    commands = (
        resp.CMD_EXECUTE,
        resp.CMD_CANCEL,
        resp.CMD_SET_PRIORITY,
        resp.CMD_FETCH_PAGE,
        resp.CMD_RELEASE_RESULT,
        resp.CMD_PING,
        resp.CMD_REPORT_LOAD,
    )
    assert commands == (b"want", b"never_mind", b"hurry", b"turn", b"shut", b"there", b"busy")
    assert resp.encode_array(b"hurry", b"a1", b"2") == b"*3\r\n$5\r\nhurry\r\n$2\r\na1\r\n$1\r\n2\r\n"


@pytest.mark.parametrize(
    "arguments, fields",
    [
        (("read", 1.5009, 1, ""), b"lane=read,ttl=1500"),
        (("read", -1.0, 1, ""), b"lane=read,ttl=1"),
        (("load", 2.0, 3, "k-7"), b"lane=load,ttl=2000,urgency=3,dedupe=k-7"),
        (("load", 2.0, 0, ""), b"lane=load,ttl=2000,urgency=0"),
    ],
)
def test_the_fields_of_an_execute_command_name_what_differs_from_the_default(arguments, fields):
    assert resp.encode_execute_fields(*arguments) == fields


def test_a_result_of_several_pages_is_fetched_at_once_and_assembled_in_order():
    results = []
    running = attempt.Attempt(attempt.AttemptSpec(b"7", "read", b"", 1.0, 1.0), results.append)
    running.connection = FakeConnection()
    running.message = QueuedMessage(b"", write_started=True)
    fields = {"sheets": "3", "toil": "1500", "room": "4"}
    running.handle_reply(resp.Reply(b"7", resp.REPLY_RESULT, fields, b"a\tb\tc\n"), (2.0,))
    assert running.connection.commands == [(b"turn", b"7", b"1"), (b"turn", b"7", b"2")]
    for page in (2, 1, 1):
        rows = b"%d\tb\tc\n" % page
        running.handle_reply(resp.Reply(b"7", resp.REPLY_PAGE, {"sheet": str(page)}, rows), ())
    expected = attempt.AttemptSucceeded(b"a\tb\tc\n1\tb\tc\n2\tb\tc\n", 1.5, 4.0, (2.0,))
    assert results == [expected]


def test_a_result_beyond_the_bound_is_released_and_fails():
    results = []
    running = attempt.Attempt(attempt.AttemptSpec(b"7", "read", b"", 1.0, 1.0), results.append)
    running.connection = FakeConnection()
    running.message = QueuedMessage(b"", write_started=True)
    running.connection.write_queue = running.connection
    running.connection.withdraw = lambda message: False
    rows = b"a\tb\tc\n" * (attempt.MAX_RESULT_BYTES // 6 + 1)

    async def test(loop):
        running.handle_reply(resp.Reply(b"7", resp.REPLY_RESULT, {"sheets": "1"}, rows), ())

    run(test)
    assert running.is_cancelled
    assert running.connection.commands == [(b"shut", b"7")]
    assert results == []


def test_a_silent_connection_is_pinged_and_closed_without_a_reply():
    async def test(loop):
        connection = FakeConnection()
        monitor = LivenessMonitor(connection)
        monitor.start()
        await advance(loop, 3.0)
        assert list(connection.streams.probes) == [b"p1"] and not connection.closed
        await advance(loop, 0.4)
        assert connection.closed == ["no reply to a ping"] and connection.corrupt_count == 1

    run(test)


def test_a_connection_that_replies_is_not_closed_and_pinged_only_after_silence():
    async def test(loop):
        connection = FakeConnection()
        monitor = LivenessMonitor(connection)
        monitor.start()
        loop.now += 2.0
        monitor.last_active_at = loop.now
        await advance(loop, 1.0)
        assert not connection.streams.probes
        await advance(loop, 2.0)
        assert list(connection.streams.probes) == [b"p1"]
        connection.streams.probes.clear()
        monitor.last_active_at = loop.now
        await advance(loop, 0.4)
        assert not connection.closed and not connection.streams.probes

    run(test)


def test_a_stalled_loop_proves_nothing_about_a_connection():
    async def test(loop):
        connection = FakeConnection()
        monitor = LivenessMonitor(connection)
        monitor.start()
        await advance(loop, 3.0 + 2 * MAX_TIMER_LATENESS_SECONDS)
        assert not connection.streams.probes
        await advance(loop, 0.4)
        assert list(connection.streams.probes) == [b"p1"] and not connection.closed

    run(test)


def test_a_stopped_monitor_does_nothing_and_starts_anew():
    async def test(loop):
        connection = FakeConnection()
        monitor = LivenessMonitor(connection)
        monitor.start()
        loop.now += 2.9
        monitor.stop()
        await advance(loop, 1.0)
        assert not connection.streams.probes
        monitor.start()
        assert monitor.last_active_at == loop.now

    run(test)


class PacedEngine:
    """A pool with one engine whose connections are paced, and the updates that the policy gets."""

    def __init__(self, loop):
        self.schedule = ConnectSchedule(20.0, 40, 3)
        self.endpoints = GatedEndpoints()
        self.submitted = []
        self.changed_at = []
        self.pacer = ConnectPacer(
            self.schedule,
            self.endpoints,
            self.submitted.append,
            lambda: self.changed_at.append(loop.now),
        )
        limits = ConnectionLimits(32, 15.0, 5.0)
        self.pool = EnginePool(limits, (), 8, Counters(), connect_policy=self.pacer)
        self.update = EndpointUpdate(1, True, (Endpoint(api.EngineEntry(1), ("127.0.0.1", 1)),))

    def list_engine(self):
        self.pool.update(self.update)
        self.pacer.on_list_change(self.pool.listed_engines(), self.pool.connected_engines())

    def shown_states(self):
        return [update.entries[0].state for update in self.submitted]


def test_an_engine_is_shown_as_not_ready_until_a_connection_to_it_may_be_opened():
    async def test(loop):
        paced = PacedEngine(loop)
        wait = paced.schedule.slot_offset(1)
        paced.list_engine()
        assert wait > 0.1 and not paced.pool.connect_policy.may_connect(1)
        assert paced.endpoints.apply_update(paced.update).entries[0].state is api.State.DRAINING
        await advance(loop, wait / 2)
        assert not paced.submitted and not paced.changed_at
        await advance(loop, wait / 2)
        assert paced.shown_states() == [api.State.READY]
        assert paced.changed_at == [loop.now] and paced.pool.connect_policy.may_connect(1)

    run(test)


def test_an_engine_whose_last_connection_ended_waits_for_its_next_slot():
    async def test(loop):
        paced = PacedEngine(loop)
        paced.list_engine()
        paced.endpoints.apply_update(paced.update)
        await advance(loop, paced.schedule.slot_offset(1))
        paced.pool.connect_policy.record_connect(1)
        paced.submitted.clear()
        paced.pool.connect_policy.record_disconnect(1)
        assert paced.shown_states() == [api.State.DRAINING] and not paced.pool.connect_policy.may_connect(1)
        await advance(loop, paced.schedule.allowed_from[1] - loop.now)
        assert paced.shown_states() == [api.State.DRAINING, api.State.READY]

    run(test)
