"""Corrupt replies of engines: clients never get one, and other requests are hardly affected.

Most tests start the program with an engine that corrupts its replies in the way that the statement asks for.
"""

import asyncio
from math import inf

import pytest
from process import EXAMPLE_CONFIG, EXECUTE, Handler, Instance
from rpc_client import FAILED, Response, RpcClient
from toy_engine import CMD_FETCH_PAGE, answer, rows

from applevale import api
from applevale.discovery import endpoints
from applevale.engines.attempt import AttemptFailed, AttemptSpec, Progress
from applevale.engines.limits import ConnectionLimits
from applevale.engines.pool import EnginePool
from applevale.observability.counters import Counters

VALID_ROWS = b"".join(rows(3))
ROWS_HEADER = b"$%d" % len(VALID_ROWS)


def result_reply(tag, body=VALID_ROWS, page_count=b"1"):
    """Return a reply with a result."""
    return answer(tag, b"HIT", b"sheets=%b,toil=1,room=1" % page_count, body)


def page_reply(tag, page_number):
    """Return a reply with a further page of a result."""
    return answer(tag, b"PART", b"sheet=%b" % page_number, VALID_ROWS)


# Replies that are invalid, by what is wrong with them.
CORRUPT_REPLIES = {
    "noise": lambda tag: b"\x00\xff%4:\r\n",
    "string_of_3_gb": lambda tag: result_reply(tag).replace(ROWS_HEADER, b"$3000000000") + b"x" * 40000,
    "endless_length": lambda tag: b"*4\r\n$" + b"1" * 40000,
    "huge_array": lambda tag: b"*2147483647\r\n",
    "nested_huge_array": lambda tag: b"*4\r\n$1\r\nx\r\n*2147483647\r\n",
    "length_too_small": lambda tag: result_reply(tag).replace(ROWS_HEADER, b"$%d" % (len(VALID_ROWS) - 20)),
    "length_too_large": lambda tag: (
        result_reply(tag).replace(ROWS_HEADER, b"$%d" % (len(VALID_ROWS) + 1)) + result_reply(b"other")
    ),
    "truncated_row": lambda tag: result_reply(tag, VALID_ROWS[:-4]),
    "missing_column": lambda tag: result_reply(tag, VALID_ROWS.replace(b"\t", b" ", 1)),
    "page_count_not_a_number": lambda tag: result_reply(tag, page_count=b"nan"),
    "page_count_zero": lambda tag: result_reply(tag, page_count=b"0"),
    "page_number_too_large": lambda tag: result_reply(tag, page_count=b"2") + page_reply(tag, b"9"),
    "unknown_status": lambda tag: answer(tag, b"HAT", b"sheets=1", VALID_ROWS),
    "truncated_reply": lambda tag: result_reply(tag)[:-30],
    "no_reply": lambda tag: b"",
}
# Valid replies together with surplus ones.
SURPLUS_REPLIES = {
    "repeated_reply": lambda tag: result_reply(tag) * 2,
    "reply_to_unknown_request": lambda tag: result_reply(b"f" * 16, b"a\tb\tc\n") + result_reply(tag),
    "repeated_pages": lambda tag: result_reply(tag, page_count=b"2") * 2 + page_reply(tag, b"1") * 2,
}
FAULTY_REPLIES = CORRUPT_REPLIES | SURPLUS_REPLIES
FAULTS = list(FAULTY_REPLIES)


class CorruptingHandler(Handler):
    """Sends the faulty reply that the comment of a statement names, and a valid one if it is sent again."""

    def handle_command(self, name, tag, *arguments):
        fault = arguments[1].decode().rpartition("--")[2].strip() if name == EXECUTE else ""
        if fault not in FAULTY_REPLIES:
            # The faulty replies include all pages, so commands that fetch pages get no reply.
            return name == CMD_FETCH_PAGE or super().handle_command(name, tag, *arguments)
        executed_tags = [command[1] for command in self.server.received_commands if command[0] == EXECUTE]
        is_repeated = executed_tags.count(tag) > 1
        self.request.sendall(result_reply(tag) if is_repeated else FAULTY_REPLIES[fault](tag))
        return True


@pytest.fixture(scope="module")
def instance(tmp_path_factory):
    """Return an instance whose engine sends faulty replies; the tests of this file share it."""
    instance = Instance(tmp_path_factory.mktemp("corrupt_replies"), EXAMPLE_CONFIG, CorruptingHandler)
    yield instance
    instance.stop()


def send_request_for_fault(instance, fault, method, **fields):
    """Send a request that gets a faulty reply; return its response and the commands that the engine got."""
    client = RpcClient(instance.address)
    request_id = f"{FAULTS.index(fault) + 64 * len(method):016x}"
    order_key = f"{FAULTS.index(fault) + 1:x}"
    statement = f"select * from air_1.x -- {fault}"
    client.send_request(1, method, request_id, statement, lookup=order_key, **fields)
    return client.read_response(), instance.engine_commands(request_id)


@pytest.mark.parametrize("fault", CORRUPT_REPLIES)
def test_a_request_with_a_corrupt_reply_is_sent_again(instance, fault):
    response, commands = send_request_for_fault(instance, fault, "lookup")
    assert response == Response(1, None, [VALID_ROWS, {}])
    assert commands.count(EXECUTE) == 2


@pytest.mark.parametrize("fault", CORRUPT_REPLIES)
def test_a_load_with_a_corrupt_reply_fails_and_is_not_sent_again(instance, fault):
    response, commands = send_request_for_fault(instance, fault, "load")
    assert response == Response(1, FAILED, None)
    assert commands.count(EXECUTE) == 1


@pytest.mark.parametrize("fault", SURPLUS_REPLIES)
def test_surplus_replies_are_ignored(instance, fault):
    # Overdue attempts are sent again. The large estimate keeps a stall of the machine from making this
    # attempt look overdue.
    response, commands = send_request_for_fault(instance, fault, "report", effort="9000")
    page_count = 2 if fault == "repeated_pages" else 1
    assert response == Response(1, None, [VALID_ROWS * page_count, {}])
    assert commands.count(EXECUTE) == 1


def test_a_new_engine_at_the_address_of_an_old_one_replaces_it():
    limits = ConnectionLimits(32, 15.0, 0.25)
    pool = EnginePool(limits, (), 8, Counters())
    results = []
    address = ("127.0.0.1", 1)
    for engine_id in (1, 2):
        endpoint = endpoints.Endpoint(api.EngineEntry(engine_id), address)
        pool.update(endpoints.EndpointUpdate(engine_id, False, (endpoint,)))

    async def start_attempt():
        pool.start_attempt(1, AttemptSpec(b"1", "load", b"x", inf, inf), set(), results.append)

    asyncio.run(start_attempt())
    assert results == [AttemptFailed(Progress.NOT_SENT, api.Result.WITHDRAWN)]
    assert list(pool.engines) == [2]


@pytest.mark.parametrize("price, interval", [(0.0, 3.0), (0.011, 3.0), (0.08, 12.0)])
def test_pings_are_rare_at_a_high_price_of_probes_unless_corruption_is_suspected(price, interval):
    async def main():
        pool = EnginePool(ConnectionLimits(32, 15.0, 0.25, probe_price=price), (), 8, Counters())
        usual_interval = pool.ping_interval()
        pool.record_corruption()
        return usual_interval, pool.ping_interval()

    assert asyncio.run(main()) == (interval, 1.0)


@pytest.mark.parametrize("price, connection_count", [(0.0, 3), (0.08, 1)])
def test_connections_are_shared_if_handshakes_have_a_price(price, connection_count):
    async def main():
        pool = EnginePool(ConnectionLimits(32, 15.0, 0.25, handshake_cost=price), (), 90, Counters())
        endpoint = endpoints.Endpoint(api.EngineEntry(1), ("127.0.0.1", 1))
        pool.update(endpoints.EndpointUpdate(1, True, (endpoint,)))
        engine = pool.engines[1]
        results = []

        def start_attempt(request_id, class_name, exclusive=False):
            spec = AttemptSpec(request_id, class_name, b"x", inf, inf, exclusive=exclusive)
            pool.start_attempt(1, spec, set(), results.append)
            return len(engine.connections)

        start_attempt(b"1", "lookup")
        start_attempt(b"2", "lookup")
        count_after_three = start_attempt(b"3", "lookup")
        count_after_exclusive = start_attempt(b"4", "load", exclusive=True)
        pool.record_corruption()  # from now on a shared connection could lose several attempts at once
        count_under_suspicion = start_attempt(b"5", "lookup")
        while engine.connections:
            await asyncio.sleep(0)
        return count_after_three, count_after_exclusive, count_under_suspicion

    assert asyncio.run(main()) == (connection_count, connection_count + 1, connection_count + 2)
