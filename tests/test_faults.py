"""The faults that harnesses cause: link conditions, schedules and proxies."""

import asyncio
import socket
from random import Random

import pytest

from applevale.fakes.faulty_proxy import FaultyProxy, ProxyMode
from applevale.fault_injection import schedule as f
from applevale.fault_injection.link_conditions import LinkCondition, LinkConditions
from applevale.fault_injection.tcp_proxy import TcpProxy, source_address, source_number
from applevale.fault_injection.udp_proxy import UdpProxy


def test_a_pair_has_its_own_condition_and_its_own_random_numbers():
    conditions = LinkConditions(7)
    conditions.apply(("n1",), ("n2",), LinkCondition(loss=0.5))
    alone = [conditions.datagram_delays(0.0, "n1", "n2", 10) for _ in range(50)]
    again = LinkConditions(7)
    again.apply(("n*",), ("n2",), LinkCondition(loss=0.5))
    mixed = []
    for _ in range(50):
        again.datagram_delays(0.0, "n5", "n2", 10)  # what another pair sends changes nothing
        mixed.append(again.datagram_delays(0.0, "n1", "n2", 10))
    assert alone == mixed and 10 < sum(not one for one in alone) < 40
    assert all(
        conditions.datagram_delays(0.0, "n2", "n1", 10) == (0.0,) for _ in range(20)
    )  # the other way is clear


def test_the_latest_condition_of_a_pair_holds_until_it_is_removed():
    conditions = LinkConditions(1)
    first = conditions.apply(("n*",), ("list*",), LinkCondition(delay=0.2))
    second = conditions.apply(("n3",), ("*",), LinkCondition(cut=True))
    assert conditions.between("n3", "list0").cut and conditions.between("n2", "list0").delay == 0.2
    conditions.remove(second)
    assert conditions.between("n3", "list0") == LinkCondition(delay=0.2)
    conditions.remove(first)
    assert conditions.between("n3", "list0") == LinkCondition()


def test_bandwidth_copies_and_reordering_show_in_the_delays():
    conditions = LinkConditions(1)
    conditions.apply(("a",), ("b",), LinkCondition(bandwidth=1000.0))
    assert [conditions.datagram_delays(0.0, "a", "b", 100) for _ in range(3)] == [
        (0.1,),
        (0.2,),
        (pytest.approx(0.3),),
    ]
    conditions.apply(("a",), ("c",), LinkCondition(duplication=1.0, reorder=0.5, reorder_delay=1.0))
    waits = [wait for _ in range(40) for wait in conditions.datagram_delays(0.0, "a", "c", 1)]
    assert len(waits) == 80 and {0.0, 1.0} == set(waits)


def test_a_seed_draws_the_same_schedule_again_and_each_seed_leaves_out_some_kinds():
    for seed in range(1, 30):
        steps = f.draw_schedule(seed, 12)
        assert steps == f.draw_schedule(seed, 12) == f.read_schedule(f.write_schedule(steps))
        assert 12 <= len(steps) <= 24 and steps != f.draw_schedule(seed + 1, 12)
        orders = [step.order for step in steps if isinstance(step, f.OrderRegistry)]
        assert orders.count("down") == orders.count("up")
    drawn = [{type(step) for step in f.draw_schedule(seed, 12)} for seed in range(30)]
    assert set.union(*drawn) == {
        f.KillProcess,
        f.TerminateProcess,
        f.PauseProcess,
        f.PauseRepeatedly,
        f.ApplyLinkCondition,
        f.OrderRegistry,
    }
    assert sum(len(kinds) < 6 for kinds in drawn) > 20


def test_a_schedule_is_read_in_order_and_a_bad_one_names_the_place():
    steps = [
        f.KillProcess(at=2, processes=["n1"], restart_after=0.1),
        f.PauseRepeatedly(at=0.5, processes=["n*"], duration=0.3, interval=0.5, count=3),
        f.ApplyLinkCondition(
            at=1, sources=["n1"], targets=["n2"], condition=LinkCondition(loss=0.2), duration=5
        ),
    ]
    read = f.read_schedule(f.write_schedule(steps))
    assert [type(step).__name__ for step in read] == [
        "PauseRepeatedly",
        "ApplyLinkCondition",
        "KillProcess",
    ] and read[1] == steps[2]
    for bad, place in (
        (b'[{"do":"kill","at":-1,"who":["n1"]}]', "$[0].at"),
        (b'[{"do":"burn","at":1}]', "burn"),
        (b'[{"do":"stop","at":1,"who":[],"span":1}]', "$[0].who"),
        (b"[{", "truncated"),
    ):
        with pytest.raises(f.ScheduleError, match=r"^schedule: ") as error:
            f.read_schedule(bad)
        assert place in str(error.value)


def test_steps_are_executed_at_their_times_and_logged():
    class Stage:
        def __init__(self):
            self.done = []

        async def execute(self, step):
            await asyncio.sleep(0.05 if step.at == 0 else 0)
            self.done.append(step.at)

    async def run():
        stage, log = Stage(), []
        steps = [f.OrderRegistry(at=at, order="sync") for at in (0, 0.01, 0.02)]
        await f.play_schedule(
            steps, stage, lambda at, step: log.append(step.at), asyncio.get_running_loop().time
        )
        assert log == [0, 0.01, 0.02] and stage.done == [0.01, 0.02, 0]

    asyncio.run(run())


def test_local_addresses_tell_the_instance():
    assert [source_number(source_address(number)) for number in (0, 249, 250, 5000)] == [0, 249, 250, 5000]
    assert source_number("127.0.0.1") is None


def proxied(play):
    async def run():
        async def echo(reader, writer):
            while data := await reader.read(1000):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        conditions = LinkConditions(1)
        proxy = TcpProxy("e0", server.sockets[0].getsockname()[:2], conditions)
        await proxy.start()

        async def connect(number):
            return await asyncio.open_connection(*proxy.address, local_addr=(source_address(number), 0))

        try:
            async with asyncio.timeout(10):
                await play(proxy, conditions, connect)
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


def test_a_proxy_cuts_one_way_of_one_caller_and_what_waited_comes_after_the_cut():
    async def play(proxy, conditions, connect):
        cut, clear = await connect(2), await connect(3)
        for reader, writer in (cut, clear):
            writer.write(b"one")
            assert await reader.read(10) == b"one"
        number = conditions.apply(("e0",), ("n2",), LinkCondition(cut=True))
        for _, writer in (cut, clear):
            writer.write(b"two")
        assert await clear[0].read(10) == b"two"
        waiting = asyncio.create_task(cut[0].read(10))
        clear[1].write(b"three")
        assert await clear[0].read(10) == b"three" and not waiting.done()
        conditions.remove(number)
        assert await waiting == b"two"

    proxied(play)


def test_a_proxy_that_refuses_ends_what_is_open_and_what_comes():
    async def play(proxy, conditions, connect):
        reader, writer = await connect(1)
        writer.write(b"x")
        assert await reader.read(10) == b"x"
        conditions.apply(("n1",), ("e0",), LinkCondition(refuse=True))
        proxy.on_conditions_changed()
        for ended in (reader, (await connect(1))[0]):
            with pytest.raises(ConnectionError):
                if not await ended.read(10):
                    raise ConnectionResetError

    proxied(play)


def run_with_faulty_proxy(script):
    """Run a script on a faulty proxy before an echo server; it is given a function that connects."""

    async def run():
        async def echo(reader, writer):
            while data := await reader.read(1000):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = FaultyProxy(server.sockets[0].getsockname()[:2], Random(1))
        await proxy.start()
        try:
            async with asyncio.timeout(10):
                await script(proxy, lambda: asyncio.open_connection(*proxy.address))
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


def test_a_faulty_proxy_spoils_one_answer_and_passes_the_next():
    async def script(proxy, connect):
        reader, writer = await connect()
        proxy.set_mode(ProxyMode.GARBAGE)
        writer.write(b"12345678")
        assert await reader.readexactly(8) == Random(1).randbytes(8)
        writer.write(b"next")
        assert await reader.readexactly(4) == b"next"
        proxy.set_mode(ProxyMode.HALF)
        writer.write(b"12345678")
        assert await reader.read() == b"1234"
        assert proxy.mode is ProxyMode.PASS

    run_with_faulty_proxy(script)


def test_a_faulty_proxy_holds_bytes_while_it_stalls_and_refuses_only_new_connections():
    async def script(proxy, connect):
        reader, writer = await connect()
        writer.write(b"first")
        assert await reader.readexactly(5) == b"first"
        proxy.set_mode(ProxyMode.STALL)
        writer.write(b"second")
        other_reader, _ = await connect()
        waiting = asyncio.create_task(reader.readexactly(6))
        assert await asyncio.wait({waiting}, timeout=0.1) == (set(), {waiting})
        proxy.set_mode(ProxyMode.REFUSE)
        assert await waiting == b"second"
        refused_reader, _ = await connect()
        assert await refused_reader.read() == b""
        proxy.abort_connections()
        assert await reader.read() == b"" and await other_reader.read() == b""

    run_with_faulty_proxy(script)


def test_a_udp_proxy_knows_sender_and_receiver_and_gives_each_pair_its_condition():
    async def run():
        socks = {}
        for name in ("n0", "n1", "n2"):
            sock = socks[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        conditions, loop = LinkConditions(1), asyncio.get_running_loop()
        proxy = UdpProxy(list(socks), {name: sock.getsockname() for name, sock in socks.items()}, conditions)
        try:
            async with asyncio.timeout(10):
                socks["n0"].sendto(b"hello", proxy.addresses["n1"])
                data, sender = await loop.sock_recvfrom(socks["n1"], 100)
                assert data == b"hello" and sender == proxy.addresses["n0"]
                conditions.apply(("n0",), ("n1",), LinkCondition(cut=True))
                socks["n0"].sendto(b"all", proxy.broadcast_socket.getsockname())
                assert (await loop.sock_recvfrom(socks["n2"], 100))[0] == b"all"
                socks["n1"].sendto(b"back", proxy.addresses["n0"])  # the other way is clear
                assert (await loop.sock_recvfrom(socks["n0"], 100))[0] == b"back"
                conditions.apply(("n1",), ("n2",), LinkCondition(duplication=1.0, delay=0.01))
                socks["n1"].sendto(b"twice", proxy.addresses["n2"])
                assert [(await loop.sock_recvfrom(socks["n2"], 100))[0] for _ in range(2)] == [b"twice"] * 2
                assert proxy.stats["lost"] == 1
                with pytest.raises(BlockingIOError):
                    socks["n1"].recv(100)
        finally:
            proxy.stop()
            for sock in socks.values():
                sock.close()

    asyncio.run(run())
