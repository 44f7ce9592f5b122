"""The operators' door and what it works on: calls, bans and their file, figures, a silent caller."""

import asyncio
import hashlib
import json
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale import api
from applevale.admin import ejection_store as shared
from applevale.admin import ejections as bans
from applevale.admin.metrics import Figures
from applevale.admin.routes import answer
from applevale.admin.server import MOST_CALLS, Door
from applevale.discovery.endpoints import Endpoint, EndpointUpdate
from applevale.discovery.gated_endpoints import GatedEndpoints
from applevale.observability.counters import Counters


class Operated:
    def __init__(self):
        self.banned, self.draining, self.listed = set(), False, {"s-00000001"}

    def ready(self):
        return not self.draining

    def figures(self):
        return {"concurrent": 0}

    def disable(self, host):
        self.banned |= {host} & self.listed
        return host in self.listed

    def enable(self, host):
        self.banned.discard(host)
        return host in self.listed

    def drain(self):
        self.draining = True

    def undrain(self):
        self.draining = False


def test_each_call_has_its_answer_and_bad_ones_change_nothing():
    op = Operated()
    assert answer(op, "GET", "/ready", b"").status == 200
    assert answer(op, "POST", "/engines/disable", b'{"host":"s-00000001"}').status == 200
    assert answer(op, "POST", "/engines/disable", b'{"host":"s-00000001"}').status == 200  # again: the same
    assert op.banned == {"s-00000001"}
    assert answer(op, "POST", "/engines/disable", b'{"host":"s-0000000f"}').status == 404
    bad = answer(op, "POST", "/engines/disable", b'{"hots":"s-00000001"}')
    assert (bad.status, bad.body["field"]) == (400, "host")
    assert answer(op, "POST", "/engines/enable", b"[").body["field"] == "body"
    assert answer(op, "GET", "/drain", b"").status == 405 and not op.draining
    assert answer(op, "POST", "/nowhere", b"").status == 404
    assert answer(op, "POST", "/drain", b"").status == 200 and answer(op, "GET", "/ready", b"").status == 503
    answer(op, "POST", "/engines/enable", b'{"host":"s-00000001"}')
    assert op.banned == set()


def member(engine, state=api.State.READY):
    return Endpoint(api.EngineEntry(engine, state=state), ("127.0.0.1", 7000 + engine))


def test_a_banned_engine_is_told_as_draining_whatever_the_feed_says_until_enabled():
    gated, ban = GatedEndpoints(), bans.Bans()
    gated.ejected = ban.banned
    first = EndpointUpdate(1, True, (member(1), member(2)))
    ban.listed(first.endpoints)
    gated.apply_update(first)
    engine = ban.find("s-00000002")
    assert engine == 2 and ban.find("127.0.0.1:7002") == 2 and ban.find("s-00000009") is None
    assert ban.say(engine, True, 1.0) and not ban.say(engine, True, 2.0)
    assert gated.present(engine).entries[0].state is api.State.DRAINING
    again = gated.apply_update(EndpointUpdate(2, False, (member(2),)))  # the feed lists it as ready again
    assert again.entries[0].state is api.State.DRAINING
    assert ban.say(engine, False, 3.0) and not ban.say(engine, False, 4.0)
    assert gated.present(engine).entries[0].state is api.State.READY


def test_the_text_of_bans_is_read_back_whole_or_refused():
    words = {1: bans.Word(5.25, True), 0xC41F7A: bans.Word(6.0, False)}
    data = bans.encode(words)
    assert bans.decode(data) == words
    foreign = [
        json.dumps({"body": body, "sha256": hashlib.sha256(body.encode()).hexdigest()}).encode()
        for body in (
            '{"form":1,"banned":[]}',
            '{"form":2,"words":{"s-1":[1e999,true]}}',
            '{"form":2,"words":{"s-1":[1]}}',
            '{"form":2,"words":{"s-1":[1,1]}}',
            "[]",
        )
    ]
    for torn in (data[: len(data) // 2], data.replace(b"00000001", b"00000002"), b"{}", b"\xff", *foreign):
        with pytest.raises(bans.BanFileError):
            bans.decode(torn)


call = st.tuples(st.integers(0, 1), st.integers(1, 3), st.booleans(), st.integers(0, 5))


@given(st.lists(call, max_size=12), st.lists(st.integers(0, 1), max_size=6))
def test_two_processes_end_with_the_same_bans_whoever_writes_when(tmp_path_factory, calls, looks):
    path = str(tmp_path_factory.mktemp("bans") / "bans.json")
    two = [shared.SharedBans(path, bans.Bans()) for _ in range(2)]
    last = {}
    for at, (process, engine, banned, clock) in enumerate(calls):  # their clocks may differ, and step back
        two[process].say(engine, banned, float(clock))
        last[engine] = banned
        if at < len(looks):
            two[looks[at]].look()
    for process in two:
        process.look()
        assert process.bans.banned == {engine for engine, banned in last.items() if banned}


def test_a_ban_that_another_overwrote_unread_is_written_again(tmp_path):
    path = str(tmp_path / "bans.json")
    one, other = (shared.SharedBans(path, bans.Bans()) for _ in range(2))
    one.say(1, True, 10.0)
    other.bans.say(2, True, 11.0)
    other.write()  # as if it had looked just before the other wrote
    assert one.look() == [2] and other.look() == [1]
    assert one.bans.banned == other.bans.banned == {1, 2} and one.look() == other.look() == []


def test_a_torn_file_changes_no_ban_and_the_next_call_mends_it(tmp_path, capsys):
    path = tmp_path / "bans.json"
    first = shared.SharedBans(str(path), bans.Bans())
    first.say(7, True, 1.0)
    path.write_bytes(path.read_bytes()[:20])
    assert first.look() == [] and first.bans.banned == {7} and "bans: " in capsys.readouterr().err
    assert shared.SharedBans(str(path), bans.Bans()).look() == []  # a start with no bans, not with wrong ones
    first.say(8, True, 2.0)
    after = shared.SharedBans(str(path), bans.Bans())
    assert after.look() == [7, 8] and after.bans.find("s-00000007") == 7
    assert after.say(7, False, 3.0) == [7] and after.bans.banned == {8}


def test_figures_are_counted_where_the_events_are_and_read_at_once():
    figures = Figures(("lookup", "load"))
    open_now = [3]
    figures.concurrent = lambda: open_now[0]
    for outcome in ["success"] * 5 + ["overload"] * 2 + ["error"]:
        figures.answered(0, outcome)
    figures.dispatched("load")
    figures.dispatched("nobody")  # an attempt of no class that is listed counts nowhere
    figures.reloaded(False)
    shot = figures.snapshot()
    assert shot["replies"]["lookup"] == {"success": 5, "overload": 2, "error": 1, "dispatches": 0}
    assert shot["replies"]["load"]["dispatches"] == 1 == shot["dispatches"]
    assert (shot["concurrent"], shot["reload_failure"], shot["reload_success"]) == (3, 1, 0)


async def _door_with(calls):
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    counters = Counters()
    door = asyncio.create_task(Door(Operated(), counters).serve(listener))
    loop = asyncio.get_running_loop()
    try:
        return [await calls(loop, listener.getsockname()), counters]
    finally:
        door.cancel()
        listener.close()


async def _ask(loop, at, data):
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, at)
    await loop.sock_sendall(sock, data)
    got = b""
    while chunk := await loop.sock_recv(sock, 4096):
        got += chunk
    sock.close()
    return got


def test_a_silent_caller_costs_its_timer_and_others_are_answered_meanwhile():
    async def calls(loop, at):
        silent = socket.socket()
        silent.setblocking(False)
        await loop.sock_connect(silent, at)
        await loop.sock_sendall(silent, b"GET /rea")  # half a head, then nothing
        ready = await _ask(loop, at, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n")
        closed = await loop.sock_recv(silent, 10)  # the door closes it at its timer
        silent.close()
        return ready, closed

    (ready, closed), counters = asyncio.run(_door_with(calls))
    assert ready.startswith(b"HTTP/1.1 200") and json.loads(ready.split(b"\r\n\r\n")[1]) == {"ready": True}
    assert closed == b"" and counters["door_timeouts"] == 1


def test_what_is_no_http_or_too_large_is_answered_once_with_its_fault():
    async def calls(loop, at):
        garbage = await _ask(loop, at, b"\x00\x01 nonsense\r\n\r\n")
        head = await _ask(loop, at, b"GET /ready HTTP/1.1\r\nx: " + b"y" * 20_000 + b"\r\n\r\n")
        body = await _ask(loop, at, b"POST /drain HTTP/1.1\r\nhost: x\r\ncontent-length: 99999\r\n\r\n")
        return garbage, head, body

    (garbage, head, body), _ = asyncio.run(_door_with(calls))
    assert garbage.startswith(b"HTTP/1.1 400") and head.startswith(b"HTTP/1.1 431")
    assert body.startswith(b"HTTP/1.1 413")


def test_a_flood_of_silent_callers_leaves_room_for_a_call():
    async def calls(loop, at):
        silent = [socket.create_connection(at) for _ in range(MOST_CALLS + 5)]
        ready = await _ask(loop, at, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n")
        for sock in silent:
            sock.close()
        return ready

    ready, counters = asyncio.run(_door_with(calls))
    assert ready.startswith(b"HTTP/1.1 200") and counters["door_evicted"] == 6
    assert counters["door_timeouts"] == 0  # it did not wait for their timers


def test_a_head_request_is_refused_without_a_body():
    async def calls(loop, at):
        return await _ask(loop, at, b"HEAD /ready HTTP/1.1\r\nhost: x\r\n\r\n")

    told, _ = asyncio.run(_door_with(calls))
    head, _, body = told.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 405 ") and b"allow: GET" in head and body == b""
