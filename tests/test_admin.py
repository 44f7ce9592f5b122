"""The admin API: routes, manual ejections and their file, metrics, and the HTTP server."""

import asyncio
import hashlib
import json
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale import api
from applevale.admin import ejection_codec
from applevale.admin.ejection_store import EjectionStore
from applevale.admin.ejections import EjectionEntry, EjectionRegistry
from applevale.admin.limits import MAX_CONCURRENT_REQUESTS
from applevale.admin.metrics import Gauges, Metrics, ResponseOutcome
from applevale.admin.routes import dispatch
from applevale.admin.server import AdminServer
from applevale.discovery.endpoints import Endpoint, EndpointUpdate
from applevale.discovery.gated_endpoints import GatedEndpoints
from applevale.observability.counters import Counters


class FakeTarget:
    """An admin target with one listed engine that records the operations."""

    def __init__(self):
        self.ejected = set()
        self.draining = False
        self.listed = {"s-00000001"}

    def is_ready(self):
        return not self.draining

    def metrics_snapshot(self):
        return {"concurrent": 0}

    def disable_engine(self, host):
        self.ejected |= {host} & self.listed
        return host in self.listed

    def enable_engine(self, host):
        self.ejected.discard(host)
        return host in self.listed

    def drain(self):
        self.draining = True

    def undrain(self):
        self.draining = False


def test_each_request_gets_a_response_and_invalid_ones_change_nothing():
    target = FakeTarget()
    assert dispatch(target, "GET", "/ready", b"").status == 200
    assert dispatch(target, "POST", "/engines/disable", b'{"host":"s-00000001"}').status == 200
    # Disabling an engine again has no further effect.
    assert dispatch(target, "POST", "/engines/disable", b'{"host":"s-00000001"}').status == 200
    assert target.ejected == {"s-00000001"}
    assert dispatch(target, "POST", "/engines/disable", b'{"host":"s-0000000f"}').status == 404
    invalid = dispatch(target, "POST", "/engines/disable", b'{"hots":"s-00000001"}')
    assert (invalid.status, invalid.body["field"]) == (400, "host")
    assert dispatch(target, "POST", "/engines/enable", b"[").body["field"] == "body"
    assert dispatch(target, "GET", "/drain", b"").status == 405 and not target.draining
    assert dispatch(target, "POST", "/nowhere", b"").status == 404
    assert dispatch(target, "POST", "/drain", b"").status == 200
    assert dispatch(target, "GET", "/ready", b"").status == 503
    dispatch(target, "POST", "/engines/enable", b'{"host":"s-00000001"}')
    assert target.ejected == set()


def endpoint(engine, state=api.EngineState.READY):
    return Endpoint(api.EngineEntry(engine, state=state), ("127.0.0.1", 7000 + engine))


def test_an_ejected_engine_is_presented_as_draining_until_enabled_even_if_listed_again():
    gated = GatedEndpoints()
    registry = EjectionRegistry()
    gated.ejected = registry.ejected
    first = EndpointUpdate(1, True, (endpoint(1), endpoint(2)))
    registry.add_endpoints(first.endpoints)
    gated.apply_update(first)
    engine = registry.find("s-00000002")
    assert engine == 2 and registry.find("127.0.0.1:7002") == 2 and registry.find("s-00000009") is None
    assert registry.set_ejected(engine, True, 1.0) and not registry.set_ejected(engine, True, 2.0)
    assert gated.update_for_engine(engine).entries[0].state is api.EngineState.DRAINING
    relisted = gated.apply_update(EndpointUpdate(2, False, (endpoint(2),)))  # listed as ready again
    assert relisted.entries[0].state is api.EngineState.DRAINING
    assert registry.set_ejected(engine, False, 3.0) and not registry.set_ejected(engine, False, 4.0)
    assert gated.update_for_engine(engine).entries[0].state is api.EngineState.READY


def test_an_ejection_file_is_decoded_completely_or_rejected():
    entries = {1: EjectionEntry(5.25, True), 0xC41F7A: EjectionEntry(6.0, False)}
    data = ejection_codec.encode(entries)
    assert ejection_codec.decode(data) == entries
    invalid_bodies = [
        json.dumps({"body": body, "sha256": hashlib.sha256(body.encode()).hexdigest()}).encode()
        for body in (
            '{"form":1,"banned":[]}',
            '{"form":2,"words":{"s-1":[1e999,true]}}',
            '{"form":2,"words":{"s-1":[1]}}',
            '{"form":2,"words":{"s-1":[1,1]}}',
            "[]",
        )
    ]
    for invalid in (
        data[: len(data) // 2],
        data.replace(b"00000001", b"00000002"),
        b"{}",
        b"\xff",
        *invalid_bodies,
    ):
        with pytest.raises(ejection_codec.EjectionFileError):
            ejection_codec.decode(invalid)


# The process, the engine, whether to eject it, and the clock of the process.
ejection_calls = st.tuples(st.integers(0, 1), st.integers(1, 3), st.booleans(), st.integers(0, 5))


@given(st.lists(ejection_calls, max_size=12), st.lists(st.integers(0, 1), max_size=6))
def test_two_processes_converge_to_the_same_ejections_in_any_order_of_writes(
    tmp_path_factory, calls, refreshes
):
    path = str(tmp_path_factory.mktemp("ejections") / "ejections.json")
    stores = [EjectionStore(path, EjectionRegistry()) for _ in range(2)]
    last_calls = {}
    # The clocks of the processes may differ and be set back.
    for index, (process, engine, ejected, clock) in enumerate(calls):
        stores[process].set_ejected(engine, ejected, float(clock))
        last_calls[engine] = ejected
        if index < len(refreshes):
            stores[refreshes[index]].refresh()
    for store in stores:
        store.refresh()
        assert store.registry.ejected == {engine for engine, ejected in last_calls.items() if ejected}


def test_an_entry_that_another_process_overwrote_without_reading_it_is_written_again(tmp_path):
    path = str(tmp_path / "ejections.json")
    first, second = (EjectionStore(path, EjectionRegistry()) for _ in range(2))
    first.set_ejected(1, True, 10.0)
    second.registry.set_ejected(2, True, 11.0)
    second.save()  # without the refresh that `set_ejected` of the store does first
    assert first.refresh() == [2] and second.refresh() == [1]
    assert first.registry.ejected == second.registry.ejected == {1, 2}
    assert first.refresh() == second.refresh() == []


def test_a_truncated_ejection_file_changes_nothing_and_the_next_call_replaces_it(tmp_path, capsys):
    path = tmp_path / "ejections.json"
    store = EjectionStore(str(path), EjectionRegistry())
    store.set_ejected(7, True, 1.0)
    path.write_bytes(path.read_bytes()[:20])
    assert store.refresh() == [] and store.registry.ejected == {7} and "ejection: " in capsys.readouterr().err
    started_with_truncated_file = EjectionStore(str(path), EjectionRegistry())
    assert started_with_truncated_file.refresh() == []
    store.set_ejected(8, True, 2.0)
    restarted = EjectionStore(str(path), EjectionRegistry())
    assert restarted.refresh() == [7, 8] and restarted.registry.find("s-00000007") == 7
    assert restarted.set_ejected(7, False, 3.0) == [7] and restarted.registry.ejected == {8}


def test_metrics_are_counted_by_class_and_read_as_one_snapshot():
    metrics = Metrics(("lookup", "load"), Gauges(open_requests=lambda: 3))
    outcomes = [ResponseOutcome.SUCCESS] * 5 + [ResponseOutcome.OVERLOAD] * 2 + [ResponseOutcome.ERROR]
    for outcome in outcomes:
        metrics.record_response(0, outcome)
    metrics.record_dispatch("load")
    metrics.record_dispatch("unknown")  # an attempt of an unknown class is ignored
    metrics.record_reload(False)
    snapshot = metrics.snapshot()
    assert snapshot["replies"]["lookup"] == {"success": 5, "overload": 2, "error": 1, "dispatches": 0}
    assert snapshot["replies"]["load"]["dispatches"] == 1 == snapshot["dispatches"]
    assert (snapshot["concurrent"], snapshot["reload_failure"], snapshot["reload_success"]) == (3, 1, 0)


async def _serve(calls):
    """Return the result of `calls` to a server, and the counters of the server."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    counters = Counters()
    server = asyncio.create_task(AdminServer(FakeTarget(), counters).serve(listener))
    loop = asyncio.get_running_loop()
    try:
        return await calls(loop, listener.getsockname()), counters
    finally:
        server.cancel()
        listener.close()


async def _exchange(loop, address, data):
    """Send data on a new connection, and return what is received until it is closed."""
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, data)
    received = b""
    while chunk := await loop.sock_recv(sock, 4096):
        received += chunk
    sock.close()
    return received


def test_a_client_with_an_incomplete_request_is_closed_at_the_timeout_and_others_are_served():
    async def calls(loop, address):
        stalled = socket.socket()
        stalled.setblocking(False)
        await loop.sock_connect(stalled, address)
        await loop.sock_sendall(stalled, b"GET /rea")  # an incomplete request line
        ready = await _exchange(loop, address, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n")
        end_of_stream = await loop.sock_recv(stalled, 10)  # the server closes the connection at the timeout
        stalled.close()
        return ready, end_of_stream

    (ready, end_of_stream), counters = asyncio.run(_serve(calls))
    assert ready.startswith(b"HTTP/1.1 200") and json.loads(ready.split(b"\r\n\r\n")[1]) == {"ready": True}
    assert end_of_stream == b"" and counters["door_timeouts"] == 1


def test_malformed_and_oversized_requests_get_an_error_response():
    async def calls(loop, address):
        malformed = await _exchange(loop, address, b"\x00\x01 nonsense\r\n\r\n")
        large_header = await _exchange(
            loop, address, b"GET /ready HTTP/1.1\r\nx: " + b"y" * 20_000 + b"\r\n\r\n"
        )
        large_body = await _exchange(
            loop, address, b"POST /drain HTTP/1.1\r\nhost: x\r\ncontent-length: 99999\r\n\r\n"
        )
        return malformed, large_header, large_body

    (malformed, large_header, large_body), _ = asyncio.run(_serve(calls))
    assert malformed.startswith(b"HTTP/1.1 400") and large_header.startswith(b"HTTP/1.1 431")
    assert large_body.startswith(b"HTTP/1.1 413")


def test_a_request_is_served_beside_more_idle_connections_than_the_limit():
    async def calls(loop, address):
        idle_connections = [socket.create_connection(address) for _ in range(MAX_CONCURRENT_REQUESTS + 5)]
        ready = await _exchange(loop, address, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n")
        for sock in idle_connections:
            sock.close()
        return ready

    ready, counters = asyncio.run(_serve(calls))
    assert ready.startswith(b"HTTP/1.1 200") and counters["door_evicted"] == 6
    assert counters["door_timeouts"] == 0  # the idle connections were closed before their timeouts


def test_a_head_request_is_rejected_without_a_body():
    async def calls(loop, address):
        return await _exchange(loop, address, b"HEAD /ready HTTP/1.1\r\nhost: x\r\n\r\n")

    response, _ = asyncio.run(_serve(calls))
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 405 ") and b"allow: GET" in head and body == b""
