"""Tests of the limit on the bytes that are buffered for clients: who gives way, and what is counted."""

import asyncio
import contextlib

from test_turns import pack_usual_request, read_responses, run_with_server

LIMIT_BYTES = 1 << 20
STATEMENT_BYTES = 40_000


def pack_held_request(message_id, reference, statement_bytes=STATEMENT_BYTES):
    """Return a request that stays open until the handler may answer all."""
    return pack_usual_request(message_id, reference, b"select 2 -- ".ljust(statement_bytes, b"x"))


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0)


async def send_all(client, data):
    """Send data, of which the server may read only a part before it closes the connection."""
    client.setblocking(False)
    with contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_sendall(client, data)


def test_statements_of_others_do_not_end_a_connection_on_which_requests_run():
    # Case 9 of the review: the client with an unfinished message gave way, with its open requests.
    async def scenario(setup):
        setup.server.start(setup.listener)
        usual = setup.connect(b"".join(pack_held_request(number, number, 20) for number in (1, 2, 3)))
        await send_all(usual, pack_held_request(4, 4, 100_000)[:-1])
        await wait_until(lambda: setup.server.connections.buffered_bytes > 100_000)
        for index in range(1, 9):
            data = b"".join(pack_held_request(number, (index << 32) + number) for number in range(1, 9))
            await send_all(setup.connect(), data)
        await wait_until(lambda: setup.counters["taken_read"] == 3 + 8 * 8)
        setup.handler.may_answer_all.set()
        return await read_responses(usual, 3), setup.counters

    responses, counters = run_with_server(scenario, max_buffered_bytes=LIMIT_BYTES)
    assert sorted(responses) == [[1, number, None, [b"row", {}]] for number in (1, 2, 3)]
    assert counters["statements_refused"] > 0
    assert counters["slow_clients_closed"] == 0


def test_clients_that_are_owed_nothing_give_way_first():
    async def scenario(setup):
        setup.server.start(setup.listener)
        usual = setup.connect(pack_held_request(1, 1, 20))
        await send_all(usual, pack_held_request(2, 2, 200_000)[:-1])
        await wait_until(lambda: setup.server.connections.buffered_bytes > 200_000)
        for index in range(1, 9):
            await send_all(setup.connect(), pack_held_request(1, index << 32, 150_000)[:-1])
        await wait_until(lambda: setup.counters["slow_clients_closed"])
        setup.handler.may_answer_all.set()
        return await read_responses(usual, 1)

    responses = run_with_server(scenario, max_buffered_bytes=LIMIT_BYTES)
    assert responses == [[1, 1, None, [b"row", {}]]]


def test_nothing_is_counted_once_all_connections_have_ended():
    # The count fell below zero when a connection gave way for its own unfinished message.
    async def scenario(setup):
        setup.server.start(setup.listener)
        client = setup.connect(pack_held_request(1, 1, 20))
        await send_all(client, pack_held_request(2, 2, 200_000)[:-1])
        await wait_until(lambda: setup.counters["slow_clients_closed"])
        await wait_until(lambda: not len(setup.server.connections))
        await asyncio.sleep(0.01)
        return setup.server.connections.buffered_bytes

    assert run_with_server(scenario, max_buffered_bytes=STATEMENT_BYTES) == 0
