"""The codec of the simulator's wire protocol: bytes from the protocol's description, and malformed input."""

import io
import struct

import pytest

from applevale import api
from applevale.simulator_wire import adapter, decoder, encoder, layout
from applevale.simulator_wire.settings import read_settings

RECORD_HEAD_BYTES = 5
SETTINGS = """az=0
classes.count=2
classes.0.aim=800000000
classes.0.deadline=4000000000
classes.0.repeat=safe
classes.1.aim=1500000000
classes.1.aim_stretch=2.5
classes.1.deadline=25000000000
classes.1.repeat=unsafe
classes.1.by_arrival=true
classes.1.allowed_on=std-a
guarantees.budget_share=0.1
guarantees.min_extra=3
kinds=std-a,std-b
some.unknown.key=1
specifics.class_threads=1,3
specifics.cpu_of_kind=8,12
specifics.report_x0=share_of_memory_granted
stats.columns=waiting,cpu,x1,x0
"""


def decode(text):
    """Return the events of the records in `text`, which is hexadecimal."""
    body = bytes.fromhex(text)
    count = 0
    position = 0
    while position < len(body):
        (record_size,) = struct.unpack_from("<I", body, position + 1)
        position += RECORD_HEAD_BYTES + record_size
        count += 1
    return [event for _, event in decoder.Decoder().decode_batch(count, body)]


def test_a_request_is_decoded():
    (event,) = decode(
        "82020000000300 1e30000000 c4913a5d92aa0c00 0000 00000000 640ad2557c3bf091 001c4e0e00000000"
        "001bb70000000000 0000c043 00003041 0100"
    )
    assert event.class_index == 0
    assert event.order_key == 0x91F03B7C55D20A64
    assert event.estimated_memory_mb == 384.0
    assert event.timeout == pytest.approx(0.24)
    assert event.estimated_work == pytest.approx(0.012)
    assert event.table_group == 11.0


def test_the_outcome_of_an_attempt_is_decoded():
    (event,) = decode(
        "82020000000300 322d000000 c4913a5d92aa0c00 00 074a1203 6400 a0491a0100000000 01 60100100"
        "04 0000404052b81e3f0000a03fcdcccc3e"
    )
    assert event.result is api.Result.OK
    assert event.is_final
    assert event.engine_id == 0x03124A07
    assert event.used_work == pytest.approx(0.017)
    assert event.used_memory_mb == 0x60 * 4
    assert event.load_report == pytest.approx((3.0, 0.62, 1.25, 0.4))


def test_all_other_events_are_decoded():
    events = decode(
        "82020000000300 7836000000 00000000 02000000"
        "0000 0000000000000000 02 0000 0000803f 0000 074a1203"
        "0000 009d966b01000000 02 0000 0000c03f 0000 f211902c"
        "140d000000 02 2900000000000000 00000000"
        "6e12000000 c4913a5d92aa0c00 074a1203 01 0000003f 00"
        "501f000000 f211902c 6400 c05c150000000000 04 0000404052b81e3f0000a03fcdcccc3e"
        "4608000000 4d00000000000000 3c08000000 192b6f0e310e0300 5a0a000000 02000000 0400 68692037"
        "6400000000"
    )
    engine_list, note, probe, timer, client_gone, peer_message, shutdown = events
    assert engine_list.is_full
    assert [entry.engine_id for entry in engine_list.entries] == [0x03124A07, 0x2C9011F2]
    assert engine_list.entries[1].size == 1.5
    assert engine_list.entries[1].started_at == pytest.approx(6.1)
    assert note.kind is api.AttemptUpdateKind.PROGRESS
    assert note.value == 0.5
    assert probe.engine_id == 0x2C9011F2
    assert len(probe.load_report) == 4
    assert timer.token == 77
    assert client_gone.request_id == 0x030E310E6F2B19
    assert peer_message == api.PeerMessage(2, b"hi 7")
    assert isinstance(shutdown, decoder.Shutdown)


@pytest.mark.parametrize(
    "action, text",
    [
        (
            api.Send(0x0CAA925D3A91C4, 0x03124A07, 0.08),
            "0a14000000 c4913a5d92aa0c00 00b4c40400000000 074a1203",
        ),
        (api.SetTimer(0.5, 77), "3210000000 0065cd1d00000000 4d00000000000000"),
        (api.Log("two servers known"), "5a13000000 1100 74776f2073657276657273206b6e6f776e"),
        (api.Probe(0x2C9011F2), "3c04000000 f211902c"),
        (api.Cancel(0x0CAA925D3A91C4, 0), "2809000000 c4913a5d92aa0c00 00"),
        (api.SubscribeToEngineList(), "6e01000000 01"),
        (api.FetchEngineList(), "7800000000"),
        (api.Fail(0x0CAA925D3A91C4), "1e08000000 c4913a5d92aa0c00"),
        (api.SendPeerMessage(None, b"hi 7"), "500a000000 ffffffff 0400 68692037"),
        (api.SetResources(0x0CAA925D3A91C4, 2, 640.0), "820d000000 c4913a5d92aa0c00 00002044 02"),
    ],
)
def test_an_action_is_encoded(action, text):
    assert encoder.encode_action(action) == bytes.fromhex(text)


def test_settings_are_read_and_unknown_keys_are_ignored():
    settings = read_settings(SETTINGS)
    assert settings.classes[0].kinds is None
    assert settings.classes[1].kinds == frozenset({0})
    assert settings.classes[1].is_ordered
    assert settings.classes[1].threads == 3
    assert settings.kinds[1].cores == 12
    assert settings.budget_share == 0.1
    assert settings.report_columns == ("waiting", "cpu", "x1", "memory_used")
    assert settings.probe_price == 0.0
    assert read_settings(SETTINGS + "\nprices.probe=0.08").probe_price == 0.08


@pytest.mark.parametrize("key", ["classes.0.aim", "classes.1.repeat", "classes.count"])
def test_an_error_names_the_missing_setting(key):
    text = "\n".join(line for line in SETTINGS.splitlines() if not line.startswith(key + "="))
    with pytest.raises(api.SettingsError, match=key):
        read_settings(text)


def make_batch(body, count):
    """Return a batch of `count` records, as the simulator sends it."""
    return layout.BATCH_HEAD.pack(len(body), 10_000_000_000, count) + body


def test_an_unknown_record_is_ignored_and_the_end_of_input_logs_nothing(capsys):
    data = make_batch(bytes.fromhex("82020000000300fe03000000010203"), 2)
    output = io.BytesIO()
    assert adapter.serve(io.BytesIO(data), output) == 0
    assert output.getvalue() == bytes(8)
    assert capsys.readouterr().err == ""


@pytest.mark.parametrize(
    "data",
    [b"\0" * 7, make_batch(b"\x1e\x30\0\0\0", 1), make_batch(b"", 1), make_batch(b"ab", 0)[:-1]],
)
def test_malformed_input_ends_the_adapter_with_one_line_of_error(data, capsys):
    assert adapter.serve(io.BytesIO(data), io.BytesIO()) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_an_exception_is_reported_on_the_wire(capsys):
    invalid_settings = struct.pack("<QI", 1, 4) + b"me=x"
    head = layout.RECORD_HEAD.pack(10, len(invalid_settings))
    body = bytes.fromhex("82020000000300") + head + invalid_settings
    output = io.BytesIO()
    assert adapter.serve(io.BytesIO(make_batch(body, 2)), output) == 0
    assert output.getvalue()[8] == 100
    assert "Traceback" in capsys.readouterr().err
