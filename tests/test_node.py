"""Tests of the program over sockets, with the toy engine from `examples/`."""

import json
import signal
import socket
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from process import (
    ANY_PORT,
    CANCEL,
    EXAMPLE_CONFIG,
    EXECUTE,
    Instance,
    ProgramProcess,
    load_report_config,
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
from toy_engine import rows

ORDERED_REQUEST_SPACING_SECONDS = 0.07  # between requests with the same order key, as clients send them


@pytest.fixture(scope="module")
def instance(tmp_path_factory):
    """Return an instance with the example configuration; the tests of this file share it."""
    instance = Instance(tmp_path_factory.mktemp("instance"))
    yield instance
    instance.stop()


@settings(max_examples=20)
@given(st.lists(st.integers(0, 200), max_size=6), st.integers(0, 1500))
def test_a_result_is_complete_however_the_request_is_split_into_packets(instance, cuts, row_count):
    client = RpcClient(instance.address)
    statement = f"select * from air_17.x limit {row_count}"
    client.send_request(1, "lookup", f"{row_count:016x}", statement, cuts)
    assert client.read_response() == Response(1, None, [b"".join(rows(row_count)), {}])


def test_concurrent_requests_on_one_connection_each_get_their_own_result(instance):
    client = RpcClient(instance.address)
    for number in range(1, 31):
        statement = f"select * from air_3.x limit {number * 20}"
        client.send_request(number, "lookup", f"a{number:015x}", statement)
    results = {response.number: response.result[0] for response in client.read_responses(30)}
    assert results == {number: b"".join(rows(number * 20)) for number in range(1, 31)}


def test_a_probe_succeeds_and_requests_with_an_unknown_class_or_invalid_fields_fail(instance):
    client = RpcClient(instance.address)
    client.send_probe(1)
    assert client.read_response() == Response(1, None, PROBE_ACCEPTED)
    client.send_request(2, "nothing", "1" * 16, "x")
    client.send_request(3, "lookup", "2" * 16, "x", allow="nan")
    client.send_request(4, "load", "3" * 16, "x", lookup="")
    client.send_bytes(pack_request(5, "lookup", {}, b"x"))
    assert client.read_responses(4) == [Response(number, FAILED, None) for number in (2, 3, 4, 5)]


@settings(max_examples=40)
@given(st.binary(min_size=1, max_size=60))
def test_invalid_bytes_close_only_the_connection_that_they_arrive_on(instance, data):
    invalid_client = RpcClient(instance.address)
    invalid_client.send_bytes(data)
    invalid_client.socket.shutdown(socket.SHUT_WR)
    try:
        while invalid_client.socket.recv(4096):
            pass
    except ConnectionResetError:
        pass
    valid_client = RpcClient(instance.address)
    valid_client.send_probe(1)
    assert valid_client.read_response() == Response(1, None, PROBE_ACCEPTED)


def test_a_load_that_was_possibly_executed_fails_and_is_not_sent_again(instance):
    client = RpcClient(instance.address)
    client.send_request(1, "load", "d" * 16, "insert into air_2.x -- die")
    assert client.read_response() == Response(1, FAILED, None)
    assert instance.engine_commands("d" * 16) == [EXECUTE]


def test_loads_with_the_same_order_key_are_executed_in_order(instance):
    first_client = RpcClient(instance.address)
    second_client = RpcClient(instance.address)
    first_id = "e" * 15 + "1"
    second_id = "e" * 15 + "2"
    first_client.send_request(1, "load", first_id, "insert hang into air_2.x", allow="700", lookup="e")
    wait_until(lambda: instance.engine_commands(first_id))
    # After a stall of the event loop, a request whose order is unknown is rejected, so it is sent again here.
    for number in range(1, 50):
        second_client.send_request(number, "load", second_id, "insert into air_2.x", lookup="e")
        second_response = second_client.read_response()
        if second_response.error is None or second_response.error[0] != REJECTED:
            break
    assert first_client.read_response().error == FAILED
    assert second_response.error is None
    ids = (first_id.encode(), second_id.encode())
    commands = [
        (command[0], command[1]) for command in instance.engine.received_commands if command[1] in ids
    ]
    assert commands == [(EXECUTE, ids[0]), (CANCEL, ids[0]), (EXECUTE, ids[1])]


def test_after_a_suspension_requests_with_the_same_order_key_are_sent_in_order_or_rejected(instance):
    """The process reads the connection of the later request before that of the earlier one."""
    early_client = RpcClient(instance.address)
    late_client = RpcClient(instance.address)
    early_id = "b" * 15 + "1"
    late_id = "b" * 15 + "2"
    for client in (early_client, late_client):
        client.send_request(1, "lookup", f"{9:016x}", "select * from air_4.x")
        assert client.read_response().error is None
    sent_before = len(instance.executed_request_ids())
    instance.process.suspend()
    # This connection has data to read before the early request arrives, so it is read first.
    late_client.send_request(2, "lookup", "b" * 15 + "0", "select * from air_4.x")
    time.sleep(ORDERED_REQUEST_SPACING_SECONDS)
    early_client.send_request(2, "load", early_id, "insert into air_4.x", lookup="44")
    time.sleep(ORDERED_REQUEST_SPACING_SECONDS)
    late_client.send_request(3, "load", late_id, "insert into air_4.x", lookup="44")
    instance.process.resume()
    early_response = early_client.read_response()
    late_responses = {response.number: response for response in late_client.read_responses(2)}
    responses = {early_id: early_response, late_id: late_responses[3]}
    sent_ids = [request_id.decode() for request_id in instance.executed_request_ids()[sent_before:]]
    sent_loads = [request_id for request_id in sent_ids if request_id in responses]
    assert sent_loads in ([early_id], [late_id], [early_id, late_id])
    errors_of_unsent = [response.error for key, response in responses.items() if key not in sent_loads]
    assert all(error[0] == REJECTED for error in errors_of_unsent)


@pytest.mark.parametrize("disconnects", [False, True])
def test_a_request_that_its_client_cancels_is_cancelled_at_the_engine_and_gets_no_response(
    instance, disconnects
):
    request_id = f"{'f' * 15}{disconnects:x}"
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", request_id, "select hang from air_2.x")
    wait_until(lambda: instance.engine_commands(request_id))
    if disconnects:
        client.close()
    else:
        client.send_bytes(pack_cancellation(1))
    wait_until(lambda: CANCEL in instance.engine_commands(request_id))
    if not disconnects:
        client.send_probe(2)
        assert client.read_response().number == 2


def test_a_request_is_rejected_with_a_retry_delay_if_the_engine_never_replies(instance):
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", "c" * 16, "select hang from air_2.x", allow="300")
    response = client.read_response()
    name, fields = response.error
    assert name == REJECTED
    assert int(fields["cooldown"]) > 0
    assert response.result is None


def test_after_sigterm_the_process_sends_its_last_response_logs_its_counters_and_exits(tmp_path):
    instance = Instance(tmp_path)
    client = RpcClient(instance.address)
    client.send_request(1, "lookup", "a" * 16, "select * from air_2.x")
    assert client.read_response().error is None
    instance.process.send_signal(signal.SIGUSR1)
    instance.process.wait_for_log_line("counters")
    client.send_request(2, "lookup", "b" * 16, "select hang from air_2.x", allow="1500")
    wait_until(lambda: instance.engine_commands("b" * 16))
    instance.process.send_signal(signal.SIGTERM)
    wait_until(lambda: not probe(instance.address))  # the process has handled the signal
    assert client.read_response().error[0] == REJECTED
    counters = instance.stop()
    assert instance.process.wait() == 0
    assert counters["taken_lookup"] == 2
    assert counters["answered_served"] == 1
    assert counters["answered_refused"] == 1


TRUNCATED_CONFIG = EXAMPLE_CONFIG[:40]
CONFIG_WITHOUT_SETTINGS = EXAMPLE_CONFIG.replace('"settings"', '"other"', 1)


@pytest.mark.parametrize(
    "config_text, key", [(TRUNCATED_CONFIG, "BALANCER_CONFIG"), (CONFIG_WITHOUT_SETTINGS, "classes.count")]
)
def test_an_invalid_configuration_is_reported_in_one_log_line_with_exit_code_2(tmp_path, config_text, key):
    config_path = tmp_path / "config.json"
    config_path.write_text(config_text)
    process = ProgramProcess(config_path)
    assert process.wait() == 2
    assert process.log.count("\n") == 1
    assert key in process.log


FOREIGN_ADDRESS = "192.0.2.1:7946"  # reserved for documentation, so that no machine has it


@pytest.mark.parametrize("key", ["listen", "control", "peer_listen"])
def test_the_error_of_an_address_that_cannot_be_bound_names_its_key(tmp_path, key):
    """Upgrades failed with a line that named `listen` for the address of datagrams."""
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(load_report_config() | {key: FOREIGN_ADDRESS}))
    process = ProgramProcess(config_path, FOREIGN_ADDRESS if key == "listen" else ANY_PORT)
    assert process.wait() == 2
    assert process.log.startswith(f"applevale: {key}: a free local address is needed, not {FOREIGN_ADDRESS}")
    assert process.log.count("\n") == 1
