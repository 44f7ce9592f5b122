"""Corrupt replies of engines, on sockets: none is passed on, and other requests are hardly affected."""

import asyncio
from math import inf

import pytest
from process import EXAMPLE_CONFIG, Handler, Instance
from rpc_client import FAILED, Response, RpcClient
from toy_engine import answer, rows

from applevale import api
from applevale.discovery import endpoints as members
from applevale.engines.attempt import AttemptFailed, AttemptSpec, Progress
from applevale.engines.limits import ConnectionLimits
from applevale.engines.pool import EnginePool
from applevale.observability.counters import Counters

GOOD = b"".join(rows(3))


def result(tag, body=GOOD, page_count=b"1"):
    return answer(tag, b"HIT", b"sheets=%b,toil=1,room=1" % page_count, body)


CORRUPT = {
    "noise": lambda tag: b"\x00\xff%4:\r\n",
    "3-GB": lambda tag: result(tag).replace(b"$%d" % len(GOOD), b"$3000000000") + b"x" * 40000,
    "line": lambda tag: b"*4\r\n$" + b"1" * 40000,
    "many": lambda tag: b"*2147483647\r\n",
    "nested": lambda tag: b"*4\r\n$1\r\nx\r\n*2147483647\r\n",
    "short": lambda tag: result(tag).replace(b"$%d" % len(GOOD), b"$%d" % (len(GOOD) - 20)),
    "long": lambda tag: result(tag).replace(b"$%d" % len(GOOD), b"$%d" % (len(GOOD) + 1)) + result(b"other"),
    "cut": lambda tag: result(tag, GOOD[:-4]),
    "columns": lambda tag: result(tag, GOOD.replace(b"\t", b" ", 1)),
    "sheets": lambda tag: result(tag, page_count=b"nan"),
    "none": lambda tag: result(tag, page_count=b"0"),
    "number": lambda tag: result(tag, page_count=b"2") + answer(tag, b"PART", b"sheet=9", GOOD),
    "word": lambda tag: answer(tag, b"HAT", b"sheets=1", GOOD),
    "stop": lambda tag: result(tag)[:-30],
    "never": lambda tag: b"",
}
ADDED = {
    "copy": lambda tag: result(tag) + result(tag),
    "ahead": lambda tag: result(b"f" * 16, b"a\tb\tc\n") + result(tag),
    "pages": lambda tag: result(tag, page_count=b"2") * 2 + answer(tag, b"PART", b"sheet=1", GOOD) * 2,
}


class CorruptingHandler(Handler):
    """Corrupts the first reply to each id as its statement says."""

    def handle_command(self, word, tag, *rest):
        kind = rest[1].decode().rpartition("--")[2].strip() if word == b"want" else ""
        if kind not in CORRUPT | ADDED:
            return word == b"turn" or super().handle_command(word, tag, *rest)
        again = [command[1] for command in self.server.seen if command[0] == b"want"].count(tag) > 1
        self.request.sendall(result(tag) if again else (CORRUPT | ADDED)[kind](tag))
        return True


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    node = Instance(tmp_path_factory.mktemp("corrupt_replies"), EXAMPLE_CONFIG, CorruptingHandler)
    yield node
    node.stop()


def ask(node, kind, method, **more):
    client, ref = RpcClient(node.address), f"{[*CORRUPT, *ADDED].index(kind) + 64 * len(method):016x}"
    client.send_request(
        1, method, ref, f"select * from air_1.x -- {kind}", lookup=f"{len(ref + kind)}", **more
    )
    return client.read_response(), node.engine_commands(ref)


@pytest.mark.parametrize("kind", CORRUPT)
def test_a_request_with_a_corrupt_reply_is_sent_again(node, kind):
    found, words = ask(node, kind, "lookup")
    assert found == Response(1, None, [GOOD, {}]) and words.count(b"want") == 2


@pytest.mark.parametrize("kind", CORRUPT)
def test_a_load_with_a_corrupt_reply_fails_and_is_not_sent_again(node, kind):
    found, words = ask(node, kind, "load")
    assert found == Response(1, FAILED, None) and words.count(b"want") == 1


@pytest.mark.parametrize("kind", ADDED)
def test_what_comes_beside_a_valid_reply_is_ignored(node, kind):
    # Long work, by its estimate: what seems overdue on a machine that stands still is sent anew, rightly.
    found, words = ask(node, kind, "report", effort="9000")
    assert (
        found == Response(1, None, [GOOD * (2 if kind == "pages" else 1), {}]) and words.count(b"want") == 1
    )


def test_a_new_engine_at_an_old_address_shares_nothing_with_the_old_one():
    limits = ConnectionLimits(32, 15.0, 0.25)
    pool = EnginePool(limits, (), 8, Counters())
    results = []
    address = ("127.0.0.1", 1)
    for number in (1, 2):
        pool.update(
            members.EndpointUpdate(number, False, (members.Endpoint(api.EngineEntry(number), address),))
        )

    async def start():
        pool.start_attempt(1, AttemptSpec(b"1", "load", b"x", inf, inf), set(), results.append)

    asyncio.run(start())
    assert results == [AttemptFailed(Progress.NOT_SENT, api.Result.MOOT)]
    assert list(pool.engines) == [2]


@pytest.mark.parametrize("price,interval", [(0.0, 3.0), (0.011, 3.0), (0.08, 12.0)])
def test_pings_are_rare_where_probes_are_expensive_but_not_while_corruption_is_suspected(price, interval):
    async def main():
        pool = EnginePool(ConnectionLimits(32, 15.0, 0.25, probe_price=price), (), 8, Counters())
        usual = pool.ping_interval()
        pool.record_corrupt_response()
        return usual, pool.ping_interval()

    assert asyncio.run(main()) == (interval, 1.0)


@pytest.mark.parametrize("price,count", [(0.0, 3), (0.08, 1)])
def test_connections_are_shared_where_handshakes_have_a_price(price, count):
    async def main():
        pool = EnginePool(ConnectionLimits(32, 15.0, 0.25, price), (), 90, Counters())
        pool.update(
            members.EndpointUpdate(1, True, (members.Endpoint(api.EngineEntry(1), ("127.0.0.1", 1)),))
        )
        engine = pool.engines[1]
        results = []
        for request_id in (b"1", b"2", b"3"):
            pool.start_attempt(1, AttemptSpec(request_id, "lookup", b"x", inf, inf), set(), results.append)
        shared = len(engine.connections)
        pool.start_attempt(
            1, AttemptSpec(b"4", "load", b"x", inf, inf, exclusive=True), set(), results.append
        )
        exclusive = len(engine.connections)
        pool.record_corrupt_response()  # a reply to one could now end all on its connection
        pool.start_attempt(1, AttemptSpec(b"5", "lookup", b"x", inf, inf), set(), results.append)
        suspected = len(engine.connections)
        while engine.connections:
            await asyncio.sleep(0)
        return shared, exclusive, suspected

    assert asyncio.run(main()) == (count, count + 1, count + 2)
