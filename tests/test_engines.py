"""Tests of the engine pool without sockets: protocol, attempts, liveness checks, paced connecting."""

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
    """An event loop whose clock is advanced by the test."""

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
    """Advance the clock and run the timers that are due, which takes two loop iterations."""
    loop.now += seconds
    await asyncio.sleep(0)
    await asyncio.sleep(0)


class FakeConnection:
    """An engine connection that records commands; it is its own pool."""

    def __init__(self):
        self.is_closed = False
        self.is_connected = True
        self.stream_count = 1
        self.streams = StreamTable()
        self.pool = self
        self.commands = []
        self.close_reasons = []
        self.corrupt_count = 0

    def ping_interval(self):
        return 3.0

    def next_probe_tag(self):
        return b"p1"

    def record_corruption(self):
        self.corrupt_count += 1

    def ping(self, tag):
        self.streams.probes[tag] = None

    def close(self, reason):
        self.close_reasons.append(reason)

    def send_command(self, *parts, on_written=None):
        self.commands.append(parts)

    def remove_attempt(self, attempt):
        pass


def test_commands_have_their_names_on_the_wire():
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
def test_an_execute_command_has_no_fields_for_default_values(arguments, fields):
    assert resp.encode_execute_fields(*arguments) == fields


def test_all_pages_of_a_result_are_requested_at_once_and_joined_in_order():
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


def test_a_result_above_the_size_limit_is_released():
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


def test_a_silent_connection_is_pinged_and_closed_if_no_reply_comes():
    async def test(loop):
        connection = FakeConnection()
        monitor = LivenessMonitor(connection)
        monitor.start()
        await advance(loop, 3.0)
        assert list(connection.streams.probes) == [b"p1"] and not connection.close_reasons
        await advance(loop, 0.4)
        assert connection.close_reasons == ["no reply to a ping"] and connection.corrupt_count == 1

    run(test)


def test_a_ping_is_sent_only_after_silence_and_its_reply_keeps_the_connection_open():
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
        assert not connection.close_reasons and not connection.streams.probes

    run(test)


def test_a_stall_of_the_event_loop_does_not_count_as_silence_of_a_connection():
    async def test(loop):
        connection = FakeConnection()
        monitor = LivenessMonitor(connection)
        monitor.start()
        await advance(loop, 3.0 + 2 * MAX_TIMER_LATENESS_SECONDS)
        assert not connection.streams.probes
        await advance(loop, 0.4)
        assert list(connection.streams.probes) == [b"p1"] and not connection.close_reasons

    run(test)


def test_a_stopped_monitor_sends_no_pings_and_can_be_started_again():
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
    """A pool with one engine, a connect pacer, and the updates that the admission controller gets."""

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

    def submitted_states(self):
        return [update.entries[0].state for update in self.submitted]


def test_an_engine_is_presented_as_not_ready_until_a_connection_to_it_may_be_opened():
    async def test(loop):
        paced = PacedEngine(loop)
        wait = paced.schedule.slot_offset(1)
        paced.list_engine()
        assert wait > 0.1 and not paced.pool.connect_policy.may_connect(1)
        assert paced.endpoints.apply_update(paced.update).entries[0].state is api.EngineState.DRAINING
        await advance(loop, wait / 2)
        assert not paced.submitted and not paced.changed_at
        await advance(loop, wait / 2)
        assert paced.submitted_states() == [api.EngineState.READY]
        assert paced.changed_at == [loop.now] and paced.pool.connect_policy.may_connect(1)

    run(test)


def test_an_engine_whose_last_connection_has_ended_waits_for_its_next_slot():
    async def test(loop):
        paced = PacedEngine(loop)
        paced.list_engine()
        paced.endpoints.apply_update(paced.update)
        await advance(loop, paced.schedule.slot_offset(1))
        paced.pool.connect_policy.record_connect(1)
        paced.submitted.clear()
        paced.pool.connect_policy.record_disconnect(1)
        assert paced.submitted_states() == [api.EngineState.DRAINING]
        assert not paced.pool.connect_policy.may_connect(1)
        await advance(loop, paced.schedule.next_connect_at[1] - loop.now)
        assert paced.submitted_states() == [api.EngineState.DRAINING, api.EngineState.READY]

    run(test)
