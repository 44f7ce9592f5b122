"""Tests of the turns in which connections are read, and of what a flood of requests costs other clients."""

import asyncio
import socket
from itertools import chain

import msgpack
import pytest
import uvloop
from rpc_client import pack_cancellation, pack_request

from applevale import api
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.observability.counters import Counters
from applevale.requests.model import Completed, Rejected
from applevale.server import turn_scheduler
from applevale.server.connection import (
    FIRST_TURN_READ_BYTES,
    MAX_MESSAGES_OF_FIRST_TURN,
    MAX_MESSAGES_PER_TURN,
)
from applevale.server.limits import ServerLimits
from applevale.server.listener import RpcServer
from applevale.server.rpc_connection import MAX_IMMEDIATE_CANCELLATIONS
from applevale.server.turn_scheduler import TurnResult, TurnScheduler

LOOPBACK = "127.0.0.1"
SETTINGS = api.Settings((api.ClassSpec("read", deadline=30.0),), (api.KindSpec("k"),))


class HangingRequestHandler:
    """Answers the requests of one statement at once, and all others once `may_answer_all` is set."""

    def __init__(self, answered_statement):
        self.answered_statement = answered_statement
        self.may_answer_all = asyncio.Event()

    async def handle(self, request):
        if request.statement != self.answered_statement:
            await self.may_answer_all.wait()
        return Completed(b"row")

    def reject(self):
        return Rejected(0.0)

    def on_response_delivered(self, request):
        """Do nothing."""


class ServerUnderFlood:
    """A server whose listening socket can have clients in its accept queue before it starts."""

    def __init__(self, max_connections=500, max_buffered_bytes=1 << 24):
        self.counters = Counters()
        self.listener = socket.create_server((LOOPBACK, 0), backlog=512)
        self.listener.setblocking(False)
        self.handler = HangingRequestHandler(b"select 1 from air_1.usual")
        self.server = RpcServer(
            self.handler,
            EventLoopDriver(None, None, self.counters),
            SETTINGS,
            ServerLimits(max_connections, max_buffered_bytes),
            self.counters,
        )
        self.clients = []

    def connect(self, data=b""):
        """Connect a client, send data, and return its socket."""
        client = socket.create_connection(self.listener.getsockname())
        client.sendall(data)
        self.clients.append(client)
        return client

    def close(self):
        """End all connections."""
        self.server.stop_accepting()
        for connection in list(self.server.connections):
            connection.stop("")
        for client in self.clients:
            client.close()


def run_with_server(scenario, **limits):
    """Run a coroutine function with a server that has not started, on the program's kind of event loop."""

    async def run():
        setup = ServerUnderFlood(**limits)
        try:
            return await scenario(setup)
        finally:
            setup.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def pack_usual_request(message_id=1, reference=1, statement=b"select 1 from air_1.usual"):
    """Return a request, which the handler answers at once unless it has another statement."""
    fields = {"ref": f"{reference:016x}", "allow": "3000"}
    return pack_request(message_id, "read", fields, statement)


def pack_cancelled_requests(count, first_reference, first_id=1):
    """Return requests, each of which is cancelled right behind it."""
    return b"".join(
        chain.from_iterable(
            (
                pack_request(
                    number, "read", {"ref": f"{first_reference + number:016x}", "allow": "3000"}, b"select 2"
                ),
                pack_cancellation(number),
            )
            for number in range(first_id, first_id + count)
        )
    )


async def read_responses(client, count):
    """Return the next responses of the server, fewer if it closes the connection."""
    client.setblocking(False)
    unpacker = msgpack.Unpacker()
    responses = []
    async with asyncio.timeout(30):
        while len(responses) < count:
            try:
                data = await asyncio.get_running_loop().sock_recv(client, 65536)
            except ConnectionResetError:
                break
            if not data:
                break
            unpacker.feed(data)
            responses += unpacker
    return responses


def test_a_new_client_does_not_wait_for_what_clients_before_it_sent():
    # Case 7 of the review: clients in the accept queue waited until all before them had been handled.
    bad_clients = 60
    requests_each = 200

    async def scenario(setup):
        for index in range(bad_clients):
            setup.connect(pack_cancelled_requests(requests_each, index << 32)).close()
        client = setup.connect(pack_usual_request(1, 0xFFFF << 32))
        setup.server.start(setup.listener)
        responses = await read_responses(client, 1)
        return responses, setup.counters["given_up"]

    responses, cancellations = run_with_server(scenario)
    assert responses == [[1, 1, None, [b"row", {}]]]
    # At most one turn of each of them came first, and one round of those with more input.
    assert cancellations <= 2 * bad_clients * MAX_MESSAGES_PER_TURN


def test_the_first_turn_of_a_connection_is_short_unless_its_first_message_is_long():
    # 341 new clients with 4 KB each delayed the first requests of others by over a second.
    async def scenario(setup):
        setup.connect(pack_cancelled_requests(30, 0))
        setup.connect(pack_usual_request(1, 0xFF << 32, b"select 4 -- ".ljust(20_000, b"x")))
        results = []
        for _ in setup.clients:
            sock, _ = setup.listener.accept()
            sock.setblocking(False)
            setup.server.accept_connection(sock, 0.0, True)
            connection = list(setup.server.connections)[-1]
            results.append(connection._read_turn())
        return results, setup.counters["given_up"]

    results, cancelled = run_with_server(scenario)
    assert results == [TurnResult.BACKLOGGED, TurnResult.EMPTIED]
    assert 2 * cancelled >= MAX_MESSAGES_OF_FIRST_TURN
    assert cancelled * len(pack_cancelled_requests(1, 0)) <= FIRST_TURN_READ_BYTES


def test_a_client_that_cancels_what_it_sends_is_closed_after_a_bounded_amount_of_work():
    # Cases 7 and 8 of the review: all that such clients sent was handled, however much it was.
    async def scenario(setup):
        client = setup.connect(pack_cancelled_requests(500, 0))
        setup.server.start(setup.listener)
        return await read_responses(client, 1), setup.counters

    responses, counters = run_with_server(scenario)
    assert responses == []
    assert counters["given_up"] == MAX_IMMEDIATE_CANCELLATIONS + 1
    assert counters["excessive_cancellations"] == 1


def test_a_client_that_cancels_too_much_gets_the_response_that_it_is_owed_before_it_is_closed():
    async def scenario(setup):
        client = setup.connect(pack_usual_request(1, 0xFF << 32, b"select 3"))
        setup.server.start(setup.listener)
        async with asyncio.timeout(30):
            while not setup.counters["taken_read"]:
                await asyncio.sleep(0)
        client.sendall(pack_cancelled_requests(100, 0, first_id=2))
        refusals = await read_responses(client, 100 - MAX_IMMEDIATE_CANCELLATIONS - 1)
        setup.handler.may_answer_all.set()
        successes = await read_responses(client, 1)
        client.sendall(pack_cancelled_requests(1, 0, first_id=102))
        return refusals, successes, await read_responses(client, 100)

    refusals, successes, last_responses = run_with_server(scenario)
    assert {response[2][0] for response in refusals} == {"Full"}
    assert successes == [[1, 1, None, [b"row", {}]]]
    assert last_responses == [[1, 102, ["Full", {}], None]]


def test_a_client_may_cancel_all_that_it_has_open_and_a_few_requests_a_second():
    async def scenario(setup):
        count = MAX_IMMEDIATE_CANCELLATIONS
        client = setup.connect(pack_cancelled_requests(count, 0) + pack_usual_request(count + 1, 0xFF << 32))
        setup.server.start(setup.listener)
        return await read_responses(client, 1)

    assert run_with_server(scenario) == [[1, MAX_IMMEDIATE_CANCELLATIONS + 1, None, [b"row", {}]]]


def test_nothing_is_handled_for_a_client_that_has_hung_up_before_its_turn():
    async def scenario(setup):
        setup.connect(pack_usual_request()).close()
        client = setup.connect(pack_usual_request())
        setup.server.start(setup.listener)
        return await read_responses(client, 1), setup.counters["taken_read"]

    assert run_with_server(scenario) == ([[1, 1, None, [b"row", {}]]], 1)


def test_a_connection_with_an_unread_request_is_not_closed_for_a_new_one():
    # Under a flood of new connections, usual clients that waited for their turn lost their requests.
    async def scenario(setup):
        clients = [setup.connect(pack_usual_request(1, number)) for number in range(5)]
        setup.server.start(setup.listener)
        return [await read_responses(client, 1) for client in clients]

    responses = run_with_server(scenario, max_connections=2)
    assert responses == [[[1, 1, None, [b"row", {}]]]] * 5


class FakeClock:
    """A clock that turns move on."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def run_with_scheduler(scenario):
    """Run a coroutine function with a scheduler on a fake clock, and the log of its turns."""

    async def run():
        clock = FakeClock()
        return await scenario(TurnScheduler(Counters(), clock), clock)

    return asyncio.run(run())


def start_turns(scheduler, clock, log, names, turn_seconds, is_backlogged=False):
    """Start a task for each name that takes one turn of some seconds, and logs it."""

    async def take(name):
        def turn():
            clock.now += turn_seconds
            log.append(name)
            return TurnResult.EMPTIED

        return await scheduler.take_turn(turn, is_backlogged=is_backlogged)

    return [asyncio.create_task(take(name)) for name in names]


def test_turns_of_one_loop_iteration_take_a_bounded_time():
    async def scenario(scheduler, clock):
        log = []
        tasks = start_turns(scheduler, clock, log, range(20), 0.6 * turn_scheduler.MAX_ITERATION_SECONDS)
        per_iteration = []
        while len(log) < len(tasks):
            before = len(log)
            await asyncio.sleep(0)
            per_iteration.append(len(log) - before)
        await asyncio.gather(*tasks)
        return log, per_iteration

    log, per_iteration = run_with_scheduler(scenario)
    assert log == list(range(20))
    assert max(per_iteration) <= 2


def test_connections_without_a_backlog_come_first_and_those_with_one_still_get_turns():
    async def scenario(scheduler, clock):
        log = []
        seconds = 0.4 * turn_scheduler.MAX_ITERATION_SECONDS
        names = {True: [f"backlogged {i}" for i in range(4)], False: [f"sparse {i}" for i in range(8)]}
        start_turns(scheduler, clock, [], range(3), seconds)  # use up the first iteration
        tasks = [
            task
            for is_backlogged in (True, False)
            for task in start_turns(scheduler, clock, log, names[is_backlogged], seconds, is_backlogged)
        ]
        await asyncio.gather(*tasks)
        return log

    log = run_with_scheduler(scenario)
    # Three turns fit into an iteration.
    assert log == [
        name for i in range(4) for name in (f"backlogged {i}", f"sparse {2 * i}", f"sparse {2 * i + 1}")
    ]


def test_a_turn_of_a_connection_that_was_closed_while_it_waited_does_not_run():
    async def scenario(scheduler, clock):
        log = []
        await asyncio.gather(
            *start_turns(scheduler, clock, log, ["first"], turn_scheduler.MAX_ITERATION_SECONDS)
        )
        (task,) = start_turns(scheduler, clock, log, ["closed"], 0.0)
        scheduler._seconds_left = 0.0
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        return log

    assert run_with_scheduler(scenario) == ["first"]


def test_an_exception_in_a_turn_that_waited_reaches_its_connection_alone():
    def fail():
        raise ValueError("message")

    async def scenario(scheduler, clock):
        log = []
        first = start_turns(scheduler, clock, log, ["first"], turn_scheduler.MAX_ITERATION_SECONDS)
        failing = asyncio.create_task(scheduler.take_turn(fail, is_backlogged=False))
        last = start_turns(scheduler, clock, log, ["last"], 0.0)
        with pytest.raises(ValueError):
            await failing
        await asyncio.gather(*first, *last)
        return log

    assert run_with_scheduler(scenario) == ["first", "last"]
