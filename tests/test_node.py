"""Starts the program and speaks to it over sockets, with the toy engine of the examples behind it."""

import atexit
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))
from toy_engine import Handler, ToyEngine, rows  # noqa: E402

EXAMPLE = (ROOT / "examples" / "config.json").read_text()


class InPieces(Handler):
    """Cuts its answers anywhere."""

    def send(self, data):
        for at in range(0, len(data), 701):
            self.request.sendall(data[at : at + 701])


def start(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_text(text)
    env = os.environ | {"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "127.0.0.1:0"}
    command = [sys.executable, "-m", "applevale"]
    process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    atexit.register(process.kill)  # guards the machine against what a failed test leaves
    return process


class Node:
    def __init__(self, tmp_path, text=EXAMPLE, handler=InPieces):
        self.engine = ToyEngine(("127.0.0.1", 0), handler)
        threading.Thread(target=self.engine.serve_forever, daemon=True).start()
        port = self.engine.server_address[1]
        self.process = start(tmp_path, text.replace(":7101", f":{port}"))
        line = self.process.stderr.readline()
        self.address = ("127.0.0.1", int(re.search(r":(\d+)$", line)[1]))

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        _, errors = self.process.communicate(timeout=30)
        self.engine.shutdown()
        self.engine.server_close()
        return json.loads(re.findall(r"counters (.*)", errors)[-1])

    def words(self, ref):
        return [command[0] for command in self.engine.seen if command[1] == ref.encode()]


def until(true):
    """Waits for what must come; a test that waited for ever told nothing."""
    end = time.monotonic() + 20
    while not true():
        assert time.monotonic() < end, "it did not come"
        time.sleep(0.002)


class Client:
    def __init__(self, node):
        self.sock = socket.create_connection(node.address, timeout=30)
        self.unpacker = msgpack.Unpacker()

    def send(self, *message, cuts=()):
        data = msgpack.packb(message)
        at = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
        for start, end in zip(at, at[1:]):
            self.sock.sendall(data[start:end])

    def ask(self, number, method, ref, statement, cuts=(), **more):
        fields = {"ref": ref, "allow": "5000", "effort": "10", "space": "4", "lookup": "7"} | more
        self.send(0, number, method, [fields, statement.encode()], cuts=cuts)

    def read(self):
        """The next message; None at the connection's end."""
        while True:
            for message in self.unpacker:
                return message
            data = self.sock.recv(65536)
            if not data:
                return None
            self.unpacker.feed(data)


def probed(node):
    """Whether a probe says that new clients are welcome."""
    client = Client(node)
    client.send(0, 1, "probe", [{}])
    try:
        return client.read()[3][0]
    finally:
        client.sock.close()


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    node = Node(tmp_path_factory.mktemp("node"))
    yield node
    node.stop()


@settings(max_examples=20)
@given(st.lists(st.integers(0, 200), max_size=6), st.integers(0, 1500))
def test_a_result_is_whole_whatever_the_cuts(node, cuts, count):
    client = Client(node)
    client.ask(1, "lookup", f"{count:016x}", f"select * from air_17.x limit {count}", cuts)
    assert client.read() == [1, 1, None, [b"".join(rows(count)), {}]]


def test_many_calls_share_one_connection_and_each_gets_its_own(node):
    client = Client(node)
    for number in range(1, 31):
        client.ask(number, "lookup", f"a{number:015x}", f"select * from air_3.x limit {number * 20}")
    found = {answer[1]: answer[3][0] for answer in (client.read() for _ in range(30))}
    assert found == {number: b"".join(rows(number * 20)) for number in range(1, 31)}


def test_probe_unknown_class_and_bad_fields(node):
    client = Client(node)
    client.send(0, 1, "probe", [{}])
    assert client.read() == [1, 1, None, [True, {}]]
    client.ask(2, "nothing", "1" * 16, "x")
    client.ask(3, "lookup", "2" * 16, "x", allow="nan")
    client.ask(4, "load", "3" * 16, "x", lookup="")
    client.send(0, 5, "lookup", [{}, b"x"])
    assert [client.read() for _ in range(4)] == [[1, at, ["Error", {}], None] for at in (2, 3, 4, 5)]


@settings(max_examples=40)
@given(st.binary(min_size=1, max_size=60))
def test_garbage_costs_only_its_own_connection(node, data):
    bad = Client(node)
    bad.sock.sendall(data)
    bad.sock.shutdown(socket.SHUT_WR)
    try:
        while bad.sock.recv(4096):
            pass
    except ConnectionResetError:
        pass
    good = Client(node)
    good.send(0, 1, "probe", [{}])
    assert good.read() == [1, 1, None, [True, {}]]


def test_a_load_that_may_have_run_fails_and_is_not_sent_again(node):
    client = Client(node)
    client.ask(1, "load", "d" * 16, "insert into air_2.x -- die")
    assert client.read() == [1, 1, ["Error", {}], None]
    assert node.words("d" * 16) == [b"want"]


def test_loads_of_one_key_run_in_order(node):
    first, second = Client(node), Client(node)
    first.ask(1, "load", "e" * 15 + "1", "insert hang into air_2.x", allow="700", lookup="e")
    until(lambda: node.words("e" * 15 + "1"))
    for number in range(1, 50):
        second.ask(number, "load", "e" * 15 + "2", "insert into air_2.x", lookup="e")
        answer = second.read()
        if (answer[2] or [""])[0] != "Full":
            break  # else the loop had stood still, and it refused what it could not put in order
    assert first.read()[2] == ["Error", {}] and answer[2] is None
    seen = [(c[0], c[1][-1:]) for c in node.engine.seen if c[1].startswith(b"e" * 15)]
    assert seen == [(b"want", b"1"), (b"never_mind", b"1"), (b"want", b"2")]


def test_after_a_standstill_requests_of_one_key_leave_in_their_order_or_not_at_all(node):
    """Read connection by connection, the later one left first."""
    early, late = Client(node), Client(node)
    for client in (early, late):
        client.ask(1, "lookup", f"{9:016x}", "select * from air_4.x")
        assert client.read()[2] is None
    before = len(node.engine.seen)
    node.process.send_signal(signal.SIGSTOP)
    late.ask(2, "lookup", "b" * 15 + "0", "select * from air_4.x")  # its connection is read first
    time.sleep(0.07)  # as clients do between two requests of a key
    early.ask(2, "load", "b" * 15 + "1", "insert into air_4.x", lookup="44")
    time.sleep(0.07)
    late.ask(3, "load", "b" * 15 + "2", "insert into air_4.x", lookup="44")
    node.process.send_signal(signal.SIGCONT)
    answers = {"1": early.read(), "2": next(one for one in (late.read(), late.read()) if one[1] == 3)}
    sent = [c[1][-1:] for c in node.engine.seen[before:] if c[0] == b"want" and c[1][-1:] in b"12"]
    assert sent in ([b"1"], [b"2"], [b"1", b"2"])
    refused = [answers[ref][2] for ref in "12" if ref.encode() not in sent]
    assert all(error[0] == "Full" for error in refused)


@pytest.mark.parametrize("hang_up", [False, True])
def test_giving_up_reaches_the_engine_and_is_not_answered(node, hang_up):
    ref = f"{'f' * 15}{hang_up:x}"
    client = Client(node)
    client.ask(1, "lookup", ref, "select hang from air_2.x")
    until(lambda: node.words(ref))
    if hang_up:
        client.sock.close()
    else:
        client.send(2, "giveUp", [1])
    until(lambda: b"never_mind" in node.words(ref))
    if not hang_up:
        client.send(0, 2, "probe", [{}])
        assert client.read()[1] == 2


def test_an_engine_that_never_answers_costs_a_refusal_with_advice(node):
    client = Client(node)
    client.ask(1, "lookup", "c" * 16, "select hang from air_2.x", allow="300")
    _, _, (word, fields), result = client.read()
    assert word == "Full" and result is None and int(fields["cooldown"]) > 0


def test_sigterm_ends_it_after_its_last_answer_and_counts(tmp_path):
    node = Node(tmp_path)
    client = Client(node)
    client.ask(1, "lookup", "a" * 16, "select * from air_2.x")
    assert client.read()[2] is None
    node.process.send_signal(signal.SIGUSR1)
    until(lambda: "counters" in node.process.stderr.readline())  # behind what a slow machine logs
    client.ask(2, "lookup", "b" * 16, "select hang from air_2.x", allow="1500")
    until(lambda: node.words("b" * 16))
    node.process.send_signal(signal.SIGTERM)
    until(lambda: not probed(node))  # the signal has come
    assert client.read()[2][0] == "Full"
    counted = node.stop()
    assert node.process.returncode == 0
    assert counted["taken_lookup"] == 2 and counted["answered_served"] == counted["answered_refused"] == 1


@pytest.mark.parametrize("old, key", [('"seed"', "BALANCER_CONFIG"), ('"settings"', "classes.count")])
def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path, old, key):
    text = EXAMPLE.replace(old, '"other"', 1) if old == '"settings"' else EXAMPLE[:40]
    process = start(tmp_path, text)
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2 and errors.count("\n") == 1 and key in errors
