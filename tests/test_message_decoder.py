"""Tests of the decoder of client messages: any valid message in any pieces, and bounded memory."""

import struct
import tracemalloc
from itertools import pairwise

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale.server import message_scanner, rpc

MAX_RECEIVED_BYTES = 255 * 1024  # just below the limit on one message
FIXED_BYTES = 8 * 1024  # what a decoder may hold for an empty stream

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=40)
    | st.binary(max_size=300)
    | st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=20)),
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(max_size=3), inner, max_size=20),
    max_leaves=60,
)


def feed(decoder, data, piece_bytes=rpc.RECEIVE_BUFFER_BYTES):
    """Pass data to a decoder as a connection does; return the messages that are complete."""
    messages = []
    for start in range(0, len(data), piece_bytes):
        messages += decoder.decode(data[start : start + piece_bytes])
    return messages


@given(st.lists(st.lists(VALUES, min_size=1, max_size=6), min_size=1, max_size=3), st.integers(1, 50))
def test_messages_of_any_values_are_decoded_however_the_stream_is_split(messages, piece_bytes):
    data = b"".join(map(msgpack.packb, messages))
    assert feed(rpc.MessageDecoder(), data, piece_bytes) == messages


@given(st.binary(max_size=200), st.lists(st.integers(0, 200)))
def test_random_bytes_are_decoded_as_the_library_does_or_rejected(data, cuts):
    """The scanner is our own code, so the library is the reference for where each message ends."""
    decoder = rpc.MessageDecoder()
    bounds = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    messages = []
    try:
        for start, end in pairwise(bounds):
            messages += feed(decoder, data[start:end])
    except (ValueError, msgpack.exceptions.UnpackException):
        return
    reference = msgpack.Unpacker()
    reference.feed(data)
    expected = []
    for _ in messages:
        expected.append(reference.unpack())
    assert repr(messages) == repr(expected)  # NaN does not equal itself
    assert decoder.incomplete_bytes == len(data) - reference.tell()


def nested_lists(item):
    """Return the beginning of a message without end: lists of 64 lists of 64 items."""
    head = struct.pack(">BH", 0xDC, 64)
    return (head + (head + (head + item * 64) * 64) * 64)[:MAX_RECEIVED_BYTES]


# Review case 1: 30 clients with an unfinished message of 255 KB each drove the process over its memory limit,
# since the decoder built 18 MB from each of them.
@pytest.mark.parametrize(
    "data",
    [
        nested_lists(b"\x80"),  # empty maps
        nested_lists(b"\x01"),
        nested_lists(b"\xa0"),  # empty strings
        struct.pack(">BH", 0xDC, 64) * 1000,  # 1000 lists, of which none has its first item
        b"\x9f" * 1000,
        struct.pack(">BH", 0xDE, 64) * 1000,
        msgpack.packb([0, 1, "lookup", [{}, bytes(MAX_RECEIVED_BYTES)]])[:-1],
    ],
    ids=["maps", "integers", "strings", "open lists", "short open lists", "open maps", "binary"],
)
def test_an_incomplete_message_takes_no_more_memory_than_the_bytes_received(data):
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        decoder = rpc.MessageDecoder()
        rejected = False
        try:
            assert not feed(decoder, data)
        except (ValueError, msgpack.exceptions.UnpackException):
            rejected = True
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert rejected or decoder.incomplete_bytes == len(data)
    # The buffer that grows in place may have an eighth to spare.
    assert after - before <= decoder.incomplete_bytes * 9 / 8 + FIXED_BYTES


@pytest.mark.parametrize(
    "header, text",
    [
        (struct.pack(">BH", 0xDC, message_scanner.MAX_CONTAINER_ITEMS + 1), "items of a list or map"),
        (struct.pack(">BI", 0xDF, 2**32 - 1), "items of a list or map"),
        (b"\x94" + struct.pack(">BI", 0xC6, 60_000_000), "bytes"),
        (struct.pack(">BI", 0xDB, 2**32 - 1), "bytes"),
        (b"\xc1", "0xc1"),
        (b"\x9f" + b"\x9f" * 17, "values in all"),
    ],
)
def test_a_message_over_a_limit_is_rejected_by_its_header(header, text):
    with pytest.raises(message_scanner.MessageLimitError, match=text):
        feed(rpc.MessageDecoder(), header)
