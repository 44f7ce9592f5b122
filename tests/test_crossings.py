"""Tests of races between two events, on real sockets and in a forced order (docs/crossings.md)."""

import asyncio
import gc
import socket
import time

import hiredis
import msgpack
import pytest
from test_event_loop_driver import FakeController

from applevale import api
from applevale.discovery import endpoints
from applevale.dispatch.arrival_order import MAX_ORDER_WAIT_SECONDS
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines import resp
from applevale.engines.attempt import AttemptFailed, AttemptSpec, AttemptSucceeded, Progress
from applevale.engines.limits import ConnectionLimits
from applevale.engines.pool import EnginePool
from applevale.observability.counters import Counters
from applevale.requests import context, handler, model
from applevale.server import connection as server_connection
from applevale.server.limits import ServerLimits
from applevale.server.listener import RpcServer

SAFE = api.ClassSpec("read", deadline=30.0)
UNSAFE = api.ClassSpec("write", deadline=30.0, repeat=api.RepeatPolicy.UNSAFE)
KEYED = api.ClassSpec("merge", deadline=30.0, repeat=api.RepeatPolicy.KEYED, repeat_window=0.2)
SETTINGS = api.Settings((SAFE, UNSAFE, KEYED), (api.KindSpec("k"),))
RESET = AttemptFailed(Progress.POSSIBLY_EXECUTED, api.Result.RESET)
REJECTED = AttemptFailed(Progress.SENT_NOT_EXECUTED, api.Result.REJECTED)
SUCCEEDED = AttemptSucceeded(b"r")


class GatedConnectLoop(asyncio.SelectorEventLoop):
    """An event loop on which connecting waits until `may_connect` is set."""

    def __init__(self):
        super().__init__()
        self.may_connect = asyncio.Event()
        self.may_connect.set()

    async def sock_connect(self, sock, address):
        await self.may_connect.wait()
        return await super().sock_connect(sock, address)


class SilentEngine:
    """An engine that records commands and never replies; connections are read once `may_read` is set."""

    def __init__(self):
        self.commands = []
        self.writers = []
        self.may_read = asyncio.Event()
        self.may_read.set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=4096)
        self.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.address = self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        parser = hiredis.Reader()
        self.writers.append(writer)
        await self.may_read.wait()
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not False:
                self.commands.append(command)

    def request_ids(self):
        """Return the request ids of the received execute commands."""
        return [command[1] for command in self.commands if command[0] == resp.CMD_EXECUTE]


class OneEngineSetup:
    """A request handler with a pool of one engine; the fake controller makes no decisions of its own."""

    def __init__(self, engine, drain_grace=0.2):
        self.engine = engine
        self.pool = EnginePool(ConnectionLimits(32, 15.0, 5.0, drain_grace=drain_grace), (), 8, Counters())
        self.driver = EventLoopDriver(FakeController(), self.pool, self.pool.counters)
        self.handler = handler.RequestHandler(self.driver, self.pool, SETTINGS, self.pool.counters)
        self.results = []
        self.set_engine_state(api.EngineState.READY)

    def set_engine_state(self, state):
        entry = api.EngineEntry(1, state=state)
        self.pool.update(endpoints.EndpointUpdate(1, True, (endpoints.Endpoint(entry, self.engine.address),)))

    def start_attempt(
        self, request_id, statement=b"x", timeout=30.0, start_window=30.0, is_client_gone=lambda: False
    ):
        now = asyncio.get_running_loop().time()
        spec = AttemptSpec(
            request_id,
            "read",
            statement,
            now + timeout,
            now + start_window,
            is_client_gone=is_client_gone,
        )
        return self.pool.start_attempt(
            1, spec, set(), lambda result: self.results.append((request_id, result))
        )

    def handle(self, class_index, is_client_gone=lambda: False):
        """Start a task that handles a request of a class, and return it."""
        request = model.Request(
            b"%016x" % class_index,
            class_index,
            b"x",
            self.driver.now(),
            30.0,
            is_client_gone=is_client_gone,
        )
        return asyncio.create_task(self.handler.handle(request))

    async def handle_with_attempt(self, class_index):
        """Start to handle a request; return its task and context when an attempt has reached the engine."""
        task = self.handle(class_index)
        await wait_until(lambda: self.handler.active)
        (request_context,) = self.handler.active
        request_context.inbox.put_nowait(api.Send(request_context.number, 1))
        await wait_until(self.engine.request_ids)
        return task, request_context


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.001)


def run_steps(steps):
    """Run the coroutine function `steps` with a setup of one engine, and return its result."""

    async def main():
        engine = SilentEngine()
        await engine.start()
        try:
            return await steps(OneEngineSetup(engine))
        finally:
            for writer in engine.writers:
                writer.transport.abort()
            engine.server.close()

    loop = GatedConnectLoop()
    try:
        return loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
            loop.run_until_complete(asyncio.wait([task]))
        loop.close()


@pytest.mark.parametrize("attempt_ends_first", [False, True])
@pytest.mark.parametrize("signal", [context.DeadlineReached, context.DiscoveryStale])
@pytest.mark.parametrize(
    "class_index, result, response",
    [
        (0, RESET, model.Rejected(0.0)),
        (0, REJECTED, model.Rejected(0.0)),
        (0, SUCCEEDED, model.Completed(b"r")),
        (1, RESET, model.Failed()),
        (1, REJECTED, model.Rejected(0.0)),
        (1, SUCCEEDED, model.Completed(b"r")),
        (2, RESET, model.Failed()),
        (2, REJECTED, model.Rejected(0.0)),
        (2, SUCCEEDED, model.Completed(b"r")),
    ],
)
def test_an_attempt_that_ends_in_the_same_iteration_determines_the_final_response(
    class_index, result, response, signal, attempt_ends_first
):
    """The result of the attempt takes precedence over the signal, even if the signal is first in the inbox.

    Otherwise a request that may have been executed could be rejected, or its result could be lost.
    """

    async def steps(setup):
        task, request_context = await setup.handle_with_attempt(class_index)
        racing_events = [
            lambda: request_context.inbox.put_nowait(signal()),
            lambda: request_context.in_flight.finish(result),
        ]
        for event in reversed(racing_events) if attempt_ends_first else racing_events:
            event()
        return await task

    assert run_steps(steps) == response


@pytest.mark.parametrize("decision", [api.Reject(1), api.Fail(1)])
def test_a_success_right_after_a_decision_is_still_the_response(decision):
    async def steps(setup):
        task, request_context = await setup.handle_with_attempt(0)
        request_context.inbox.put_nowait(decision)
        request_context.in_flight.finish(AttemptSucceeded(b"r"))
        return await task

    assert run_steps(steps) == model.Completed(b"r")


@pytest.mark.parametrize("connects, response", [(False, model.Rejected(0.0)), (True, model.Failed())])
def test_the_final_response_depends_on_whether_the_attempt_in_flight_was_sent(connects, response):
    """An attempt that waits for its connection was not executed; one that was sent may have been."""

    async def steps(setup):
        loop = asyncio.get_running_loop()
        if connects:
            task, request_context = await setup.handle_with_attempt(1)
        else:
            loop.may_connect.clear()
            task = setup.handle(1)
            await wait_until(lambda: setup.handler.active)
            (request_context,) = setup.handler.active
            request_context.inbox.put_nowait(api.Send(request_context.number, 1))
            await wait_until(lambda: request_context.in_flight)
        setup.handler.respond_to_all()
        actual = await task
        loop.may_connect.set()
        engine = setup.pool.engines[1]
        await wait_until(lambda: not engine.connections or engine.connections[0].is_connected)
        return actual, setup.engine.request_ids()

    assert run_steps(steps) == (response, [b"%016x" % 1] if connects else [])


def test_the_time_to_live_at_the_engine_excludes_the_time_to_connect():
    async def steps(setup):
        loop = asyncio.get_running_loop()
        loop.may_connect.clear()
        setup.start_attempt(b"1", timeout=2.0)
        await asyncio.sleep(0.3)
        loop.may_connect.set()
        await wait_until(setup.engine.request_ids)
        return int(setup.engine.commands[0][2].partition(b"ttl=")[2])

    assert run_steps(steps) <= 1700


@pytest.mark.parametrize("change", ["window", "drain", "engine gone", "cancelled", "client gone"])
def test_an_attempt_that_may_not_be_sent_after_a_slow_connect_is_dropped(change):
    async def steps(setup):
        loop = asyncio.get_running_loop()
        has_hung_up = False
        loop.may_connect.clear()
        attempt = setup.start_attempt(
            b"1", start_window=0.0 if change == "window" else 30.0, is_client_gone=lambda: has_hung_up
        )
        if change == "window":
            attempt = setup.start_attempt(b"2", start_window=0.05)
            await asyncio.sleep(0.06)
        elif change == "drain":
            setup.set_engine_state(api.EngineState.DRAINING)
        elif change == "engine gone":
            setup.set_engine_state(api.EngineState.GONE)
        elif change == "client gone":  # its hang-up is still unread
            has_hung_up = True
        else:
            attempt.cancel(api.Result.TIMEOUT)
        loop.may_connect.set()
        await wait_until(lambda: attempt.is_finished)
        setup.set_engine_state(api.EngineState.READY)
        setup.start_attempt(b"9")
        await wait_until(setup.engine.request_ids)
        return setup.engine.request_ids(), {
            result.result for request_id, result in setup.results if request_id != b"9"
        }

    assert run_steps(steps) == ([b"9"], {api.Result.WITHDRAWN})


def test_a_retry_is_not_sent_after_the_repeat_window():
    async def steps(setup):
        task, request_context = await setup.handle_with_attempt(2)
        request_context.in_flight.finish(RESET)
        asyncio.get_running_loop().may_connect.clear()
        request_context.inbox.put_nowait(api.Send(request_context.number, 1))
        await wait_until(lambda: request_context.in_flight)
        await asyncio.sleep(KEYED.repeat_window)
        asyncio.get_running_loop().may_connect.set()
        await wait_until(lambda: not request_context.in_flight)
        task.cancel()
        return len(setup.engine.request_ids())

    assert run_steps(steps) == 1


def test_a_drain_withdraws_commands_that_wait_for_a_full_socket_buffer():
    """Commands must not reach an engine after the grace period of its drain.

    Commands behind a full socket buffer could reach it up to 1 s after the start of the drain. The default
    grace period is 0.5 s, and this test sets 0.2 s.
    """

    async def steps(setup):
        setup.engine.may_read.clear()
        # If handshakes have a cost, all attempts share one connection.
        setup.pool.limits = ConnectionLimits(32, 15.0, 5.0, handshake_cost=1.0, drain_grace=0.2)
        for number in range(30):
            setup.start_attempt(b"%d" % number, b"x" * 800_000)
            await asyncio.sleep(0.002)
        engine_connection = setup.pool.engines[1].connections[0]
        attempts = engine_connection.streams.attempts
        started = {request_id for request_id, attempt in attempts.items() if attempt.message.write_started}
        setup.set_engine_state(api.EngineState.DRAINING)
        withdrawn = {
            request_id for request_id, result in setup.results if result.result is api.Result.WITHDRAWN
        }
        drained_at = time.monotonic()
        await wait_until(lambda: len(setup.results) == 30)
        duration = time.monotonic() - drained_at
        setup.engine.may_read.set()
        await asyncio.sleep(0.05)
        return started, withdrawn, duration, set(setup.engine.request_ids())

    started, withdrawn, duration, received = run_steps(steps)
    assert withdrawn and started
    assert not started & withdrawn
    assert not received & withdrawn
    assert duration < 0.5


def test_an_ejection_withdraws_commands_that_wait_for_their_connection():
    async def steps(setup):
        asyncio.get_running_loop().may_connect.clear()
        attempt = setup.start_attempt(b"1")
        await asyncio.sleep(0)
        setup.pool.withdraw_unsent(1)
        return attempt.is_finished, setup.results

    assert run_steps(steps) == (True, [(b"1", AttemptFailed(Progress.NOT_SENT, api.Result.WITHDRAWN))])


def test_nothing_is_sent_for_a_client_whose_hang_up_is_unread():
    async def steps(setup):
        task = setup.handle(0, lambda: True)
        await wait_until(lambda: setup.handler.active)
        (request_context,) = setup.handler.active
        request_context.inbox.put_nowait(api.Send(request_context.number, 1))
        await wait_until(request_context.inbox.empty)
        submitted = setup.driver.event_queue.events + [
            event for batch in setup.driver.controller.batches for event in batch
        ]
        task.cancel()
        return request_context.in_flight, [
            event.result for event in submitted if isinstance(event, api.AttemptOutcome)
        ]

    assert run_steps(steps) == (None, [api.Result.WITHDRAWN])


def test_after_a_stall_sockets_are_read_before_a_batch_decides():
    """A batch that decides first could send requests for clients whose hang-up is unread."""

    async def steps(setup):
        server_socket, client_socket = socket.socketpair()
        server_socket.setblocking(False)

        async def read():
            await asyncio.get_running_loop().sock_recv(server_socket, 1)
            setup.driver.submit(api.ClientGone(7))

        controller = setup.driver.controller
        read_task = asyncio.create_task(read())
        setup.driver.submit(api.TimerFired(1))
        await wait_until(lambda: controller.batches)
        setup.driver.submit(api.TimerFired(2))
        client_socket.send(b"x")
        time.sleep(0.15)  # stalls the loop until after the batch is due
        await wait_until(lambda: len(controller.batches) > 1)
        await read_task
        server_socket.close()
        client_socket.close()
        return controller.batches[1]

    assert run_steps(steps) == [api.TimerFired(2), api.ClientGone(7)]


def open_client_connection(setup):
    """Return a new connection of the server, and the socket of its client."""
    if not hasattr(setup, "rpc_server"):
        setup.rpc_server = RpcServer(
            setup.handler, setup.driver, SETTINGS, ServerLimits(2, 1 << 20), setup.pool.counters
        )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_socket = socket.create_connection(listener.getsockname())
        server_socket, _ = listener.accept()
    server_socket.setblocking(False)
    setup.rpc_server.accept_connection(server_socket, setup.driver.now(), True)
    return list(setup.rpc_server.connections)[-1], client_socket


@pytest.mark.parametrize("unread_data", [b"", b"junk"])
def test_a_client_that_has_hung_up_counts_as_gone_before_its_hang_up_is_read(unread_data):
    async def steps(setup):
        connection, client_socket = open_client_connection(setup)
        gone_at_first = connection.is_client_gone()
        client_socket.sendall(unread_data)
        gone_after_data = connection.is_client_gone()
        client_socket.close()
        return gone_at_first, gone_after_data, connection.is_client_gone()

    assert run_steps(steps) == (False, False, True)


def test_the_pause_after_invalid_requests_is_short_while_calls_are_open():
    async def steps(setup):
        connection, client_socket = open_client_connection(setup)
        connection.invalid_requests = 40
        idle_backoff = connection.error_backoff()
        connection.calls[1] = None
        busy_backoff = connection.error_backoff()
        connection.calls.clear()
        client_socket.close()
        return idle_backoff, busy_backoff

    idle_backoff, busy_backoff = run_steps(steps)
    assert idle_backoff == server_connection.MAX_ERROR_BACKOFF_SECONDS
    assert busy_backoff <= 0.05


def test_a_connection_that_arrives_in_the_loop_iteration_of_the_shutdown_is_served():
    """If the shutdown cancelled an accept that already has the connection, the client would be reset."""

    async def steps(setup):
        loop = asyncio.get_running_loop()
        setup.rpc_server = RpcServer(
            setup.handler, setup.driver, SETTINGS, ServerLimits(2, 1 << 20), setup.pool.counters
        )
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        setup.rpc_server.start(listener)
        await asyncio.sleep(0)
        client_socket = socket.create_connection(listener.getsockname())
        # Runs after the iteration that finds the listener readable, before the task that waits for it.
        loop.call_soon(lambda: loop.call_soon(setup.rpc_server.stop_accepting))
        client_socket.sendall(msgpack.packb([0, 1, "probe", [{}]]))
        client_socket.setblocking(False)
        async with asyncio.timeout(20):
            response = await loop.sock_recv(client_socket, 100)
        client_socket.close()
        return response

    assert run_steps(steps) == msgpack.packb([1, 1, None, [False, {}]])


@pytest.mark.parametrize("rest", [b"", msgpack.packb([0, 1, "probe", [{}]])[5:]])
def test_a_message_that_is_complete_before_its_overdue_timeout_runs_is_handled(rest, monkeypatch):
    """After a stall, the timeout and the rest of the message are due together; the rest must not be lost."""
    monkeypatch.setattr(server_connection, "MESSAGE_TIMEOUT_SECONDS", 0.05)
    message = msgpack.packb([0, 1, "probe", [{}]])

    async def steps(setup):
        loop = asyncio.get_running_loop()
        connection, client_socket = open_client_connection(setup)
        client_socket.sendall(message[:5])
        await wait_until(lambda: connection.incomplete_bytes)
        client_socket.sendall(rest)
        time.sleep(0.1)
        client_socket.setblocking(False)
        async with asyncio.timeout(20):
            response = await loop.sock_recv(client_socket, 100)
        client_socket.close()
        return response, setup.pool.counters["unfinished_messages"]

    reply = msgpack.packb([1, 1, None, [False, {}]])
    assert run_steps(steps) == ((reply, 0) if rest else (b"", 1))


# The review saw that a client which writes its next request slowly lost its open requests after 2 s.
def test_a_client_with_an_unfinished_message_gets_the_responses_to_its_open_calls(monkeypatch):
    """The connection is closed once nothing is open on it and the message is still not complete."""
    monkeypatch.setattr(server_connection, "MESSAGE_TIMEOUT_SECONDS", 0.02)
    overdue = []
    on_message_overdue = server_connection.ClientConnection._on_message_overdue

    def record_overdue(self, reader):
        overdue.append(self)
        on_message_overdue(self, reader)

    monkeypatch.setattr(server_connection.ClientConnection, "_on_message_overdue", record_overdue)
    fields = {"ref": "1" * 16, "allow": "20000", "effort": "1", "space": "1"}
    request = msgpack.packb([0, 1, "write", [fields, b"insert into a_1.b"]])

    async def steps(setup):
        loop = asyncio.get_running_loop()
        connection, client_socket = open_client_connection(setup)
        client_socket.sendall(request + b"\x94")
        await wait_until(lambda: setup.handler.active)
        (request_context,) = setup.handler.active
        await wait_until(lambda: len(overdue) >= 3)
        assert connection.calls and connection in setup.rpc_server.connections
        request_context.inbox.put_nowait(api.Reject(request_context.number))
        client_socket.setblocking(False)
        received = b""
        async with asyncio.timeout(20):
            while data := await loop.sock_recv(client_socket, 100):
                received += data
        client_socket.close()
        return received, setup.pool.counters["unfinished_messages"]

    assert run_steps(steps) == (msgpack.packb([1, 1, ["Full", {}], None]), 1)


def test_an_idle_connection_with_an_unread_message_is_not_evicted():
    async def steps(setup):
        receiving_connection, receiving_client = open_client_connection(setup)
        idle_connection, idle_client = open_client_connection(setup)
        await asyncio.sleep(0)
        for connection in (receiving_connection, idle_connection):
            setup.rpc_server.connections.update_idle(connection)
        receiving_client.sendall(b"\x94")
        new_connection, new_client = open_client_connection(setup)
        connections = (receiving_connection, idle_connection, new_connection)
        are_open = [connection in setup.rpc_server.connections for connection in connections]
        for client_socket in (receiving_client, idle_client, new_client):
            client_socket.close()
        return are_open

    assert run_steps(steps) == [True, False, True]


def test_connections_leave_nothing_for_the_garbage_collector():
    """With a reference cycle for each connection, memory could run out before the collector runs."""

    async def steps(setup):
        connection, client_socket = open_client_connection(setup)
        setup.start_attempt(b"1")
        await wait_until(setup.engine.request_ids)
        engine_connection = setup.pool.engines[1].connections[0]
        types = {type(connection), type(engine_connection), type(connection.write_queue)}
        gc.collect()
        gc.disable()
        try:
            gc.set_debug(gc.DEBUG_SAVEALL)
            client_socket.close()
            engine_connection.close("closed by the test")
            await wait_until(
                lambda: not setup.rpc_server.connections and not setup.pool.engines[1].connections
            )
            del connection, engine_connection
            await asyncio.sleep(0.05)
            gc.collect()
            return [garbage_type for garbage_type in map(type, gc.garbage) if garbage_type in types]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()

    assert run_steps(steps) == []


def test_an_idle_connection_that_the_engine_has_closed_is_not_used_even_if_the_close_is_unread():
    """A command written after the close counts as possibly executed, so its request might not be retried."""

    async def steps(setup):
        setup.start_attempt(b"1")
        await wait_until(setup.engine.request_ids)
        (first_connection,) = setup.pool.engines[1].connections
        first_connection.streams.attempts[b"1"].finish(REJECTED)
        # The event loop does not read the close before the next attempt starts.
        setup.engine.writers[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        first_connection.send_command = None  # fails the test if the connection is used
        setup.start_attempt(b"2")
        await wait_until(lambda: b"2" in setup.engine.request_ids())
        return len(setup.engine.writers)

    assert run_steps(steps) == 2


def test_a_connection_with_a_truncated_reply_is_not_used_again():
    """The rest of the truncated reply would corrupt the next one, so a successful request would fail."""

    async def steps(setup):
        attempt = setup.start_attempt(b"1")
        await wait_until(setup.engine.request_ids)
        setup.engine.writers[0].write(b"*4\r\n$1\r\n1\r\n$3\r\nHI")
        (first_connection,) = setup.pool.engines[1].connections
        await wait_until(lambda: first_connection.transport.parser.unparsed)
        attempt.cancel(api.Result.CANCELLED)
        await wait_until(lambda: attempt.is_finished)
        setup.start_attempt(b"2")
        await wait_until(lambda: b"2" in setup.engine.request_ids())
        return len(setup.engine.writers)

    assert run_steps(steps) == 2


def test_a_shutdown_rejects_requests_that_wait_for_the_order_of_arrivals_to_be_known():
    async def steps(setup):
        setup.driver.stall_monitor.order_known.clear()  # the state after a stall
        request = model.Request(b"1", 1, b"x", setup.driver.now(), 30.0, order_key=7)
        task = asyncio.create_task(setup.handler.handle(request))
        await asyncio.sleep(0)
        setup.handler.set_shutdown_deadline(setup.driver.now())
        setup.handler.respond_to_all()
        return await asyncio.wait_for(task, 5)

    assert run_steps(steps) == model.Rejected(0.0)


@pytest.mark.parametrize("timeout, expected_wait", [(0.3, 0.3), (30.0, MAX_ORDER_WAIT_SECONDS)])
def test_a_request_is_answered_in_time_while_the_order_of_arrivals_stays_unknown(timeout, expected_wait):
    # Case 8 of the review: while stalls went on, loads with a key waited without a limit.
    async def steps(setup):
        monitor = setup.driver.stall_monitor
        monitor.order_known.clear()  # the state after a stall, which further stalls prolong
        started_at = setup.driver.now()
        request = model.Request(b"1", 1, b"x", started_at, timeout, order_key=7)
        task = asyncio.create_task(setup.handler.handle(request))
        response = await asyncio.wait_for(task, expected_wait + 10)
        return response, setup.driver.now() - started_at, len(setup.handler.active)

    response, waited, active_count = run_steps(steps)
    assert response == model.Rejected(0.0)
    assert waited >= expected_wait - handler.FINAL_RESPONSE_MARGIN_SECONDS - 0.001
    assert active_count == 0


def test_a_request_that_comes_as_the_order_is_known_again_does_not_overtake_those_that_waited():
    # Case 6 of the review: after a stall loads ran ahead of earlier ones with their key.
    async def steps(setup):
        monitor = setup.driver.stall_monitor
        monitor.order_known.clear()  # the state after a stall
        requests = [
            model.Request(b"%016x" % index, 1, b"x", setup.driver.now(), 30.0, order_key=7)
            for index in range(5)
        ]
        tasks = [asyncio.create_task(setup.handler.handle(request)) for request in requests[:2]]
        await asyncio.sleep(0)
        # These begin in the loop iteration in which those that waited are resumed, before or after them.
        tasks.append(asyncio.create_task(setup.handler.handle(requests[2])))
        monitor.order_known.set()
        tasks.append(asyncio.create_task(setup.handler.handle(requests[3])))
        await asyncio.sleep(0)
        tasks.append(asyncio.create_task(setup.handler.handle(requests[4])))
        await wait_until(lambda: len(setup.handler.active) == len(requests))
        numbers = {context.request: context.number for context in setup.handler.active}
        for task in tasks:
            task.cancel()
        return [numbers[request] for request in requests]

    numbers = run_steps(steps)
    assert numbers == sorted(numbers)
