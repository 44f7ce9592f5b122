"""The fake etcd member: once it has stopped, it serves nobody."""

import asyncio

import pytest
import uvloop
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import StreamTerminatedError

from applevale.discovery.registry import messages as m
from applevale.fakes import etcd
from applevale.fakes.key_value_store import KeyValueStore


async def read_revision(address):
    """One short read over a connection of its own."""
    channel = Channel(*address)
    try:
        read = UnaryUnaryMethod(channel, m.RANGE, m.RangeRequest, m.RangeResponse)
        async with asyncio.timeout(20):
            return await read(m.RangeRequest(key=b"a", range_end=b"b", count_only=True))
    finally:
        channel.close()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_connection_accepted_in_the_loop_iteration_of_a_stop_is_not_served(run, monkeypatch):
    """The loop has accepted it, and the member did not know of it yet when it closed all connections."""
    stops, sessions = [], []
    make_protocol = etcd._Server._protocol_factory

    def stop_first(server):
        protocol = make_protocol(server)  # the loop calls `connection_made` after what is scheduled now
        stops.append(asyncio.get_running_loop().create_task(server.member.stop()))
        return protocol

    async def main():
        member = etcd.Member(KeyValueStore())
        member.on_session_change = lambda caller, is_open: sessions.append(is_open)
        monkeypatch.setattr(etcd._Server, "_protocol_factory", stop_first)
        await member.start()
        with pytest.raises((StreamTerminatedError, OSError)):
            await read_revision(member.address)
        (stop,) = stops
        await stop
        return member

    member = run(main())
    assert member.read_count == 0 and member.connections == {} and sessions == []


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_stop_returns_after_the_end_of_each_session(run):
    async def main():
        member, sessions = etcd.Member(KeyValueStore()), []
        member.on_session_change = lambda caller, is_open: sessions.append(is_open)
        await member.start()
        channels = [Channel(*member.address) for _ in range(3)]
        for channel in channels:
            await channel.__connect__()
        read = UnaryUnaryMethod(channels[0], m.RANGE, m.RangeRequest, m.RangeResponse)
        await read(m.RangeRequest(key=b"a", range_end=b"b", count_only=True))
        async with asyncio.timeout(20):
            while len(member.connections) < len(channels):
                await asyncio.sleep(0)
        await member.stop()
        known_at_return = list(sessions)
        for channel in channels:
            channel.close()
        return known_at_return

    assert run(main()) == [True] * 3 + [False] * 3
