"""Tests of the fake etcd member: after it has stopped, it serves no connection."""

import asyncio

import pytest
import uvloop
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import StreamTerminatedError

from applevale.discovery.registry import messages
from applevale.fakes import etcd
from applevale.fakes.key_value_store import KeyValueStore


async def read_revision(address):
    """Send a short read over a connection of its own and return the answer."""
    channel = Channel(*address)
    try:
        read = UnaryUnaryMethod(channel, messages.RANGE, messages.RangeRequest, messages.RangeResponse)
        async with asyncio.timeout(20):
            return await read(messages.RangeRequest(key=b"a", range_end=b"b", count_only=True))
    finally:
        channel.close()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_connection_accepted_in_the_same_loop_iteration_as_a_stop_is_not_served(run, monkeypatch):
    """The loop had accepted the connection, but not reported it when the member closed all connections."""
    stop_tasks = []
    sessions = []
    create_protocol = etcd._Server._protocol_factory

    def create_protocol_and_stop(server):
        protocol = create_protocol(server)
        # The loop calls `connection_made` after the tasks that are scheduled now.
        stop_tasks.append(asyncio.get_running_loop().create_task(server.member.stop()))
        return protocol

    async def main():
        member = etcd.Member(KeyValueStore())
        member.on_session_change = lambda caller, is_open: sessions.append(is_open)
        monkeypatch.setattr(etcd._Server, "_protocol_factory", create_protocol_and_stop)
        await member.start()
        with pytest.raises((StreamTerminatedError, OSError)):
            await read_revision(member.address)
        (stop_task,) = stop_tasks
        await stop_task
        return member

    member = run(main())
    assert member.read_count == 0 and member.connections == {} and sessions == []


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_stop_returns_after_all_sessions_have_ended(run):
    async def main():
        member = etcd.Member(KeyValueStore())
        sessions = []
        member.on_session_change = lambda caller, is_open: sessions.append(is_open)
        await member.start()
        channels = [Channel(*member.address) for _ in range(3)]
        for channel in channels:
            await channel.__connect__()
        read = UnaryUnaryMethod(channels[0], messages.RANGE, messages.RangeRequest, messages.RangeResponse)
        await read(messages.RangeRequest(key=b"a", range_end=b"b", count_only=True))
        async with asyncio.timeout(20):
            while len(member.connections) < len(channels):
                await asyncio.sleep(0)
        await member.stop()
        sessions_at_return = list(sessions)
        for channel in channels:
            channel.close()
        return sessions_at_return

    assert run(main()) == [True] * 3 + [False] * 3
