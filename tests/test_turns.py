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
from applevale.requests.model import Completed
from applevale.server import turn_scheduler
from applevale.server.connection import MAX_MESSAGES_PER_TURN
from applevale.server.limits import ServerLimits
from applevale.server.listener import RpcServer
from applevale.server.turn_scheduler import TurnResult, TurnScheduler

LOOPBACK = "127.0.0.1"
SETTINGS = api.Settings((api.ClassSpec("read", deadline=30.0),), (api.KindSpec("k"),))


class HangingRequestHandler:
    """Answers the requests of one statement at once, and all others never."""

    def __init__(self, answered_statement):
        self.answered_statement = answered_statement

    async def handle(self, request):
        if request.statement != self.answered_statement:
            await asyncio.Event().wait()
        return Completed(b"row")

    def on_response_delivered(self, request):
        """Do nothing."""


class ServerUnderFlood:
    """A server whose listening socket can have clients in its accept queue before it starts."""

    def __init__(self, max_connections=500):
        self.counters = Counters()
        self.listener = socket.create_server((LOOPBACK, 0), backlog=512)
        self.listener.setblocking(False)
        self.server = RpcServer(
            HangingRequestHandler(b"select 1 from air_1.usual"),
            EventLoopDriver(None, None, self.counters),
            SETTINGS,
            ServerLimits(max_connections, 1 << 24),
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


def pack_usual_request(message_id=1, reference=1):
    """Return a request that the handler answers."""
    fields = {"ref": f"{reference:016x}", "allow": "3000"}
    return pack_request(message_id, "read", fields, b"select 1 from air_1.usual")


def pack_cancelled_requests(count, first_reference):
    """Return requests, each of which is cancelled right behind it."""
    return b"".join(
        chain.from_iterable(
            (
                pack_request(
                    number, "read", {"ref": f"{first_reference + number:016x}", "allow": "3000"}, b"select 2"
                ),
                pack_cancellation(number),
            )
            for number in range(1, count + 1)
        )
    )


async def read_response(client):
    """Return the next response of the server."""
    client.setblocking(False)
    unpacker = msgpack.Unpacker()
    async with asyncio.timeout(30):
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            unpacker.feed(data)
            for response in unpacker:
                return response
    raise EOFError


def test_a_new_client_does_not_wait_for_what_clients_before_it_sent():
    # Case 7 of the review: clients in the accept queue waited until all before them had been handled.
    bad_clients = 60
    requests_each = 200

    async def scenario(setup):
        for index in range(bad_clients):
            setup.connect(pack_cancelled_requests(requests_each, index << 32)).close()
        client = setup.connect(pack_usual_request(1, 0xFFFF << 32))
        setup.server.start(setup.listener)
        response = await read_response(client)
        return response, setup.counters["given_up"]

    response, cancellations = run_with_server(scenario)
    assert response == [1, 1, None, [b"row", {}]]
    # At most one turn of each of them came first, and one round of those with more input.
    assert cancellations <= 2 * bad_clients * MAX_MESSAGES_PER_TURN


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
