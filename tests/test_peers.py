"""Answers that engines spoil, on sockets: what is spoilt is never passed on, and costs no one else much."""

import asyncio
from math import inf

import pytest
from test_node import EXAMPLE, Client, Handler, Node
from toy_engine import answer, rows

from applevale import api
from applevale.discovery import endpoints as members
from applevale.engines import connection as engine
from applevale.engines.limits import ConnectionLimits
from applevale.observability.counters import Counters

GOOD = b"".join(rows(3))


def hit(tag, body=GOOD, sheets=b"1"):
    return answer(tag, b"HIT", b"sheets=%b,toil=1,room=1" % sheets, body)


SPOILT = {
    "noise": lambda tag: b"\x00\xff%4:\r\n",
    "3-GB": lambda tag: hit(tag).replace(b"$%d" % len(GOOD), b"$3000000000") + b"x" * 40000,
    "line": lambda tag: b"*4\r\n$" + b"1" * 40000,
    "many": lambda tag: b"*2147483647\r\n",
    "nested": lambda tag: b"*4\r\n$1\r\nx\r\n*2147483647\r\n",
    "short": lambda tag: hit(tag).replace(b"$%d" % len(GOOD), b"$%d" % (len(GOOD) - 20)),
    "long": lambda tag: hit(tag).replace(b"$%d" % len(GOOD), b"$%d" % (len(GOOD) + 1)) + hit(b"other"),
    "cut": lambda tag: hit(tag, GOOD[:-4]),
    "columns": lambda tag: hit(tag, GOOD.replace(b"\t", b" ", 1)),
    "sheets": lambda tag: hit(tag, sheets=b"nan"),
    "none": lambda tag: hit(tag, sheets=b"0"),
    "number": lambda tag: hit(tag, sheets=b"2") + answer(tag, b"PART", b"sheet=9", GOOD),
    "word": lambda tag: answer(tag, b"HAT", b"sheets=1", GOOD),
    "stop": lambda tag: hit(tag)[:-30],
    "never": lambda tag: b"",
}
ADDED = {
    "copy": lambda tag: hit(tag) + hit(tag),
    "ahead": lambda tag: hit(b"f" * 16, b"a\tb\tc\n") + hit(tag),
    "pages": lambda tag: hit(tag, sheets=b"2") * 2 + answer(tag, b"PART", b"sheet=1", GOOD) * 2,
}


class Spoiling(Handler):
    """Spoils the first answer to each id as its statement says."""

    def take(self, word, tag, *rest):
        kind = rest[1].decode().rpartition("--")[2].strip() if word == b"want" else ""
        if kind not in SPOILT | ADDED:
            return word == b"turn" or super().take(word, tag, *rest)
        again = [command[1] for command in self.server.seen if command[0] == b"want"].count(tag) > 1
        self.request.sendall(hit(tag) if again else (SPOILT | ADDED)[kind](tag))
        return True


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    node = Node(tmp_path_factory.mktemp("peers"), EXAMPLE, Spoiling)
    yield node
    node.stop()


def ask(node, kind, method, **more):
    client, ref = Client(node), f"{[*SPOILT, *ADDED].index(kind) + 64 * len(method):016x}"
    client.ask(1, method, ref, f"select * from air_1.x -- {kind}", lookup=f"{len(ref + kind)}", **more)
    return client.read(), node.words(ref)


@pytest.mark.parametrize("kind", SPOILT)
def test_a_spoilt_answer_is_asked_for_again(node, kind):
    found, words = ask(node, kind, "lookup")
    assert found == [1, 1, None, [GOOD, {}]] and words.count(b"want") == 2


@pytest.mark.parametrize("kind", SPOILT)
def test_a_load_whose_answer_is_spoilt_fails_and_is_not_sent_again(node, kind):
    found, words = ask(node, kind, "load")
    assert found == [1, 1, ["Error", {}], None] and words.count(b"want") == 1


@pytest.mark.parametrize("kind", ADDED)
def test_what_comes_beside_a_good_answer_is_passed_over(node, kind):
    # Long work, by its estimate: what seems overdue on a machine that stands still is sent anew, rightly.
    found, words = ask(node, kind, "report", effort="9000")
    assert found == [1, 1, None, [GOOD * (2 if kind == "pages" else 1), {}]] and words.count(b"want") == 1


def test_a_new_engine_at_an_old_address_shares_nothing_with_the_old_one():
    links = ConnectionLimits(32, 15.0, 0.25)
    fleet, ends, address = engine.Fleet(links, (), 8, Counters()), [], ("127.0.0.1", 1)
    for number in (1, 2):
        fleet.update(
            members.EndpointUpdate(number, False, (members.Endpoint(api.EngineEntry(number), address),))
        )

    async def start():
        fleet.start(1, engine.Want(b"1", "load", b"x", inf, inf), set(), ends.append)

    asyncio.run(start())
    assert ends == [engine.Broken(engine.Reach.NEVER_SENT, api.Result.MOOT)] and list(fleet.engines) == [2]


@pytest.mark.parametrize("price,quiet", [(0.0, 3.0), (0.011, 3.0), (0.08, 12.0)])
def test_links_are_asked_seldom_where_a_probe_is_dear_but_not_once_one_was_spoilt(price, quiet):
    async def main():
        fleet = engine.Fleet(ConnectionLimits(32, 15.0, 0.25, probe_price=price), (), 8, Counters())
        calm = fleet.quiet()
        fleet.spoilt()
        return calm, fleet.quiet()

    assert asyncio.run(main()) == (quiet, 1.0)


@pytest.mark.parametrize("price,links", [(0.0, 3), (0.08, 1)])
def test_links_are_shared_where_handshakes_are_charged(price, links):
    async def main():
        fleet = engine.Fleet(ConnectionLimits(32, 15.0, 0.25, price), (), 90, Counters())
        fleet.update(
            members.EndpointUpdate(1, True, (members.Endpoint(api.EngineEntry(1), ("127.0.0.1", 1)),))
        )
        one, ends = fleet.engines[1], []
        for ref in (b"1", b"2", b"3"):
            fleet.start(1, engine.Want(ref, "lookup", b"x", inf, inf), set(), ends.append)
        shared = len(one.links)
        fleet.start(1, engine.Want(b"4", "load", b"x", inf, inf, alone=True), set(), ends.append)
        alone = len(one.links)
        fleet.spoilt()  # the answer of one could now end all on its link
        fleet.start(1, engine.Want(b"5", "lookup", b"x", inf, inf), set(), ends.append)
        wary = len(one.links)
        while one.links:
            await asyncio.sleep(0)
        return shared, alone, wary

    assert asyncio.run(main()) == (links, links + 1, links + 2)
