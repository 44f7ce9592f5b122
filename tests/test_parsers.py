"""Tests of all parsers, with valid messages that are split at random and with random bytes."""

import json
import struct
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale import api
from applevale.config.loader import parse_config
from applevale.config.model import ConfigError
from applevale.discovery import control_feed, endpoints, feed_codec
from applevale.engines import resp
from applevale.observability.counters import Counters
from applevale.requests.model import Completed, Failed, Rejected
from applevale.server import message_scanner, rpc
from applevale.server.request_parser import InvalidRequestError, RequestSchema, parse_request
from applevale.server.statement import table_group

NAMES = endpoints.AttributeNames(("here",), ("a", "b"))
EXAMPLE = json.loads((Path(__file__).parent.parent / "examples" / "config.json").read_text())
SETTINGS = replace(parse_config(EXAMPLE, {}).settings, tenants=(api.TenantSpec("one"), api.TenantSpec("two")))
SCHEMA = RequestSchema.from_settings(SETTINGS)


def frame(number, kind, *records):
    """Return a frame of the control feed."""
    body = b"".join(feed_codec.ENGINE_RECORD.pack(*record) for record in records)
    return feed_codec.FRAME_HEADER.pack(9 + len(body), number, kind) + body


RECORD = (0xC41F7A, 0x0A010009, 7001, 1, 0, 1, 2, 4000, 1500)
STREAM = frame(1, 1, RECORD) + frame(1, 0) + frame(2, 2, RECORD, (9, 1, 1, 2, 0, 0, 0, 0, 0))


@given(st.lists(st.integers(0, len(STREAM))))
def test_the_decoded_frames_do_not_depend_on_how_the_stream_is_split(cuts):
    decoder = feed_codec.FrameDecoder(NAMES)
    bounds = [0, *sorted(cuts), len(STREAM)]
    updates = [update for start, end in pairwise(bounds) for update in decoder.feed(STREAM[start:end])]
    assert [(update.number, update.is_full, len(update.endpoints)) for update in updates] == [
        (1, True, 1),
        (1, False, 0),
        (2, False, 2),
    ]
    endpoint = updates[0].endpoints[0]
    assert endpoint.address == ("10.1.0.9", 7001)
    assert endpoint.entry == api.EngineEntry(0xC41F7A, 0, 1, 2, 4.0, api.EngineState.DRAINING, 1.5)


@given(st.binary(max_size=200))
def test_random_bytes_of_a_feed_are_an_error_or_an_incomplete_frame(data):
    decoder = feed_codec.FrameDecoder(NAMES)
    try:
        decoder.feed(data)
    except feed_codec.FeedError:
        return
    assert len(decoder.buffer) <= len(data)


@pytest.mark.parametrize(
    "invalid", [frame(3, 2, RECORD), frame(2, 0), b"\0\0\0\x08" + bytes(9), b"\xff" * 13]
)
def test_a_gap_or_an_invalid_frame_raises_an_error(invalid):
    updates = []
    feed = control_feed.ControlFeed(control_feed.FeedConfig(NAMES, 1), Counters(), updates.append)
    with pytest.raises(feed_codec.FeedError):
        for update in feed_codec.FrameDecoder(NAMES).feed(invalid):
            feed.apply(update)
    feed.apply(endpoints.EndpointUpdate(1, False, ()))
    assert updates == [] and feed.last_number == 1


@given(st.text(alphabet="'\"`-/*#\\\n._ a9", max_size=60))
def test_the_table_group_of_any_text_is_not_negative(text):
    assert table_group(text.encode()) >= 0


@pytest.mark.parametrize(
    "text, group",
    [
        ("select * from sales_17.orders", 17),
        ("select 'a_3.b', ''';x_2.y' from /* x_4.y * */ staging.t_5 join `geo_7`.x", 7),
        ('-- a_1.b\ninsert into "z_9" . q', 9),
        ("select a.b_4, t_3 from staging_2.t, air_my_6.q", 6),
        ("select 'it_1.x", 0),
    ],
)
def test_only_schema_names_determine_the_table_group(text, group):
    assert table_group(text.encode()) == group


VALUES = st.none() | st.integers() | st.floats() | st.text(max_size=8) | st.binary(max_size=8)
FIELD_NAMES = {"ref", "allow", "effort", "space", "lookup", "dup", "replay", "project"}
OTHER_PARTS_OF_A_CALL = {"method", "params", "statement"}
FIELDS = st.dictionaries(st.sampled_from(sorted(FIELD_NAMES)), VALUES)


@given(st.sampled_from([*SCHEMA.class_indices, "other"]), st.lists(FIELDS | VALUES, max_size=3))
def test_any_call_is_a_valid_request_or_an_error_that_names_the_field(method, params):
    try:
        request = parse_request(SCHEMA, rpc.RequestCall(1, method, params), 1.0)
    except InvalidRequestError as error:
        assert str(error).partition(": ")[0] in FIELD_NAMES | OTHER_PARTS_OF_A_CALL
        return
    assert 0 <= request.timeout < float("inf")
    assert 0 <= request.order_key < 2**64
    assert 0 <= request.estimated_work < float("inf")


def test_the_fields_of_a_request_are_converted_to_its_units():
    fields = {
        "ref": "9b1f03aa5c7e2d41",
        "allow": "1500",
        "dup": "1",
        "effort": "820.0",
        "space": "96",
        "lookup": "ff",
        "replay": "b2ec",
        "project": "two",
    }
    request = parse_request(SCHEMA, rpc.RequestCall(1, "load", [fields, b"insert into air_4.x"]), 9.0)
    assert (
        request.timeout,
        request.estimated_work,
        request.estimated_memory_mb,
        request.order_key,
        request.table_group,
    ) == (1.5, 0.82, 96.0, 255, 4.0)
    assert request.is_client_retry and request.class_index == 2 and request.received_at == 9.0
    assert request.idempotency_key == "b2ec" and request.tenant_index == 1


@pytest.mark.parametrize(
    "field, value",
    [
        ("replay", "a,b=c"),
        ("replay", "a b"),
        ("replay", "x" * 200),
        ("replay", 7),
        ("project", "three"),
        ("project", 1),
    ],
)
def test_the_error_of_an_invalid_field_names_the_field(field, value):
    fields = {"ref": "9b1f03aa5c7e2d41", "allow": "1500", field: value}
    with pytest.raises(InvalidRequestError, match=field):
        parse_request(SCHEMA, rpc.RequestCall(1, "lookup", [fields, b"select 1 from air_4.x"]), 9.0)


@pytest.mark.parametrize(
    "response, data",
    [
        (Completed(b"r\n"), b"\x94\x01\x07\xc0\x92\xc4\x02r\n\x80"),
        (Rejected(0.5), b"\x94\x01\x07\x92\xa4Full\x81\xa8cooldown\xa3500\xc0"),
        (Rejected(0.0001), b"\x94\x01\x07\x92\xa4Full\x81\xa8cooldown\xa11\xc0"),
        (Rejected(0.0), b"\x94\x01\x07\x92\xa4Full\x80\xc0"),
        (Failed(), b"\x94\x01\x07\x92\xa5Error\x80\xc0"),
    ],
)
def test_the_encoding_of_each_response(response, data):
    assert rpc.encode_response(7, response) == data


@pytest.mark.parametrize(
    "message, call",
    [
        ([0, 1, "probe", [{}]], rpc.ProbeCall(1)),
        ([0, 1, "probe", []], rpc.RequestCall(1, "probe", [])),
        ([0, 1, "lookup", [{}, b"x"]], rpc.RequestCall(1, "lookup", [{}, b"x"])),
        ([2, "giveUp", [1]], rpc.CancelNotification(1)),
        ([2, "giveUp", []], None),
        ([0, "1", "lookup", []], None),
        ([1, 1, None, []], None),
        (7, None),
    ],
)
def test_a_message_is_parsed_to_a_call_or_is_malformed(message, call):
    if call is not None:
        assert rpc.parse_call(message) == call
        return
    with pytest.raises(rpc.MalformedMessageError):
        rpc.parse_call(message)


@pytest.mark.parametrize("message_id, last_message_id", [(True, 0), (0, 0), (3, 4), (2**32, 0)])
def test_message_ids_must_increase_and_fit_in_32_bits(message_id, last_message_id):
    rpc.check_message_id(last_message_id + 1, last_message_id)
    with pytest.raises(rpc.MalformedMessageError):
        rpc.check_message_id(message_id, last_message_id)


REPLIES = b"".join(
    (
        resp.encode_array(b"a", b"HIT", b"sheets=1", b"x\ty\tz\n"),
        resp.encode_array(b"b", b"SHED", b"-", b""),
    )
)


@given(st.lists(st.integers(0, len(REPLIES))))
def test_the_end_of_a_reply_is_found_however_the_stream_is_split(cuts):
    data = bytearray()
    found = []
    bounds = [0, *sorted(cuts), len(REPLIES)]
    for start, stop in pairwise(bounds):
        data += REPLIES[start:stop]
        while end := resp.find_reply_end(data):
            found.append(bytes(data[:end]))
            del data[:end]
    assert b"".join(found) == REPLIES
    assert len(found) == 2


@given(st.integers(0, len(REPLIES) - 1), st.binary(min_size=1, max_size=30))
def test_a_reply_with_inserted_bytes_is_invalid_incomplete_or_an_array_of_four_strings(position, noise):
    data = bytearray(REPLIES[:position] + noise + REPLIES[position:])
    try:
        end = resp.find_reply_end(data)
    except ValueError:
        return
    reader = hiredis.Reader()
    reader.feed(bytes(data[:end]))
    assert not end or [type(part) for part in reader.gets()] == [bytes] * 4


@given(st.binary(max_size=80))
def test_any_fields_of_a_reply_can_be_parsed(raw):
    fields = resp.parse_fields(raw)
    report = resp.parse_load_report(fields, ("active", "cpu"))
    assert len(report) in (0, 2) and all(value >= 0 or value == -1 for value in report)


def test_a_column_of_a_load_report_is_recognized_by_either_of_its_names():
    fields = resp.parse_fields(b"toil=3,rep=inflight:7;cpu:0.61")
    assert resp.parse_load_report(fields, ("active", "cpu", "x1")) == (7.0, 0.61, -1.0)


@pytest.mark.parametrize("item_count", [message_scanner.MAX_CONTAINER_ITEMS + 1, 2**32 - 1])
def test_an_array_with_too_many_items_is_rejected_by_its_header(item_count):
    decoder = rpc.MessageDecoder()
    header = struct.pack(">BI", 0xDD, item_count)
    with pytest.raises(ValueError):
        next(decoder.decode(header))


@pytest.mark.parametrize(
    "path, value",
    [
        ("listen", "nowhere"),
        ("seed", "xyz"),
        ("known", {"events": [{}]}),
        ("settings.classes", None),
        ("limits.sockets", "many"),
        ("settings.limits.conn_idle", float("nan")),
        ("feed", "1.2.3.4"),
    ],
)
def test_the_error_of_an_invalid_configuration_names_the_key(path, value):
    raw = json.loads(json.dumps(EXAMPLE))
    *parents, key = path.split(".")
    section = raw
    for parent in parents:
        section = section[parent]
    section[key] = value
    with pytest.raises(ConfigError, match=key):
        parse_config(raw, {})
