"""Tests of the faults that harnesses inject: link conditions, schedules and proxies."""

import asyncio
import socket
from random import Random

import pytest

from applevale.fakes.faulty_proxy import FaultyProxy, ProxyMode
from applevale.fault_injection import schedule
from applevale.fault_injection.link_conditions import LinkCondition, LinkConditions
from applevale.fault_injection.tcp_proxy import TcpProxy, source_address, source_number
from applevale.fault_injection.udp_proxy import UdpProxy


def test_each_pair_has_its_own_condition_and_random_numbers():
    conditions = LinkConditions(7)
    conditions.apply(("n1",), ("n2",), LinkCondition(loss=0.5))
    delays_alone = [conditions.datagram_delays(0.0, "n1", "n2", 10) for _ in range(50)]
    busy_conditions = LinkConditions(7)
    busy_conditions.apply(("n*",), ("n2",), LinkCondition(loss=0.5))
    delays_beside_others = []
    for _ in range(50):
        busy_conditions.datagram_delays(0.0, "n5", "n2", 10)  # The traffic of another pair has no effect.
        delays_beside_others.append(busy_conditions.datagram_delays(0.0, "n1", "n2", 10))
    lost_count = sum(not delays for delays in delays_alone)
    assert delays_alone == delays_beside_others and 10 < lost_count < 40
    # The opposite direction is clear.
    assert all(conditions.datagram_delays(0.0, "n2", "n1", 10) == (0.0,) for _ in range(20))


def test_the_latest_condition_of_a_pair_is_in_effect_until_it_is_removed():
    conditions = LinkConditions(1)
    first = conditions.apply(("n*",), ("list*",), LinkCondition(delay=0.2))
    second = conditions.apply(("n3",), ("*",), LinkCondition(cut=True))
    assert conditions.between("n3", "list0").cut and conditions.between("n2", "list0").delay == 0.2
    conditions.remove(second)
    assert conditions.between("n3", "list0") == LinkCondition(delay=0.2)
    conditions.remove(first)
    assert conditions.between("n3", "list0") == LinkCondition()


def test_delays_reflect_bandwidth_duplication_and_reordering():
    conditions = LinkConditions(1)
    conditions.apply(("a",), ("b",), LinkCondition(bandwidth=1000.0))
    assert [conditions.datagram_delays(0.0, "a", "b", 100) for _ in range(3)] == [
        (0.1,),
        (0.2,),
        (pytest.approx(0.3),),
    ]
    conditions.apply(("a",), ("c",), LinkCondition(duplication=1.0, reorder=0.5, reorder_delay=1.0))
    delays = [delay for _ in range(40) for delay in conditions.datagram_delays(0.0, "a", "c", 1)]
    assert len(delays) == 80 and {0.0, 1.0} == set(delays)


def test_a_seed_always_draws_the_same_schedule_and_most_seeds_leave_out_some_kinds():
    for seed in range(1, 30):
        steps = schedule.draw_schedule(seed, 12)
        assert (
            steps
            == schedule.draw_schedule(seed, 12)
            == schedule.read_schedule(schedule.write_schedule(steps))
        )
        assert 12 <= len(steps) <= 24 and steps != schedule.draw_schedule(seed + 1, 12)
        commands = [step.command for step in steps if isinstance(step, schedule.SendRegistryCommand)]
        assert commands.count("down") == commands.count("up")
    kinds_by_seed = [{type(step) for step in schedule.draw_schedule(seed, 12)} for seed in range(30)]
    assert set.union(*kinds_by_seed) == {
        schedule.KillProcess,
        schedule.TerminateProcess,
        schedule.PauseProcess,
        schedule.PauseRepeatedly,
        schedule.ApplyLinkCondition,
        schedule.SendRegistryCommand,
    }
    assert sum(len(kinds) < 6 for kinds in kinds_by_seed) > 20


def test_a_schedule_is_sorted_by_time_and_an_error_names_the_place():
    steps = [
        schedule.KillProcess(at=2, processes=["n1"], restart_after=0.1),
        schedule.PauseRepeatedly(at=0.5, processes=["n*"], duration=0.3, interval=0.5, count=3),
        schedule.ApplyLinkCondition(
            at=1, sources=["n1"], targets=["n2"], condition=LinkCondition(loss=0.2), duration=5
        ),
    ]
    read = schedule.read_schedule(schedule.write_schedule(steps))
    assert [type(step).__name__ for step in read] == [
        "PauseRepeatedly",
        "ApplyLinkCondition",
        "KillProcess",
    ] and read[1] == steps[2]
    for invalid_data, place in (
        (b'[{"do":"kill","at":-1,"who":["n1"]}]', "$[0].at"),
        (b'[{"do":"burn","at":1}]', "burn"),
        (b'[{"do":"stop","at":1,"who":[],"span":1}]', "$[0].who"),
        (b"[{", "truncated"),
    ):
        with pytest.raises(schedule.ScheduleError, match=r"^schedule: ") as error:
            schedule.read_schedule(invalid_data)
        assert place in str(error.value)


def test_steps_are_executed_at_their_times_and_logged():
    class RecordingExecutor:
        def __init__(self):
            self.ended = []

        async def execute(self, step):
            await asyncio.sleep(0.05 if step.at == 0 else 0)
            self.ended.append(step.at)

    async def run():
        executor = RecordingExecutor()
        logged = []
        steps = [schedule.SendRegistryCommand(at=at, command="sync") for at in (0, 0.01, 0.02)]
        await schedule.play_schedule(
            steps, executor, lambda at, step: logged.append(step.at), asyncio.get_running_loop().time
        )
        assert logged == [0, 0.01, 0.02] and executor.ended == [0.01, 0.02, 0]

    asyncio.run(run())


def test_a_local_address_identifies_its_instance():
    assert [source_number(source_address(number)) for number in (0, 249, 250, 5000)] == [0, 249, 250, 5000]
    assert source_number("127.0.0.1") is None


def run_with_tcp_proxy(script):
    """Run a script with a TCP proxy, its conditions and a function that connects as an instance."""

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
                await script(proxy, conditions, connect)
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


def test_a_cut_blocks_one_direction_of_one_caller_and_delivers_its_data_afterwards():
    async def script(proxy, conditions, connect):
        cut_reader, cut_writer = await connect(2)
        clear_reader, clear_writer = await connect(3)
        for reader, writer in ((cut_reader, cut_writer), (clear_reader, clear_writer)):
            writer.write(b"one")
            assert await reader.read(10) == b"one"
        number = conditions.apply(("e0",), ("n2",), LinkCondition(cut=True))
        for writer in (cut_writer, clear_writer):
            writer.write(b"two")
        assert await clear_reader.read(10) == b"two"
        blocked_read = asyncio.create_task(cut_reader.read(10))
        clear_writer.write(b"three")
        assert await clear_reader.read(10) == b"three" and not blocked_read.done()
        conditions.remove(number)
        assert await blocked_read == b"two"

    run_with_tcp_proxy(script)


def test_a_proxy_that_refuses_a_caller_aborts_its_open_and_new_connections():
    async def script(proxy, conditions, connect):
        reader, writer = await connect(1)
        writer.write(b"x")
        assert await reader.read(10) == b"x"
        conditions.apply(("n1",), ("e0",), LinkCondition(refuse=True))
        proxy.on_conditions_changed()
        for aborted_reader in (reader, (await connect(1))[0]):
            with pytest.raises(ConnectionError):
                if not await aborted_reader.read(10):
                    raise ConnectionResetError

    run_with_tcp_proxy(script)


def run_with_faulty_proxy(script):
    """Run a script with a faulty proxy in front of an echo server and a function that connects to it."""

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


def test_a_faulty_proxy_corrupts_one_answer_and_forwards_the_next():
    async def script(proxy, connect):
        reader, writer = await connect()
        proxy.set_mode(ProxyMode.CORRUPT)
        writer.write(b"12345678")
        assert await reader.readexactly(8) == Random(1).randbytes(8)
        writer.write(b"next")
        assert await reader.readexactly(4) == b"next"
        proxy.set_mode(ProxyMode.TRUNCATE)
        writer.write(b"12345678")
        assert await reader.read() == b"1234"
        assert proxy.mode is ProxyMode.PASS

    run_with_faulty_proxy(script)


def test_a_faulty_proxy_holds_data_back_in_a_stall_and_refuses_only_new_connections():
    async def script(proxy, connect):
        reader, writer = await connect()
        writer.write(b"first")
        assert await reader.readexactly(5) == b"first"
        proxy.set_mode(ProxyMode.STALL)
        writer.write(b"second")
        other_reader, _ = await connect()
        stalled_read = asyncio.create_task(reader.readexactly(6))
        assert await asyncio.wait({stalled_read}, timeout=0.1) == (set(), {stalled_read})
        proxy.set_mode(ProxyMode.REFUSE)
        assert await stalled_read == b"second"
        refused_reader, _ = await connect()
        assert await refused_reader.read() == b""
        proxy.abort_connections()
        assert await reader.read() == b"" and await other_reader.read() == b""

    run_with_faulty_proxy(script)


def test_a_udp_proxy_identifies_sender_and_receiver_and_applies_the_condition_of_each_pair():
    async def run():
        sockets = {}
        for name in ("n0", "n1", "n2"):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sockets[name] = sock
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        conditions = LinkConditions(1)
        loop = asyncio.get_running_loop()
        proxy = UdpProxy(
            list(sockets), {name: sock.getsockname() for name, sock in sockets.items()}, conditions
        )
        try:
            async with asyncio.timeout(10):
                sockets["n0"].sendto(b"hello", proxy.addresses["n1"])
                data, sender = await loop.sock_recvfrom(sockets["n1"], 100)
                assert data == b"hello" and sender == proxy.addresses["n0"]
                conditions.apply(("n0",), ("n1",), LinkCondition(cut=True))
                sockets["n0"].sendto(b"all", proxy.broadcast_socket.getsockname())
                assert (await loop.sock_recvfrom(sockets["n2"], 100))[0] == b"all"
                sockets["n1"].sendto(b"back", proxy.addresses["n0"])  # The opposite direction is clear.
                assert (await loop.sock_recvfrom(sockets["n0"], 100))[0] == b"back"
                conditions.apply(("n1",), ("n2",), LinkCondition(duplication=1.0, delay=0.01))
                sockets["n1"].sendto(b"twice", proxy.addresses["n2"])
                assert [(await loop.sock_recvfrom(sockets["n2"], 100))[0] for _ in range(2)] == [b"twice"] * 2
                assert proxy.stats["lost"] == 1
                with pytest.raises(BlockingIOError):
                    sockets["n1"].recv(100)
        finally:
            proxy.stop()
            for sock in sockets.values():
                sock.close()

    asyncio.run(run())
