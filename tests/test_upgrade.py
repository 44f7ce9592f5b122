"""An upgrade: a second process listens on the address of the first one, which then shuts down."""

import asyncio
import json
import signal
import socket

import pytest
from process import (
    EXAMPLE_CONFIG,
    GRACEFUL_EXIT_TIMEOUT_SECONDS,
    LATENESS_LINE,
    Instance,
    ProgramProcess,
    format_address,
    load_report_config,
    reserve_port,
    wait_until,
)
from rpc_client import PROBE_ACCEPTED, Response, RpcClient, probe

from applevale.harness import ops


@pytest.fixture
def admin_addresses():
    """Return three addresses for admin APIs that no other process can take."""
    reserved_ports = [reserve_port() for _ in range(3)]
    yield [format_address(reserved.getsockname()) for reserved in reserved_ports]
    for reserved in reserved_ports:
        reserved.close()


def start_second_process(directory, instance, config_text):
    """Start a second process on the address of `instance`, as an upgrade does."""
    path = directory / "second.json"
    path.write_text(config_text)
    process = ProgramProcess(path, format_address(instance.address))
    process.wait_for_address()
    return process


def test_a_second_process_on_the_same_address_serves_after_the_first_has_exited(tmp_path):
    instance = Instance(tmp_path)
    second_process = None
    try:
        client_of_first = RpcClient(instance.address)  # accepted before there is a second process
        client_of_first.send_probe(1)  # a connection without any message would be closed
        assert client_of_first.read_response() == Response(1, None, PROBE_ACCEPTED)
        config_text = instance.config_path.read_text()
        second_process = start_second_process(tmp_path, instance, config_text)
        client_of_first.send_request(2, "lookup", "1" * 16, "select * from air_1.x limit 3")
        instance.process.send_signal(signal.SIGTERM)
        response = client_of_first.read_response()
        assert response.number == 2
        assert response.error is None
        assert instance.process.wait(GRACEFUL_EXIT_TIMEOUT_SECONDS) == 0
        for index in range(20):  # the first listener is closed, so the second process accepts all of them
            client = RpcClient(instance.address)
            client.send_request(1, "lookup", f"{index + 2:016x}", "select * from air_1.x limit 1")
            assert client.read_response().error is None
    finally:
        if second_process is not None:
            second_process.terminate()
        instance.close()
    assert second_process.wait() == 0


MEMBERSHIP = {"membership": {"probe": 0.5}}


# Review case 3: where instances exchange load reports, the second process of an upgrade could not bind the
# address of the first one's datagrams and ended at its start.
@pytest.mark.parametrize("options", [{}, MEMBERSHIP], ids=["load reports", "membership too"])
def test_both_processes_of_an_upgrade_share_the_address_for_datagrams(tmp_path, options):
    config_text = json.dumps(load_report_config() | options)
    instance = Instance(tmp_path, config_text)
    second_process = None
    try:
        second_process = start_second_process(tmp_path, instance, instance.config_path.read_text())
        instance.process.send_signal(signal.SIGTERM)
        assert instance.process.wait(GRACEFUL_EXIT_TIMEOUT_SECONDS) == 0
        client = RpcClient(instance.address)
        client.send_request(1, "lookup", "1" * 16, "select * from air_1.x limit 1")
        assert client.read_response().error is None
        assert "is in use" not in second_process.log
    finally:
        if second_process is not None:
            second_process.terminate()
        instance.close()
    assert second_process.wait() == 0


def test_the_first_process_of_an_upgrade_serves_on_if_the_second_one_fails(tmp_path):
    instance = Instance(tmp_path, json.dumps(load_report_config()))
    try:
        path = tmp_path / "second.json"
        path.write_text("{")
        failed_process = ProgramProcess(path, format_address(instance.address))
        assert failed_process.wait() == 2
        second_process = start_second_process(tmp_path, instance, instance.config_path.read_text())
        second_process.popen.kill()
        second_process.popen.wait()
        for index in range(10):
            client = RpcClient(instance.address)
            client.send_request(1, "lookup", f"{index + 1:016x}", "select * from air_1.x limit 1")
            assert client.read_response().error is None
    finally:
        instance.stop()


def test_a_process_serves_while_another_one_has_the_address_for_datagrams_for_itself(tmp_path):
    """Versions before the one with this test bind the address for themselves, and are upgraded too."""
    config = load_report_config()
    host, _, port = config["peer_listen"].rpartition(":")
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(config))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as old_version:
        old_version.bind((host, int(port)))
        process = ProgramProcess(config_path)
        process.wait_for_log_line(r"^datagram: peer_listen: .* is in use", skipped=LATENESS_LINE)
        assert probe(process.wait_for_address())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.bind((host, 0))

        def is_received():
            stranger.sendto(b"x", (host, int(port)))
            return "the sender is not among the addresses of the peers" in process.log

        wait_until(is_received)
    assert process.terminate() == 0


def call_admin(address, method, path, body=None):
    """Return the status and body of the response to an admin API request."""
    return asyncio.run(ops.call_admin_api(address, method, path, body))


def admin_status(address, method, path, body=None):
    """Return the status of the response to an admin API request."""
    return call_admin(address, method, path, body)[0]


def ejected_engine_count(address):
    """Return the number of ejected engines in the metrics of a process."""
    _, metrics = call_admin(address, "GET", "/metrics")
    return metrics["targets_disabled"]


def test_a_drain_completes_requests_in_flight_and_closes_idle_connections(
    tmp_path, monkeypatch, admin_addresses
):
    admin_address = admin_addresses[0]
    monkeypatch.setenv("BALANCER_CONTROL", admin_address)
    instance = Instance(tmp_path)
    try:
        idle_client = RpcClient(instance.address)
        busy_client = RpcClient(instance.address)
        idle_client.send_request(1, "lookup", "1" * 16, "select * from air_1.x limit 1")
        assert idle_client.read_response().error is None
        busy_client.send_request(1, "report", "2" * 16, "select * from air_1.x limit 900")
        assert admin_status(admin_address, "POST", "/drain") == 200
        assert admin_status(admin_address, "GET", "/ready") == 503
        assert idle_client.read_response() is None
        response = busy_client.read_response()
        assert response.number == 1
        assert response.error is None
        assert busy_client.read_response() is None
        assert admin_status(admin_address, "POST", "/undrain") == 200
        assert admin_status(admin_address, "GET", "/ready") == 200
        assert instance.process.is_running
    finally:
        instance.stop()


def test_both_processes_of_an_address_share_manual_ejections_and_other_instances_do_not(
    tmp_path, monkeypatch, admin_addresses
):
    first_admin, second_admin, other_admin = admin_addresses
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setenv("BALANCER_CONTROL", first_admin)
    instance = Instance(tmp_path)
    second_process = None
    other_instance = None
    try:
        monkeypatch.setenv("BALANCER_CONTROL", second_admin)
        second_process = start_second_process(tmp_path, instance, EXAMPLE_CONFIG)
        engine_id = json.loads(EXAMPLE_CONFIG)["known"]["events"][0]["members"]["instances"][0]["instanceId"]
        assert admin_status(first_admin, "POST", "/engines/disable", {"host": engine_id}) == 200
        wait_until(lambda: ejected_engine_count(second_admin) == 1)
        monkeypatch.setenv("BALANCER_CONTROL", other_admin)
        # This instance has another address, but its ejection file is in the same folder.
        other_instance = Instance(tmp_path)
        assert ejected_engine_count(other_admin) == 0
        assert admin_status(second_admin, "POST", "/engines/enable", {"host": engine_id}) == 200
        wait_until(lambda: ejected_engine_count(first_admin) == 0)
    finally:
        if second_process is not None:
            second_process.terminate()
        if other_instance is not None:
            other_instance.stop()
        instance.stop()
