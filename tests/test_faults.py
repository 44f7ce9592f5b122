"""The faults that rigs cause: fates, schedules, gates and relays."""

import asyncio
import socket

import pytest

from applevale.fault_injection import schedule as f
from applevale.fault_injection.link_conditions import Fate, Fates
from applevale.fault_injection.tcp_proxy import Gate, source_address, source_number
from applevale.fault_injection.udp_proxy import Relay


def test_a_pair_has_its_own_fate_and_its_own_random_numbers():
    fates = Fates(7)
    fates.put(("n1",), ("n2",), Fate(loss=0.5))
    alone = [fates.datagram(0.0, "n1", "n2", 10) for _ in range(50)]
    again = Fates(7)
    again.put(("n*",), ("n2",), Fate(loss=0.5))
    mixed = []
    for _ in range(50):
        again.datagram(0.0, "n5", "n2", 10)  # what another pair sends changes nothing
        mixed.append(again.datagram(0.0, "n1", "n2", 10))
    assert alone == mixed and 10 < sum(not one for one in alone) < 40
    assert all(fates.datagram(0.0, "n2", "n1", 10) == (0.0,) for _ in range(20))  # the other way is clear


def test_the_latest_word_on_a_pair_holds_until_it_is_lifted():
    fates = Fates(1)
    first = fates.put(("n*",), ("list*",), Fate(delay=0.2))
    second = fates.put(("n3",), ("*",), Fate(cut=True))
    assert fates.of("n3", "list0").cut and fates.of("n2", "list0").delay == 0.2
    fates.lift(second)
    assert fates.of("n3", "list0") == Fate(delay=0.2)
    fates.lift(first)
    assert fates.of("n3", "list0") == Fate()


def test_bandwidth_copies_and_reordering_show_in_the_waits():
    fates = Fates(1)
    fates.put(("a",), ("b",), Fate(bandwidth=1000.0))
    assert [fates.datagram(0.0, "a", "b", 100) for _ in range(3)] == [(0.1,), (0.2,), (pytest.approx(0.3),)]
    fates.put(("a",), ("c",), Fate(copies=1.0, reorder=0.5, held=1.0))
    waits = [wait for _ in range(40) for wait in fates.datagram(0.0, "a", "c", 1)]
    assert len(waits) == 80 and {0.0, 1.0} == set(waits)


def test_a_seed_draws_the_same_schedule_again_and_each_seed_leaves_out_some_kinds():
    for seed in range(1, 30):
        steps = f.drawn(seed, 12)
        assert steps == f.drawn(seed, 12) == f.read_schedule(f.write_schedule(steps))
        assert 12 <= len(steps) <= 24 and steps != f.drawn(seed + 1, 12)
        orders = [step.order for step in steps if isinstance(step, f.Service)]
        assert orders.count("down") == orders.count("up")
    drawn = [{type(step) for step in f.drawn(seed, 12)} for seed in range(30)]
    assert set.union(*drawn) == {f.Kill, f.Term, f.Stop, f.Stall, f.Link, f.Service}
    assert sum(len(kinds) < 6 for kinds in drawn) > 20


def test_a_schedule_is_read_in_order_and_a_bad_one_names_the_place():
    steps = [
        f.Kill(at=2, who=["n1"], back=0.1),
        f.Stall(at=0.5, who=["n*"], span=0.3, apart=0.5, times=3),
        f.Link(at=1, sources=["n1"], targets=["n2"], fate=Fate(loss=0.2), span=5),
    ]
    read = f.read_schedule(f.write_schedule(steps))
    assert [type(step).__name__ for step in read] == ["Stall", "Link", "Kill"] and read[1] == steps[2]
    for bad, place in (
        (b'[{"do":"kill","at":-1,"who":["n1"]}]', "$[0].at"),
        (b'[{"do":"burn","at":1}]', "burn"),
        (b'[{"do":"stop","at":1,"who":[],"span":1}]', "$[0].who"),
        (b"[{", "truncated"),
    ):
        with pytest.raises(f.ScheduleError, match="^schedule: ") as error:
            f.read_schedule(bad)
        assert place in str(error.value)


def test_steps_are_played_at_their_times_and_logged():
    class Stage:
        def __init__(self):
            self.done = []

        async def carry_out(self, step):
            await asyncio.sleep(0.05 if step.at == 0 else 0)
            self.done.append(step.at)

    async def run():
        stage, log = Stage(), []
        steps = [f.Service(at=at, order="sync") for at in (0, 0.01, 0.02)]
        await f.play(steps, stage, lambda at, step: log.append(step.at), asyncio.get_running_loop().time)
        assert log == [0, 0.01, 0.02] and stage.done == [0.01, 0.02, 0]

    asyncio.run(run())


def test_local_addresses_tell_the_instance():
    assert [source_number(source_address(number)) for number in (0, 249, 250, 5000)] == [0, 249, 250, 5000]
    assert source_number("127.0.0.1") is None


def gated(play):
    async def run():
        async def echo(reader, writer):
            while data := await reader.read(1000):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        fates = Fates(1)
        gate = Gate("e0", server.sockets[0].getsockname()[:2], fates)
        await gate.start()

        async def connect(number):
            return await asyncio.open_connection(*gate.address, local_addr=(source_address(number), 0))

        try:
            async with asyncio.timeout(10):
                await play(gate, fates, connect)
        finally:
            await gate.stop()
            server.close()

    asyncio.run(run())


def test_a_gate_cuts_one_way_of_one_caller_and_what_waited_comes_after_the_cut():
    async def play(gate, fates, connect):
        cut, clear = await connect(2), await connect(3)
        for reader, writer in (cut, clear):
            writer.write(b"one")
            assert await reader.read(10) == b"one"
        number = fates.put(("e0",), ("n2",), Fate(cut=True))
        for _, writer in (cut, clear):
            writer.write(b"two")
        assert await clear[0].read(10) == b"two"
        waiting = asyncio.create_task(cut[0].read(10))
        clear[1].write(b"three")
        assert await clear[0].read(10) == b"three" and not waiting.done()
        fates.lift(number)
        assert await waiting == b"two"

    gated(play)


def test_a_gate_that_refuses_ends_what_is_open_and_what_comes():
    async def play(gate, fates, connect):
        reader, writer = await connect(1)
        writer.write(b"x")
        assert await reader.read(10) == b"x"
        fates.put(("n1",), ("e0",), Fate(refuse=True))
        gate.changed()
        for ended in (reader, (await connect(1))[0]):
            with pytest.raises(ConnectionError):
                if not await ended.read(10):
                    raise ConnectionResetError

    gated(play)


def test_a_relay_tells_sender_and_receiver_and_gives_each_pair_its_fate():
    async def run():
        socks = {}
        for name in ("n0", "n1", "n2"):
            sock = socks[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        fates, loop = Fates(1), asyncio.get_running_loop()
        relay = Relay(list(socks), {name: sock.getsockname() for name, sock in socks.items()}, fates)
        try:
            async with asyncio.timeout(10):
                socks["n0"].sendto(b"hello", relay.address["n1"])
                data, sender = await loop.sock_recvfrom(socks["n1"], 100)
                assert data == b"hello" and sender == relay.address["n0"]
                fates.put(("n0",), ("n1",), Fate(cut=True))
                socks["n0"].sendto(b"all", relay.everyone.getsockname())
                assert (await loop.sock_recvfrom(socks["n2"], 100))[0] == b"all"
                socks["n1"].sendto(b"back", relay.address["n0"])  # the other way is clear
                assert (await loop.sock_recvfrom(socks["n0"], 100))[0] == b"back"
                fates.put(("n1",), ("n2",), Fate(copies=1.0, delay=0.01))
                socks["n1"].sendto(b"twice", relay.address["n2"])
                assert [(await loop.sock_recvfrom(socks["n2"], 100))[0] for _ in range(2)] == [b"twice"] * 2
                assert relay.figures["lost"] == 1
                with pytest.raises(BlockingIOError):
                    socks["n1"].recv(100)
        finally:
            relay.stop()
            for sock in socks.values():
                sock.close()

    asyncio.run(run())
