"""Compatibility of files, datagrams between instances and admin API responses with earlier versions.

A rolling upgrade mixes versions, and files outlive the process, so formats must not change.
`fixtures/stored_formats.json` has data written by the version of 2 December 2026, before any internal name
was changed; binary data is in hex. The present version must read each item, and write exactly the same bytes.
"""

import json
from pathlib import Path

import lmdb
import msgspec
import pytest

from applevale import api
from applevale.admin import ejection_codec
from applevale.admin.ejections import EjectionEntry
from applevale.admin.http_codec import HttpExchange
from applevale.admin.metrics import Gauges, Metrics, ResponseOutcome
from applevale.admin.routes import dispatch
from applevale.discovery.endpoints import AttributeNames
from applevale.discovery.registry.records import read_record
from applevale.discovery.registry.snapshot import SnapshotError, SnapshotStore
from applevale.fault_injection import schedule as faults
from applevale.fault_injection.link_conditions import LinkCondition
from applevale.gossip.load_reports import LoadReports
from applevale.membership import codec, messages
from applevale.simulation.experiment import Experiment, read_experiment

FIXTURES = Path(__file__).parent / "fixtures"
STORED = json.loads((FIXTURES / "stored_formats.json").read_text())
REGISTRY = "etcd 127.0.0.1:2379 applevale/engines/"
REGISTRY_RECORDS = [
    ("applevale/engines/a", 7, b'{"id":"s-00000001","address":"10.0.0.1:7101"}'),
    ("applevale/engines/b", 9, b"id: s-00c41f7a\naddress: 10.0.0.2:7102\nstate: draining\n"),
]


def make_ejections():
    return {
        1: EjectionEntry(1764652800.25, True),
        0xC41F7A: EjectionEntry(1764652801.5, False),
        0xFFFFFFFF: EjectionEntry(0.1, True),
    }


def make_load_reports():
    """Return load reports with one dispatch and two engine reports that are not sent yet."""
    reports = LoadReports(("active", "waiting", "cpu", "disk_busy", "memory_used"), 3, 0.01, seed=7)
    reports.set_engines([0x00000001, 0x00C41F7A])
    reports.record_report(10.0, 0x00000001, (3.0, 1.0, 0.5, 0.25, 0.75))
    reports.record_report(10.0, 0x00C41F7A, (300.0, 0.0, -1.0, 0.1, -1.0))
    reports.pending_threads[0x00000001] = 5
    return reports


def make_membership_messages():
    alive = messages.MemberRecord(messages.MemberState.ALIVE, 3, 0x1234)
    suspected = messages.MemberRecord(messages.MemberState.SUSPECT, 4, 0x2345)
    dead = messages.MemberRecord(messages.MemberState.DEAD, (1 << 30) - 1, 0xFFFF)
    left = messages.MemberRecord(messages.MemberState.LEFT, 9, 1)
    updates = (
        messages.MemberUpdate(17, dead),
        messages.SuspicionUpdate(18, 0x1FF, 2.5, (1, 2, 300)),
        messages.MemberUpdate(65535, left),
    )
    kind = messages.MessageKind
    common_fields = dict(
        sequence_number=0xABCD,
        incarnation=5,
        process_id=0x4321,
        receiver_record=alive,
        view_digest=0xDEADBEEF,
    )
    return {
        "ping": messages.Message(kind.PING, **common_fields, updates=updates),
        "ack": messages.Message(kind.ACK, **common_fields | {"receiver_record": suspected}),
        "ask": messages.Message(kind.PING_REQUEST, **common_fields, subject=40),
        "found": messages.Message(kind.PING_RESULT, **common_fields, subject=40, is_reachable=True),
        "news": messages.Message(kind.GOSSIP, **common_fields, updates=updates[:1]),
        "sums": messages.Message(kind.SEGMENT_DIGESTS, **common_fields, segment_digests=(0, 1, 0xFFFFFFFF)),
        "part": messages.Message(
            kind.SEGMENT,
            **common_fields,
            first_member=20,
            segment_records=(alive, messages.UNKNOWN_RECORD, dead),
        ),
    }


def make_fault_schedule():
    condition = LinkCondition(
        cut=True,
        refuse=True,
        loss=0.1,
        delay=0.2,
        jitter=0.3,
        reorder=0.4,
        reorder_delay=0.5,
        duplication=0.6,
        bandwidth=7.0,
    )
    return [
        faults.ApplyLinkCondition(
            at=0.5, sources=["n0"], targets=["list*"], condition=condition, duration=2.0
        ),
        faults.KillProcess(at=1.0, processes=["n1", "n2"], restart_after=0.5),
        faults.KillProcess(at=1.5, processes=["n3"]),
        faults.PauseProcess(at=2.0, processes=["n4"], duration=1.0),
        faults.PauseRepeatedly(at=3.0, processes=["n5"], duration=0.1, interval=0.4, count=5),
        faults.TerminateProcess(at=4.0, processes=["n6"], restart_after=0.1),
        faults.UpgradeProcess(at=5.0, processes=["n7"], overlap=1.0),
        faults.SendRegistryCommand(at=6.0, command="late", values={"seconds": 0.3, "who": "n1"}),
    ]


def make_metrics():
    gauges = Gauges(open_requests=lambda: 4, engines=lambda: 5, disabled_engines=lambda: 6)
    metrics = Metrics(("short", "long"), gauges)
    metrics.record_response(0, ResponseOutcome.SUCCESS)
    metrics.record_response(1, ResponseOutcome.OVERLOAD)
    metrics.record_response(1, ResponseOutcome.ERROR)
    metrics.record_dispatch("short")
    metrics.record_reload(True)
    metrics.record_reload(False)
    return metrics


class FixedTarget:
    """An admin target with fixed values."""

    def is_ready(self):
        return True

    def metrics_snapshot(self):
        return make_metrics().snapshot()

    def disable_engine(self, host):
        return host == "s-00000001"

    enable_engine = disable_engine

    def drain(self):
        pass

    undrain = drain


ADMIN_REQUESTS = {
    "ready": ("GET", "/ready", b""),
    "metrics": ("GET", "/metrics", b""),
    "disable": ("POST", "/engines/disable", b'{"host":"s-00000001"}'),
    "enable_unknown": ("POST", "/engines/enable", b'{"host":"s-00000002"}'),
    "disable_no_host": ("POST", "/engines/disable", b"{}"),
    "drain": ("POST", "/drain", b""),
    "undrain": ("POST", "/undrain", b""),
    "no_such_call": ("GET", "/nothing", b""),
    "wrong_method": ("POST", "/metrics", b""),
}


def admin_response(method, path, body):
    exchange = HttpExchange()
    head = f"{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
    exchange.receive(head.encode() + body)
    request = exchange.next_request()
    response = dispatch(FixedTarget(), request.method, request.target, request.body)
    return exchange.serialize(response, request.method)


def read_raw_snapshot(folder):
    """Return the stored bytes of a registry snapshot."""
    with lmdb.open(str(folder)) as store, store.begin() as transaction:
        return transaction.get(b"list")


def test_an_ejection_file_is_read_and_written_as_before():
    stored = STORED["ejections"].encode()
    assert ejection_codec.decode(stored) == make_ejections()
    assert ejection_codec.encode(make_ejections()) == stored


def test_a_registry_snapshot_is_written_as_before(tmp_path):
    store = SnapshotStore(str(tmp_path), REGISTRY)
    store.save(42, iter(REGISTRY_RECORDS))
    store.close()
    assert read_raw_snapshot(tmp_path).hex() == STORED["registry_snapshot"]


def test_a_stored_registry_snapshot_is_read(tmp_path):
    with lmdb.open(str(tmp_path)) as written, written.begin(write=True) as transaction:
        transaction.put(b"list", bytes.fromhex(STORED["registry_snapshot"]))
    store = SnapshotStore(str(tmp_path), REGISTRY)
    snapshot = store.load()
    store.close()
    assert (snapshot.revision, [tuple(record) for record in snapshot.records]) == (42, REGISTRY_RECORDS)


def test_a_stored_snapshot_of_another_registry_is_rejected(tmp_path):
    with lmdb.open(str(tmp_path)) as written, written.begin(write=True) as transaction:
        transaction.put(b"list", bytes.fromhex(STORED["registry_snapshot"]))
    store = SnapshotStore(str(tmp_path), REGISTRY + "other/")
    with pytest.raises(SnapshotError):
        store.load()
    store.close()


@pytest.mark.parametrize("record_format", ["json", "yaml"])
def test_a_registry_record_is_read(record_format):
    names = AttributeNames(("north", "south"), ("small", "large"))
    endpoint = read_record(STORED[f"registry_record_{record_format}"].encode(), names)
    expected_entry = api.EngineEntry(0xC41F7A, 1, 1, 3, 2.5, api.EngineState.DRAINING, 1764652800.5)
    assert (endpoint.entry, endpoint.address) == (expected_entry, ("10.0.0.9", 7109))


def test_a_load_report_datagram_is_written_as_before():
    assert make_load_reports().next_datagram().hex() == STORED["load_reports"]


def test_a_load_report_datagram_is_read():
    events = make_load_reports().receive(11.0, bytes.fromhex(STORED["load_reports"]))
    assert [(event.engine_id, event.load_report, event.sent_threads) for event in events] == [
        (0x00000001, (), 5),
        (0x00000001, (3.0, 1.0, -1.0, -1.0, 0.75), 0),
        (0x00C41F7A, (254.0, 0.0, -1.0, -1.0, -1.0), 0),
    ]


@pytest.mark.parametrize("name", sorted(make_membership_messages()))
def test_a_membership_datagram_is_read_and_written_as_before(name):
    stored = bytes.fromhex(STORED[f"membership_{name}"])
    message = make_membership_messages()[name]
    assert codec.encode(message) == stored
    assert codec.encode(codec.decode(stored)) == stored


def test_every_kind_of_membership_message_is_covered():
    assert {message.kind for message in make_membership_messages().values()} == set(messages.MessageKind)


def test_a_fault_schedule_is_read_and_written_as_before():
    stored = STORED["fault_schedule"].encode()
    assert faults.read_schedule(stored) == make_fault_schedule()
    assert faults.write_schedule(make_fault_schedule()) == stored


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_seed_generates_the_same_fault_schedule_as_before(seed):
    assert faults.write_schedule(faults.draw_schedule(seed, 8)).decode() == STORED[f"drawn_schedule_{seed}"]


def test_an_experiment_file_is_read_and_written_as_before():
    stored = STORED["experiment"].encode()
    experiment = read_experiment(stored)
    expected = Experiment("membership", [10, 20], ["calm"], (1, 5), {"now": {"probe": 0.5}, "slow": {}})
    assert experiment == expected
    assert msgspec.json.encode(experiment) == stored


@pytest.mark.parametrize("name", sorted(ADMIN_REQUESTS))
def test_an_admin_request_gets_the_same_response_as_before(name):
    assert admin_response(*ADMIN_REQUESTS[name]).decode() == STORED[f"call_{name}"]
