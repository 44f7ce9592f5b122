"""Tests of drains: when requests are rejected and connections closed, and that no open request is lost."""

import asyncio
import signal
import socket

import msgpack
import uvloop
from policy_driver import make_settings
from process import GRACEFUL_EXIT_TIMEOUT_SECONDS, Instance, wait_until
from rpc_client import REJECTED, Response, RpcClient, pack_request, probe

from applevale.admin.draining import ACCEPT_SECONDS, FIRST_REQUEST_GRACE_SECONDS, DrainState
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.observability.counters import Counters
from applevale.requests.model import Completed, Rejected
from applevale.server.limits import ServerLimits
from applevale.server.listener import RpcServer


def test_a_drain_accepts_requests_for_a_while_and_is_active_until_it_is_ended():
    drain = DrainState()
    assert not drain.is_active
    assert not drain.rejects_requests(1e9)
    assert not drain.should_close(False, False)
    drain.begin(10.0)
    drain.begin(11.0)  # has no effect, since the drain has begun
    assert drain.is_active
    assert not drain.rejects_requests(9.9)
    assert drain.rejects_requests(10.0)
    assert drain.should_close(has_open_work=False, has_unread_input=False)
    assert not drain.should_close(has_open_work=True, has_unread_input=False)
    assert not drain.should_close(has_open_work=False, has_unread_input=True)
    assert drain.first_request_time_left(10.0, 10.0) == FIRST_REQUEST_GRACE_SECONDS
    assert drain.first_request_time_left(5.0, 10.0) == 0.0
    drain.end()
    assert not drain.is_active
    assert not drain.rejects_requests(1e9)


class FakeRequestHandler:
    """A request handler that completes each request once `may_complete` is set."""

    def __init__(self):
        self.request_received = asyncio.Event()
        self.may_complete = asyncio.Event()
        self.may_complete.set()

    def reject(self):
        """Return the response to a request that a drain rejects."""
        return Rejected(0.5)

    def on_response_delivered(self, request):
        """Do nothing."""

    async def handle(self, request):
        """Complete a request once `may_complete` is set."""
        self.request_received.set()
        await self.may_complete.wait()
        return Completed(b"row")


class ServerWithClient:
    """A server on the running event loop, with one client connection."""

    def __init__(self):
        self.handler = FakeRequestHandler()
        self.counters = Counters()
        self.server = RpcServer(
            self.handler,
            EventLoopDriver(None, None, self.counters),
            make_settings(),
            ServerLimits(8, 1 << 20),
            self.counters,
        )
        listener = socket.create_server(("127.0.0.1", 0))
        self.client_socket = socket.create_connection(listener.getsockname())
        server_socket, _ = listener.accept()
        listener.close()
        self.client_socket.setblocking(False)
        server_socket.setblocking(False)
        self._unpacker = msgpack.Unpacker()
        self.server.accept_connection(server_socket, 0.0, True)

    def send_request(self, number):
        """Send a request from the client."""
        fields = {"ref": f"{number:016x}", "allow": "3000"}
        self.client_socket.send(pack_request(number, "short", fields, b"select 1 from air_1.x"))

    async def read_response(self):
        """Return the next response, or None at the end of the connection."""
        while True:
            for message in self._unpacker:
                _, number, error, result = message
                return Response(number, error, result)
            async with asyncio.timeout(10):
                data = await asyncio.get_running_loop().sock_recv(self.client_socket, 65536)
            if not data:
                return None
            self._unpacker.feed(data)

    def close(self):
        """End all connections."""
        for connection in list(self.server.connections):
            connection.stop("")
        self.client_socket.close()


def run_scenario(scenario):
    """Run a coroutine function with a new server and client, on the program's kind of event loop."""

    async def run():
        setup = ServerWithClient()
        try:
            await scenario(setup)
        finally:
            setup.close()

    uvloop.run(run())


def test_a_connection_with_an_unprocessed_request_stays_open_in_a_drain():
    async def scenario(setup):
        setup.send_request(1)
        assert (await setup.read_response()).number == 1
        loop = asyncio.get_running_loop()

        def send_and_drain():
            # The loop reads the request after this iteration, and the drain begins before its task runs.
            setup.send_request(2)
            loop.call_soon(setup.server.drain)

        loop.call_soon(send_and_drain)
        response = await setup.read_response()
        assert response is not None
        assert response.number == 2
        assert response.error is None
        assert await setup.read_response() is None  # the drain closed the idle connection

    run_scenario(scenario)


def test_new_requests_of_a_client_that_is_never_idle_are_rejected_and_then_it_is_disconnected():
    async def scenario(setup):
        setup.handler.may_complete.clear()
        setup.send_request(1)
        await setup.handler.request_received.wait()
        setup.server.drain()
        setup.server.connections.drain_state.reject_from -= ACCEPT_SECONDS  # simulates the passage of time
        setup.send_request(2)
        response = await setup.read_response()
        assert response.number == 2
        assert response.error == [REJECTED, {"cooldown": "500"}]
        setup.handler.may_complete.set()
        assert (await setup.read_response()).number == 1
        assert await setup.read_response() is None

    run_scenario(scenario)


def test_a_drain_waits_for_the_first_request_of_a_connection_and_closes_it_if_none_comes():
    async def request_during_drain(setup):
        setup.server.drain()
        assert setup.server.connections
        setup.send_request(1)
        assert (await setup.read_response()).number == 1
        assert await setup.read_response() is None

    async def no_request(setup):
        setup.server.drain()
        assert await setup.read_response() is None
        assert not setup.counters["unfinished_messages"]  # closed by the drain, not by the message timeout

    run_scenario(request_during_drain)
    run_scenario(no_request)


def test_a_drain_closes_no_connection_after_it_has_ended():
    async def scenario(setup):
        setup.send_request(1)
        await setup.read_response()
        setup.server.connections.drain_state.begin(0.0)
        connection = next(iter(setup.server.connections))
        # The drain would close the connection in the next loop iteration.
        setup.server.connections.update_idle(connection)
        setup.server.undrain()
        setup.send_request(2)
        assert (await setup.read_response()).number == 2
        assert connection in setup.server.connections.idle

    run_scenario(scenario)


def is_connection_refused(address):
    """Return whether no process accepts connections at `address`."""
    try:
        socket.create_connection(address, timeout=5).close()
    except OSError:
        return True
    return False


def test_a_shutdown_waits_for_the_rest_of_a_message(tmp_path):
    instance = Instance(tmp_path)
    try:
        client = RpcClient(instance.address)
        fields = {"ref": "1" * 16, "allow": "2500", "effort": "10", "space": "4"}
        data = pack_request(1, "lookup", fields, b"select * from air_1.x limit 2")
        client.send_bytes(data[:40])
        assert probe(instance.address)  # a response shows that the earlier connection has been accepted too
        instance.process.send_signal(signal.SIGTERM)
        wait_until(lambda: is_connection_refused(instance.address))
        client.send_bytes(data[40:])
        response = client.read_response()
        assert response is not None
        assert response.number == 1
        assert response.error is None
        assert client.read_response() is None
        assert instance.process.wait(GRACEFUL_EXIT_TIMEOUT_SECONDS) == 0
    finally:
        instance.close()
