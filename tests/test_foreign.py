"""Another customer's settings: nothing of one deployment lies in the program."""

import ast
import json
import resource
import socket
import struct
import tomllib

import pytest
from test_node import EXAMPLE, ROOT, Client, Node, until

NS = 10**9
PROGRAM = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["node"]
FIELDS = {"lookup"}  # of the protocol, that happen to be a class's name


def settings(**changes):
    """Other names, places and effects; nothing optional."""
    raw = json.loads(EXAMPLE)
    raw["settings"] = {
        "az": 1,
        "me": 4,
        "fleet_size": 9,
        "tick": 5_000_000,
        "zones": ["quay", "dock"],
        "kinds": ["rack", "toy"],
        "classes": [
            {
                "name": "gauge",
                "aim": 2 * NS,
                "deadline": 4 * NS,
                "repeat": "unsafe",
                "by_arrival": True,
                "worth": 7.0,
            },
            {
                "name": "post",
                "aim": NS,
                "deadline": 3 * NS,
                "repeat": "keyed",
                "group": "cell",
                "repeat_window": NS // 2,
                "worth": 2.0,
            },
            {"name": "peek at", "aim": NS // 2, "deadline": NS, "repeat": "safe", "worth": 1.0},
        ],
        "limits": {"try_limit": 2},
        "guarantees": {"drain_grace": NS // 5},
    } | changes
    raw["known"]["events"][0]["members"]["instances"][0] |= {"zone": "quay", "machineType": "rack"}
    return raw


def test_every_class_of_foreign_settings_is_served_under_its_own_rule(tmp_path):
    node = Node(tmp_path, json.dumps(settings()))
    client, numbers = Client(node), iter(range(1, 99))

    def ask(method, statement):
        number = next(numbers)
        ref = f"{number:016x}"
        client.ask(number, method, ref, statement, allow="900", lookup=f"{number}")
        answer = client.read()
        return answer[2], node.words(ref).count(b"want")

    for method in ("gauge", "post", "peek at"):
        assert ask(method, "select * from a_1.x limit 2") == (None, 1)
    client.ask(next(numbers), "post", "a" * 16, "select * from a_1.x limit 2", allow="900", replay="b2ec")
    assert client.read()[2] is None  # engines know a repeat by what its client named it
    wants = {command[1]: command[2] for command in node.engine.seen if command[0] == b"want"}
    assert wants[b"a" * 16].endswith(b",dedupe=b2ec") and b"dedupe" not in wants[b"%016x" % 2]
    assert ask("gauge", "insert into a_1.x -- die") == (["Error", {}], 1)
    error, wants = ask("peek at", "select hang from a_1.x")
    assert error == ["Full", {}] and wants >= 1  # no advice: the settings do not allow it
    assert ask("load", "select 1 from a_1.x")[0] == ["Error", {}]  # another deployment's class
    assert node.stop()["answered_served"] == 4


@pytest.mark.parametrize(
    "change,key",
    [
        ({"classes": [{"name": "gauge", "aim": "x", "deadline": NS}]}, "settings.classes"),
        ({"classes": [{"name": "gauge", "aim": NS, "deadline": -1}]}, "settings.classes"),
        (
            {"classes": [{"name": "gauge", "aim": NS, "deadline": NS, "repeat": "sometimes"}]},
            "settings.classes",
        ),
        ({"classes": []}, "settings.classes"),
        ({"classes": [{"name": "a b", "aim": NS, "deadline": NS, "repeat": "safe"}] * 2}, "settings.classes"),
        ({"limits": {"try_limit": 0}}, "try_limit"),
        ({"limits": 7}, "limits"),
        ({"zones": ["dock"]}, "known"),
    ],
)
def test_settings_that_cannot_be_used_are_one_line_that_names_the_key(tmp_path, change, key):
    import test_node

    process = test_node.start(tmp_path, json.dumps(settings(**change)))
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2 and errors.count("\n") == 1 and key in errors


def test_no_name_of_a_deployment_lies_in_the_program():
    names = {spec["name"] for spec in json.loads(EXAMPLE)["settings"]["classes"]}
    for site in (ROOT / "deploy" / "sites").glob("*.toml"):
        told = tomllib.loads(site.read_text())
        names |= {told["name"], *told["net"]["zones"]}
        names |= {one["name"] for kind in ("class", "tier") for one in told[kind]}
        names |= {kind["name"] for tier in told["tier"] for kind in tier["kind"]}
    files = [
        file
        for part in PROGRAM
        for file in ((ROOT / part).rglob("*.py") if (ROOT / part).is_dir() else [ROOT / part])
    ]
    files += (ROOT / "applevale" / "policy").rglob("*.py")
    found = {
        (file.name, node.value)
        for file in files
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Constant) and node.value in names - FIELDS
    }
    assert len(files) > 20 and found == set()


def test_clients_that_fill_every_place_take_no_descriptor_of_the_list_engines_or_operators(tmp_path):
    """While the list service is away idle clients fill all they may; what comes back must find room."""
    gone = socket.create_server(("127.0.0.1", 0))
    feed, port = gone.getsockname(), socket.create_server(("127.0.0.1", 0))
    door = port.getsockname()
    gone.close()
    port.close()
    raw = json.loads(EXAMPLE) | {"feed": f"127.0.0.1:{feed[1]}", "control": f"127.0.0.1:{door[1]}"}
    raw["limits"]["sockets"] = 128
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (128, soft[1]))  # the program's own, as a platform would
        node = Node(tmp_path, json.dumps(raw))
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, soft)
    crowd = [Client(node) for _ in range(100)]
    for one in crowd:
        one.send(0, 1, "probe", [{}])
    callers = [socket.create_connection(door) for _ in range(40)]
    with socket.create_server(("127.0.0.1", feed[1])) as listener:
        listener.settimeout(20)
        sock, _ = listener.accept()
        assert struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL)) == (1,)
        host = struct.unpack(">I", socket.inet_aton("127.0.0.1"))[0]
        record = struct.pack(">IIHBBBHIQ", 9, host, node.engine.server_address[1], 0, 0, 0, 0, 1000, 0)
        sock.sendall(struct.pack(">IQB", 9 + 27, 2, 2) + record)
        call = socket.create_connection(door, timeout=20)
        call.sendall(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = b""
        while data := call.recv(4096):
            answer += data
        assert answer.startswith(b"HTTP/1.1 200")
        client = Client(node)
        for first in (1, 5):  # the toy engine's own queue has five places for connections
            for number in range(first, first + 4):
                client.ask(number, "lookup", f"{number:016x}", "select * from air_1.x limit 1")
            assert [client.read()[2] for _ in range(4)] == [None] * 4
        until(lambda: node.engine.seen)
    for one in callers:
        one.close()
    assert node.stop()["answered_served"] == 8
