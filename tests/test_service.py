"""Tests of an instance in operation: misbehaving clients, reloads of the configuration, planned restarts."""

import json
import os
import signal
import socket
import struct
import time
from dataclasses import dataclass

import pytest
from process import (
    EVENT_TIMEOUT_SECONDS,
    EXAMPLE_CONFIG,
    GRACEFUL_EXIT_TIMEOUT_SECONDS,
    LATENESS_LINE,
    LOOPBACK,
    Instance,
    ProgramProcess,
    format_address,
    wait_until,
)
from rpc_client import (
    FAILED,
    PROBE_ACCEPTED,
    REJECTED,
    Response,
    RpcClient,
    pack_cancellation,
    pack_request,
    probe,
)

OPEN_REQUEST_ID = "1" * 16
COMPLETE_REQUEST = pack_request(1, "lookup", {"ref": OPEN_REQUEST_ID, "allow": "900"}, b"x" * 300)
MAX_CLIENTS = 64  # half of the `limits.sockets` of the instance


@pytest.fixture
def instance(tmp_path):
    """Return an instance with at most MAX_CLIENTS client connections."""
    config = json.loads(EXAMPLE_CONFIG)
    config["limits"]["sockets"] = 2 * MAX_CLIENTS
    instance = Instance(tmp_path, json.dumps(config))
    yield instance
    instance.stop()


def test_above_the_limit_of_connections_idle_clients_are_evicted_for_new_ones(instance):
    clients = []
    for index in range(150):
        client = RpcClient(instance.address)
        client.send_request(1, "lookup", f"{index:016x}", "select * from air_1.x limit 1")
        assert client.read_response().error is None
        clients.append(client)
    assert instance.stop()["connections_evicted"] == 150 - MAX_CLIENTS


def test_clients_that_send_nothing_are_disconnected_and_others_are_served(instance):
    silent_clients = [RpcClient(instance.address) for _ in range(150)]
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", OPEN_REQUEST_ID, "select * from air_1.x limit 1")
    assert client.read_response().error is None
    assert all(silent_client.read_response() is None for silent_client in silent_clients)
    client.send_probe(2)  # a client that has sent a request is not disconnected
    assert client.read_response().number == 2


@pytest.mark.parametrize(
    "data",
    [
        COMPLETE_REQUEST[:-9],
        b"\xc6" + struct.pack(">I", 60_000_000) + b"x" * 100_000,
        b"\x9f" * 2000,
        pack_request(-1, "lookup", {}, b"x"),
        pack_request(1, "probe", {}) + pack_request(1, "probe", {}),
        b"".join(
            pack_request(number, "lookup", {"ref": f"{number:016x}", "allow": "900"}, b"hang")
            for number in range(1, 200)
        ),
    ],
)
def test_messages_that_violate_the_protocol_are_never_executed(instance, data):
    client = RpcClient(instance.address)
    responses = []
    try:
        client.send_bytes(data)
        while (response := client.read_response()) is not None:
            responses.append(response)
    except (ConnectionResetError, BrokenPipeError):
        pass
    completed = [response for response in responses if response.error is None]
    assert all(response.result == PROBE_ACCEPTED for response in completed)
    assert not instance.executed_request_ids()


@pytest.mark.parametrize(
    "change",
    [
        {"allow": "1e300"},
        {"allow": "-5"},
        {"allow": "x"},
        {"effort": "1e30"},
        {"space": "-1"},
        {"space": "inf"},
        {"ref": ""},
        {"ref": "no such id"},
        {"ref": OPEN_REQUEST_ID},
        {"statement": "\x00"},
        {"statement": " "},
    ],
)
def test_an_invalid_request_fails_and_is_not_sent_to_an_engine(instance, change):
    valid_client = RpcClient(instance.address)
    valid_client.send_request(1, "lookup", OPEN_REQUEST_ID, "select hang from air_1.x")
    wait_until(lambda: instance.engine_commands(OPEN_REQUEST_ID))
    fields = {"ref": "2" * 16, "statement": "select 1 from air_1.x"} | change
    request_id = fields.pop("ref")
    statement = fields.pop("statement")
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", request_id, statement, **fields)
    assert client.read_response() == Response(1, FAILED, None)
    assert instance.executed_request_ids() == [OPEN_REQUEST_ID.encode()]


def test_requests_that_are_cancelled_at_once_leave_no_state_behind(instance):
    """A task that is cancelled before its first step does not run its `finally` clauses."""
    client = RpcClient(instance.address)
    data = b""
    for number in range(1, 21):
        fields = {"ref": f"{number:016x}", "allow": "4000"}
        data += pack_request(number, "lookup", fields, b"select hang from a_1.x")
        data += pack_cancellation(number)
    client.send_bytes(data)
    client.send_probe(21)
    assert client.read_response().number == 21
    first_request_id = f"{1:016x}"  # the id of a cancelled request can be used again
    client.send_request(22, "lookup", first_request_id, "select * from air_1.x limit 1")
    assert client.read_response().error is None
    assert instance.stop()["clients_gone"] == 20
    assert instance.process.wait() == 0


def test_idle_silent_and_slow_clients_do_not_delay_a_shutdown(instance):
    idle_client = RpcClient(instance.address)
    silent_client = RpcClient(instance.address)
    slow_client = RpcClient(instance.address)
    idle_client.send_probe(1)
    assert idle_client.read_response().number == 1
    for number in range(1, 31):
        slow_client.send_request(number, "lookup", f"{number:016x}", "select * from air_1.x limit 900")
    instance.process.send_signal(signal.SIGTERM)
    silent_client.send_request(1, "lookup", "a" * 16, "select * from air_1.x limit 1")
    assert silent_client.read_response().error is None
    assert instance.stop()["answered_served"] == 31
    assert instance.process.wait() == 0


def test_open_requests_get_responses_before_a_planned_restart_kills_the_process(instance):
    """A request may have a timeout of 25 s here, but SIGKILL comes 3.7 s after SIGTERM."""
    client = RpcClient(instance.address)
    client.send_request(1, "load", OPEN_REQUEST_ID, "insert hang into air_1.x", allow="25000", lookup="1")
    client.send_request(2, "lookup", "2" * 16, "select hang from air_1.x", allow="5000")
    wait_until(lambda: instance.engine_commands(OPEN_REQUEST_ID))
    instance.process.send_signal(signal.SIGTERM)
    errors = {response.number: response.error for response in client.read_responses(2)}
    assert errors == {1: FAILED, 2: [REJECTED, {"cooldown": "500"}]}
    assert instance.process.wait(GRACEFUL_EXIT_TIMEOUT_SECONDS) == 0


@dataclass(frozen=True)
class Subscription:
    """A connection of the program to a control feed, and the number of the first requested change."""

    first_change: int
    connection: socket.socket


class FakeControlFeed:
    """A control feed that sends no changes of its own."""

    def __init__(self):
        self.listener = socket.create_server((LOOPBACK, 0))
        self.listener.settimeout(EVENT_TIMEOUT_SECONDS)
        self.address = format_address(self.listener.getsockname())

    def accept(self) -> Subscription:
        """Return the next subscription."""
        connection, _ = self.listener.accept()
        connection.settimeout(EVENT_TIMEOUT_SECONDS)
        (first_change,) = struct.unpack(">Q", connection.recv(8, socket.MSG_WAITALL))
        return Subscription(first_change, connection)


def wait_for_reload_message(process):
    """Return the text of the next log line about a reload; reports of a late event loop are skipped."""
    return process.wait_for_log_line(r"^reload: (.*)", skipped=LATENESS_LINE)[1]


def test_a_reload_switches_the_feed_rejects_invalid_configurations_and_keeps_open_requests(tmp_path):
    old_feed = FakeControlFeed()
    new_feed = FakeControlFeed()
    config = json.loads(EXAMPLE_CONFIG) | {"feed": old_feed.address}
    instance = Instance(tmp_path, json.dumps(config))
    old_subscription = old_feed.accept()
    assert old_subscription.first_change == 1
    entry = struct.pack(">IIHBBBHIQ", 9, 1, 1, 2, 0, 0, 0, 0, 0)
    old_subscription.connection.sendall(struct.pack(">IQB", 9 + 27, 2, 2) + entry)
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", OPEN_REQUEST_ID, "select hang from air_1.x", allow="1500")
    wait_until(lambda: instance.engine_commands(OPEN_REQUEST_ID))
    invalid_feed = json.dumps(config | {"feed": "x"})
    for config_text, message in (("{", "the old configuration stays"), (invalid_feed, "feed: HOST:PORT")):
        instance.config_path.write_text(config_text)
        instance.process.send_signal(signal.SIGHUP)
        assert message in wait_for_reload_message(instance.process)
    instance.config_path.write_text(json.dumps(config | {"feed": new_feed.address}))
    instance.process.send_signal(signal.SIGHUP)
    assert new_feed.accept().first_change == 2
    assert old_subscription.connection.recv(1) == b""
    assert client.read_response().error[0] == REJECTED
    assert instance.stop()["reloads"] == 1
    assert instance.process.wait() == 0


# Review case 2: with the control feed down for 12 s, work went on to an engine whose drain counted as told.
def test_nothing_new_is_sent_by_a_list_that_is_older_than_drains_take_to_count_as_told(tmp_path):
    feed = FakeControlFeed()
    instance = Instance(tmp_path, json.dumps(json.loads(EXAMPLE_CONFIG) | {"feed": feed.address}))
    subscription = feed.accept()
    heartbeat = struct.pack(">IQB", 9, subscription.first_change, 0)
    subscription.connection.sendall(heartbeat)
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", "1" * 16, "select * from air_1.x limit 1")
    assert client.read_response().error is None
    told_at = time.monotonic() + 7.0  # by the protocol page, whether it arrived or not
    last_send_at = told_at + 0.5 + 0.05  # grace period of a drain; allowance for sockets
    wait_until(lambda: time.monotonic() > last_send_at)
    client.send_request(2, "lookup", "2" * 16, "select * from air_1.x limit 1")
    assert client.read_response().error == [REJECTED, {"cooldown": "500"}]
    assert not instance.engine_commands("2" * 16)
    assert probe(instance.address)  # the feed is down for all instances, so this one is as good as the others
    _, _, open_connection = [feed.accept() for _ in range(3)]
    open_connection.connection.sendall(heartbeat)
    instance.process.wait_for_log_line("^staleness: the engine list is confirmed again")
    client.send_request(3, "lookup", "3" * 16, "select * from air_1.x limit 1")
    assert client.read_response().error is None
    counters = instance.stop()
    assert counters["list_stale"] == 1
    assert instance.process.wait() == 0


def test_signals_before_the_event_loop_runs_do_not_end_the_process_and_a_reload_follows(tmp_path):
    """The configuration file is a pipe, so that the test knows when the process is reading it."""
    old_feed = FakeControlFeed()
    new_feed = FakeControlFeed()
    config = json.loads(EXAMPLE_CONFIG)
    config_path = tmp_path / "config.json"
    os.mkfifo(config_path)
    process = ProgramProcess(config_path)
    try:
        with open(config_path, "w") as first_config:  # open() returns when the process has opened the pipe
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGUSR1)
            second_path = tmp_path / "second.json"
            second_path.write_text(json.dumps(config | {"feed": new_feed.address}))
            second_path.replace(config_path)
            first_config.write(json.dumps(config | {"feed": old_feed.address}))
        assert new_feed.accept().first_change == 1
    finally:
        status = process.terminate()
    assert status == 0
    counters = process.logged_counters()
    assert counters["reloads"] == 1
    assert counters["start_imports_ms"] > 0
    assert counters["start_list_ms"] >= 0


@pytest.mark.parametrize(
    "change", [{"name": "another"}, {"zones": ["quay", "here"]}, {"kinds": ["x", "toy"]}]
)
def test_a_reload_with_the_configuration_of_another_instance_is_rejected(tmp_path, change):
    """Changed zones or kinds are rejected too, since engines refer to them by position in the settings."""
    old_feed = FakeControlFeed()
    new_feed = FakeControlFeed()
    config = json.loads(EXAMPLE_CONFIG) | {"feed": old_feed.address, "name": "n1"}
    instance = Instance(tmp_path, json.dumps(config))
    subscription = old_feed.accept()
    other_config = config | {"feed": new_feed.address, "known": {"n": 0, "events": []}}
    other_config |= change if "name" in change else {"settings": config["settings"] | change}
    instance.config_path.write_text(json.dumps(other_config))
    instance.process.send_signal(signal.SIGHUP)
    changed = "name" if "name" in change else "zones or kinds"
    message = f"the old configuration stays: {changed}: must not change in a running process"
    assert message in wait_for_reload_message(instance.process)
    assert probe(instance.address)
    subscription.connection.setblocking(False)
    with pytest.raises(BlockingIOError):  # the subscription is still open
        subscription.connection.recv(1)
    assert instance.stop().get("reloads", 0) == 0
