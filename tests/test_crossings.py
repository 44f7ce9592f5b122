"""Two events that cross, on real sockets and in a forced order (docs/crossings.md)."""

import asyncio
import gc
import socket
import time

import hiredis
import msgpack
import pytest
from test_event_loop_driver import Module

from applevale import api
from applevale.discovery import endpoints as members
from applevale.dispatch.event_loop_driver import EventLoopDriver
from applevale.engines.attempt import AttemptFailed, AttemptSpec, AttemptSucceeded, Progress
from applevale.engines.limits import ConnectionLimits
from applevale.engines.pool import EnginePool
from applevale.observability.counters import Counters
from applevale.requests import context, handler, model
from applevale.server import connection
from applevale.server.limits import ServerLimits
from applevale.server.listener import RpcServer

SAFE = api.ClassSpec("read", deadline=30.0)
ONCE = api.ClassSpec("write", deadline=30.0, repeat=api.Repeat.UNSAFE)
KEYED = api.ClassSpec("merge", deadline=30.0, repeat=api.Repeat.KEYED, repeat_window=0.2)
SETTINGS = api.Settings((SAFE, ONCE, KEYED), (api.KindSpec("k"),))
RESET = AttemptFailed(Progress.POSSIBLY_EXECUTED, api.Result.RESET)
FULL = AttemptFailed(Progress.SENT_NOT_EXECUTED, api.Result.FULL)
DONE = AttemptSucceeded(b"r")


class HeldLoop(asyncio.SelectorEventLoop):
    """Connects only when it is let."""

    def __init__(self):
        super().__init__()
        self.let = asyncio.Event()
        self.let.set()

    async def sock_connect(self, sock, address):
        await self.let.wait()
        return await super().sock_connect(sock, address)


class Engine:
    """Keeps what it was told; answers nothing, and reads only when it is let."""

    def __init__(self):
        self.seen, self.let, self.writers = [], asyncio.Event(), []
        self.let.set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=4096)
        self.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.address = self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        parser = hiredis.Reader()
        self.writers.append(writer)
        await self.let.wait()
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not False:
                self.seen.append(command)

    def refs(self, word=b"want"):
        return [command[1] for command in self.seen if command[0] == word]


class Scene:
    """A request handler on a pool of one engine, and a module that says what it is told to say."""

    def __init__(self, server, grace=0.2):
        self.server = server
        self.pool = EnginePool(ConnectionLimits(32, 15.0, 5.0, drain_grace=grace), (), 8, Counters())
        self.driver = EventLoopDriver(Module(), self.pool, self.pool.counters)
        self.handler = handler.RequestHandler(self.driver, self.pool, SETTINGS, self.pool.counters)
        self.ends = []
        self.list(api.State.READY)

    def list(self, state):
        entry = api.EngineEntry(1, state=state)
        self.pool.update(members.EndpointUpdate(1, True, (members.Endpoint(entry, self.server.address),)))

    def want(self, ref, statement=b"x", until=30.0, by=30.0, gone=lambda: False):
        now = asyncio.get_running_loop().time()
        want = AttemptSpec(ref, "read", statement, now + until, now + by, is_client_gone=gone)
        return self.pool.start_attempt(1, want, set(), lambda ending: self.ends.append((ref, ending)))

    def serve(self, cls, gone=lambda: False):
        request = model.Request(b"%016x" % cls, cls, b"x", self.driver.now(), 30.0, is_client_gone=gone)
        task = asyncio.create_task(self.handler.handle(request))
        return task

    async def out(self, cls):
        """A request with an attempt that has reached the engine."""
        task = self.serve(cls)
        await until(lambda: self.handler.active)
        (active,) = self.handler.active
        active.inbox.put_nowait(api.Send(active.number, 1))
        await until(lambda: self.server.refs())
        return task, active


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.001)


def play(steps, *more):
    async def main():
        server = Engine()
        await server.start()
        try:
            return await steps(Scene(server), *more)
        finally:
            for writer in server.writers:
                writer.transport.abort()
            server.server.close()

    loop = HeldLoop()
    try:
        return loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
            loop.run_until_complete(asyncio.wait([task]))
        loop.close()


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("word", [context.DeadlineReached, context.DiscoveryStale])
@pytest.mark.parametrize(
    "cls,ending,answer",
    [
        (0, RESET, model.Rejected(0.0)),
        (0, FULL, model.Rejected(0.0)),
        (0, DONE, model.Completed(b"r")),
        (1, RESET, model.Failed()),
        (1, FULL, model.Rejected(0.0)),
        (1, DONE, model.Completed(b"r")),
        (2, RESET, model.Failed()),
        (2, FULL, model.Rejected(0.0)),
        (2, DONE, model.Completed(b"r")),
    ],
)
def test_the_end_of_an_attempt_and_the_last_answer_in_one_turn(cls, ending, answer, word, ends_first):
    """Read in the inbox's order, a load that may have run was refused, and a good end was thrown away."""

    async def steps(scene):
        task, active = await scene.out(cls)
        crossing = [lambda: active.inbox.put_nowait(word()), lambda: active.in_flight.finish(ending)]
        for event in reversed(crossing) if ends_first else crossing:
            event()
        return await task

    assert play(steps) == answer


@pytest.mark.parametrize("said", [api.Reject(1), api.Fail(1)])
def test_a_good_end_behind_the_modules_answer_is_the_answer(said):
    async def steps(scene):
        task, active = await scene.out(0)
        active.inbox.put_nowait(said)
        active.in_flight.finish(AttemptSucceeded(b"r"))
        return await task

    assert play(steps) == model.Completed(b"r")


@pytest.mark.parametrize("connects,answer", [(False, model.Rejected(0.0)), (True, model.Failed())])
def test_the_last_answer_while_an_attempt_is_on_its_way(connects, answer):
    """What waits for its connection has not run; what is out may have."""

    async def steps(scene):
        loop = asyncio.get_running_loop()
        if connects:
            task, active = await scene.out(1)
        else:
            loop.let.clear()
            task = scene.serve(1)
            await until(lambda: scene.handler.active)
            (active,) = scene.handler.active
            active.inbox.put_nowait(api.Send(active.number, 1))
            await until(lambda: active.in_flight)
        scene.handler.finish_all()
        answer = await task
        loop.let.set()
        engine = scene.pool.engines[1]
        await until(lambda: not engine.connections or engine.connections[0].is_connected)
        return answer, scene.server.refs()

    assert play(steps) == (answer, [b"%016x" % 1] if connects else [])


def test_the_engine_is_told_the_time_that_is_left_behind_a_slow_connect():
    async def steps(scene):
        loop = asyncio.get_running_loop()
        loop.let.clear()
        scene.want(b"1", until=2.0)
        await asyncio.sleep(0.3)
        loop.let.set()
        await until(scene.server.refs)
        return int(scene.server.seen[0][2].partition(b"ttl=")[2])

    assert play(steps) <= 1700


@pytest.mark.parametrize("crossing", ["window", "drain", "gone", "given up", "hung up"])
def test_what_changed_behind_a_slow_connect_holds(crossing):
    async def steps(scene):
        loop, away = asyncio.get_running_loop(), []
        loop.let.clear()
        attempt = scene.want(b"1", by=0.0 if crossing == "window" else 30.0, gone=lambda: bool(away))
        if crossing == "window":
            attempt = scene.want(b"2", by=0.05)
            await asyncio.sleep(0.06)
        elif crossing == "drain":
            scene.list(api.State.DRAINING)
        elif crossing == "gone":
            scene.list(api.State.GONE)
        elif crossing == "hung up":  # and its leaving is not read yet
            away.append(True)
        else:
            attempt.cancel(api.Result.TIMEOUT)
        loop.let.set()
        await until(lambda: attempt.is_finished)
        scene.list(api.State.READY)
        scene.want(b"9")
        await until(scene.server.refs)
        return scene.server.refs(), {ending.result for ref, ending in scene.ends if ref != b"9"}

    assert play(steps) == ([b"9"], {api.Result.MOOT})


def test_a_further_attempt_begins_within_the_window_of_repeats_only():
    async def steps(scene):
        task, active = await scene.out(2)
        active.in_flight.finish(RESET)
        asyncio.get_running_loop().let.clear()
        active.inbox.put_nowait(api.Send(active.number, 1))
        await until(lambda: active.in_flight)
        await asyncio.sleep(KEYED.repeat_window)
        asyncio.get_running_loop().let.set()
        await until(lambda: not active.in_flight)
        task.cancel()
        return len(scene.server.refs())

    assert play(steps) == 1


def test_a_drain_takes_back_what_waits_behind_a_full_socket():
    """Up to a second later it reached the engine; the grace of a drain is half of that."""

    async def steps(scene):
        scene.server.let.clear()
        # With a price for handshakes there is one connection.
        scene.pool.limits = ConnectionLimits(32, 15.0, 5.0, handshake_price=1.0, drain_grace=0.2)
        for number in range(30):
            scene.want(b"%d" % number, b"x" * 800_000)
            await asyncio.sleep(0.002)
        engine_connection = scene.pool.engines[1].connections[0]
        begun = {ref for ref, one in engine_connection.streams.attempts.items() if one.message.write_started}
        scene.list(api.State.DRAINING)
        back = {ref for ref, ending in scene.ends if ending.result is api.Result.MOOT}
        told = time.monotonic()
        await until(lambda: len(scene.ends) == 30)
        took = time.monotonic() - told
        scene.server.let.set()
        await asyncio.sleep(0.05)
        return begun, back, took, set(scene.server.refs())

    begun, back, took, seen = play(steps)
    assert back and begun and not begun & back and not seen & back and took < 0.5


def test_a_ban_takes_back_what_waits_for_its_connection():
    async def steps(scene):
        asyncio.get_running_loop().let.clear()
        attempt = scene.want(b"1")
        await asyncio.sleep(0)
        scene.pool.withdraw_unsent(1)
        return attempt.is_finished, scene.ends

    assert play(steps) == (True, [(b"1", AttemptFailed(Progress.NOT_SENT, api.Result.MOOT))])


def test_nothing_is_sent_for_a_client_that_has_hung_up_unread():
    async def steps(scene):
        task = scene.serve(0, lambda: True)
        await until(lambda: scene.handler.active)
        (active,) = scene.handler.active
        active.inbox.put_nowait(api.Send(active.number, 1))
        await until(active.inbox.empty)
        told = scene.driver.event_queue.events + [
            event for batch in scene.driver.controller.batches for event in batch
        ]
        task.cancel()
        return active.in_flight, [event.result for event in told if isinstance(event, api.Outcome)]

    assert play(steps) == (None, [api.Result.MOOT])


def test_after_a_standstill_sockets_are_read_before_a_batch_decides():
    """A batch went first, and sent work on for clients whose leaving lay unread."""

    async def steps(scene):
        ours, theirs = socket.socketpair()
        ours.setblocking(False)

        async def read():
            await asyncio.get_running_loop().sock_recv(ours, 1)
            scene.driver.submit(api.ClientGone(7))

        module, reading = scene.driver.controller, asyncio.create_task(read())
        scene.driver.submit(api.Timer(1))
        await until(lambda: module.batches)
        scene.driver.submit(api.Timer(2))
        theirs.send(b"x")
        time.sleep(0.15)  # the loop stands still, and the batch falls due
        await until(lambda: len(module.batches) > 1)
        await reading
        ours.close()
        theirs.close()
        return module.batches[1]

    assert play(steps) == [api.Timer(2), api.ClientGone(7)]


def pair(scene):
    """A connection of the server, and its client's end."""
    if not hasattr(scene, "rpc_server"):
        scene.rpc_server = RpcServer(
            scene.handler, scene.driver, SETTINGS, ServerLimits(2, 1 << 20), scene.pool.counters
        )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    ours.setblocking(False)
    scene.rpc_server.accept_connection(ours, scene.driver.now(), True)
    return list(scene.rpc_server.connections)[-1], theirs


@pytest.mark.parametrize("before", [b"", b"junk"])
def test_a_client_has_gone_though_the_end_lies_unread(before):
    async def steps(scene):
        one, theirs = pair(scene)
        here = one.is_client_gone()
        theirs.sendall(before)
        said = one.is_client_gone()
        theirs.close()
        return here, said, one.is_client_gone()

    assert play(steps) == (False, False, True)


def test_bad_requests_do_not_hide_the_clients_leaving_while_work_is_open():
    async def steps(scene):
        one, theirs = pair(scene)
        one.invalid_requests = 40
        alone = one.error_backoff()
        one.calls[1] = None
        busy = one.error_backoff()
        one.calls.clear()
        theirs.close()
        return alone, busy

    alone, busy = play(steps)
    assert alone == connection.MAX_ERROR_BACKOFF_SECONDS and busy <= 0.05


def test_a_connection_that_is_accepted_in_the_turn_of_the_shutdown_is_served():
    """Its accept was cancelled with the connection in hand: the client was reset."""

    async def steps(scene):
        loop = asyncio.get_running_loop()
        scene.rpc_server = RpcServer(
            scene.handler, scene.driver, SETTINGS, ServerLimits(2, 1 << 20), scene.pool.counters
        )
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        scene.rpc_server.start(listener)
        await asyncio.sleep(0)
        theirs = socket.create_connection(listener.getsockname())
        # Behind the turn that finds the caller waiting, and ahead of the task that waits for it.
        loop.call_soon(lambda: loop.call_soon(scene.rpc_server.stop_accepting))
        theirs.sendall(msgpack.packb([0, 1, "probe", [{}]]))
        theirs.setblocking(False)
        async with asyncio.timeout(20):
            answer = await loop.sock_recv(theirs, 100)
        theirs.close()
        return answer

    assert play(steps) == msgpack.packb([1, 1, None, [False, {}]])


@pytest.mark.parametrize("end", [b"", msgpack.packb([0, 1, "probe", [{}]])[5:]])
def test_a_message_that_ends_while_its_time_runs_out_is_read(end, monkeypatch):
    """Both lay there behind a loop that stood still: its end was read, and thrown away."""
    monkeypatch.setattr(connection, "MESSAGE_TIMEOUT_SECONDS", 0.05)
    message = msgpack.packb([0, 1, "probe", [{}]])

    async def steps(scene):
        loop = asyncio.get_running_loop()
        one, theirs = pair(scene)
        theirs.sendall(message[:5])
        await until(lambda: one.unread_bytes)
        theirs.sendall(end)
        time.sleep(0.1)
        theirs.setblocking(False)
        async with asyncio.timeout(20):
            answer = await loop.sock_recv(theirs, 100)
        theirs.close()
        return answer, scene.pool.counters["unfinished_messages"]

    whole = msgpack.packb([1, 1, None, [False, {}]])
    assert play(steps) == ((whole, 0) if end else (b"", 1))


def test_who_has_begun_to_ask_is_not_closed_for_another():
    async def steps(scene):
        asks, rests = pair(scene), pair(scene)
        await asyncio.sleep(0)
        for one, _ in (asks, rests):
            scene.rpc_server.connections.mark_idle(one)
        asks[1].sendall(b"\x94")
        new = pair(scene)
        left = [one in scene.rpc_server.connections for one, _ in (asks, rests, new)]
        for _, theirs in (asks, rests, new):
            theirs.close()
        return left

    assert play(steps) == [True, False, True]


def test_connections_leave_nothing_for_the_collector():
    """Each was a cycle that the collector never came to: a soak of 45 minutes ran out of memory."""

    async def steps(scene):
        one, theirs = pair(scene)
        scene.want(b"1")
        await until(scene.server.refs)
        engine_connection = scene.pool.engines[1].connections[0]
        kinds = {type(one), type(engine_connection), type(one.write_queue)}
        gc.collect()
        gc.disable()
        try:
            gc.set_debug(gc.DEBUG_SAVEALL)
            theirs.close()
            engine_connection.close("it ends")
            await until(lambda: not scene.rpc_server.connections and not scene.pool.engines[1].connections)
            del one, engine_connection
            await asyncio.sleep(0.05)
            gc.collect()
            return [kind for kind in map(type, gc.garbage) if kind in kinds]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()

    assert play(steps) == []


def test_an_idle_connection_that_the_engine_has_closed_unread_is_not_used():
    """A `want` behind the close could not be told from one that ran: a load failed that never left."""

    async def steps(scene):
        scene.want(b"1")
        await until(scene.server.refs)
        (former,) = scene.pool.engines[1].connections
        former.streams.attempts[b"1"].finish(FULL)
        scene.server.writers[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)  # the loop reads nothing
        former.send_command = None  # nothing may be written there
        scene.want(b"2")
        await until(lambda: b"2" in scene.server.refs())
        return len(scene.server.writers)

    assert play(steps) == 2


def test_a_connection_on_which_an_answer_stopped_short_is_not_used_again():
    """The next answer there was spoilt by what was missing, and a load that had run well failed."""

    async def steps(scene):
        attempt = scene.want(b"1")
        await until(scene.server.refs)
        scene.server.writers[0].write(b"*4\r\n$1\r\n1\r\n$3\r\nHI")
        (former,) = scene.pool.engines[1].connections
        await until(lambda: former.transport.parser.unparsed)
        attempt.cancel(api.Result.CANCELLED)
        await until(lambda: attempt.is_finished)
        scene.want(b"2")
        await until(lambda: b"2" in scene.server.refs())
        return len(scene.server.writers)

    assert play(steps) == 2


def test_at_the_end_what_waits_for_the_order_of_its_key_is_answered():
    async def steps(scene):
        scene.driver.stall_monitor.order_known.clear()  # a loop that stood still reads the rest first
        request = model.Request(b"1", 1, b"x", scene.driver.now(), 30.0, order_key=7)
        task = asyncio.create_task(scene.handler.handle(request))
        await asyncio.sleep(0)
        scene.handler.set_shutdown_deadline(scene.driver.now())
        scene.handler.finish_all()
        return await asyncio.wait_for(task, 5)

    assert play(steps) == model.Rejected(0.0)
