"""The program works with the settings of any deployment, and its code has no names of one deployment."""

import ast
import json
import resource
import socket
import struct
import tomllib

import pytest
from process import EXAMPLE_CONFIG, EXECUTE, ROOT, Instance, ProgramProcess, format_address, reserve_port
from rpc_client import FAILED, REJECTED, RpcClient

NS = 10**9
PROGRAM_FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["node"]
PROTOCOL_FIELDS = {"lookup"}  # fields of the protocol that have the same name as a class of a deployment


def make_config(**changes):
    """Return a configuration with other names than the example's and without optional settings."""
    config = json.loads(EXAMPLE_CONFIG)
    config["settings"] = {
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
    config["known"]["events"][0]["members"]["instances"][0] |= {"zone": "quay", "machineType": "rack"}
    return config


def test_requests_of_each_class_follow_the_rules_of_other_settings(tmp_path):
    instance = Instance(tmp_path, json.dumps(make_config()))
    client = RpcClient(instance.address)
    numbers = iter(range(1, 99))

    def send_request(method, statement):
        """Send a request; return the error of its response, and the number of its attempts."""
        number = next(numbers)
        request_id = f"{number:016x}"
        client.send_request(number, method, request_id, statement, allow="900", lookup=f"{number}")
        response = client.read_response()
        return response.error, instance.engine_commands(request_id).count(EXECUTE)

    for method in ("gauge", "post", "peek at"):
        assert send_request(method, "select * from a_1.x limit 2") == (None, 1)
    request_id_with_key = "a" * 16
    statement = "select * from a_1.x limit 2"
    client.send_request(next(numbers), "post", request_id_with_key, statement, allow="900", replay="b2ec")
    assert client.read_response().error is None
    commands = {command[1]: command for command in instance.engine.received_commands if command[0] == EXECUTE}
    options_with_key = commands[request_id_with_key.encode()][2]
    options_without_key = commands[b"%016x" % 2][2]
    assert options_with_key.endswith(b",dedupe=b2ec")  # the idempotency key of the client
    assert b"dedupe" not in options_without_key
    assert send_request("gauge", "insert into a_1.x -- die") == (FAILED, 1)
    error, attempt_count = send_request("peek at", "select hang from a_1.x")
    assert error == [REJECTED, {}]  # no retry_after, which the settings do not allow
    assert attempt_count >= 1
    error_of_unknown_class, _ = send_request("load", "select 1 from a_1.x")
    assert error_of_unknown_class == FAILED
    assert instance.stop()["answered_served"] == 4


@pytest.mark.parametrize(
    "change, key",
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
def test_the_program_exits_at_invalid_settings_with_one_line_that_names_the_key(tmp_path, change, key):
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(make_config(**change)))
    process = ProgramProcess(config_path)
    assert process.wait() == 2
    assert process.log.count("\n") == 1
    assert key in process.log


def deployment_names():
    """Return the names of classes, tiers, kinds, zones and sites in all deployments of the repository."""
    names = {spec["name"] for spec in json.loads(EXAMPLE_CONFIG)["settings"]["classes"]}
    for path in (ROOT / "deploy" / "sites").glob("*.toml"):
        site = tomllib.loads(path.read_text())
        names |= {site["name"], *site["net"]["zones"]}
        names |= {spec["name"] for kind in ("class", "tier") for spec in site[kind]}
        names |= {kind["name"] for tier in site["tier"] for kind in tier["kind"]}
    return names


def program_files():
    """Return all source files of the program."""
    files = list((ROOT / "applevale" / "policy").rglob("*.py"))
    for part in PROGRAM_FILES:
        path = ROOT / part
        if path.is_dir():
            files.extend(path.rglob("*.py"))
        else:
            files.append(path)
    return files


def test_the_program_contains_no_name_of_a_deployment():
    names = deployment_names() - PROTOCOL_FIELDS
    files = program_files()
    found = {
        (file.name, node.value)
        for file in files
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Constant) and node.value in names
    }
    assert len(files) > 20
    assert found == set()


def start_instance_with_descriptor_limit(directory, config, limit):
    """Start an instance whose process may have `limit` open files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        return Instance(directory, json.dumps(config))
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def send_engine_list(feed_connection, engine_port):
    """Respond to a subscription to the feed with a list of one engine."""
    assert struct.unpack(">Q", feed_connection.recv(8, socket.MSG_WAITALL)) == (1,)
    (host,) = struct.unpack(">I", socket.inet_aton("127.0.0.1"))
    record = struct.pack(">IIHBBBHIQ", 9, host, engine_port, 0, 0, 0, 0, 1000, 0)
    feed_connection.sendall(struct.pack(">IQB", 9 + 27, 2, 2) + record)


def read_metrics_response(admin_address):
    """Return the raw response to `GET /metrics`."""
    connection = socket.create_connection(admin_address, timeout=20)
    connection.sendall(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")
    response = b""
    while data := connection.recv(4096):
        response += data
    return response


def test_clients_leave_file_descriptors_for_the_feed_the_engines_and_the_admin_api(tmp_path):
    """Idle clients open as many connections as they are allowed to while the feed is unreachable."""
    feed_listener = reserve_port()  # refuses connections until it listens
    admin_port = reserve_port()
    admin_address = admin_port.getsockname()
    config = json.loads(EXAMPLE_CONFIG)
    config["feed"] = format_address(feed_listener.getsockname())
    config["control"] = format_address(admin_address)
    config["limits"]["sockets"] = 128
    instance = start_instance_with_descriptor_limit(tmp_path, config, 128)
    idle_clients = [RpcClient(instance.address) for _ in range(100)]
    for idle_client in idle_clients:
        idle_client.send_probe(1)
    admin_connections = [socket.create_connection(admin_address) for _ in range(40)]
    with feed_listener:
        feed_listener.listen()
        feed_listener.settimeout(20)
        feed_connection, _ = feed_listener.accept()
        send_engine_list(feed_connection, instance.engine_port)
        assert read_metrics_response(admin_address).startswith(b"HTTP/1.1 200")
        client = RpcClient(instance.address)
        for first_number in (1, 5):  # the toy engine's listener has a backlog of five connections
            for number in range(first_number, first_number + 4):
                client.send_request(number, "lookup", f"{number:016x}", "select * from air_1.x limit 1")
            assert [response.error for response in client.read_responses(4)] == [None] * 4
        assert instance.engine.received_commands
    for connection in admin_connections:
        connection.close()
    admin_port.close()
    assert instance.stop()["answered_served"] == 8
