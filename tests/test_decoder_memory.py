"""Memory that unfinished input takes in the decoders that strangers, engines or the feed can fill.

The table of all limits is in docs/design.md. Each bound is the limit on received bytes, with an eighth to
spare for a buffer that grows in place, and what a decoder holds without data. Decoders stop at an error.
"""

import gc
import struct
import tracemalloc

import h11
import hiredis
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale.admin.http_codec import HttpExchange, MalformedRequestError
from applevale.admin.limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from applevale.discovery.endpoints import AttributeNames
from applevale.discovery.feed_codec import MAX_FRAME_BYTES, FeedError, FrameDecoder
from applevale.engines.resp import MAX_REPLY_BYTES, CorruptReplyError, ReplyParser
from applevale.server.message_scanner import MAX_MESSAGE_BYTES
from applevale.server.rpc import RECEIVE_BUFFER_BYTES, MessageDecoder, parse_call


class StreamEndError(Exception):
    """A stream that reads nothing further."""


REJECTIONS = (
    StreamEndError,
    ValueError,
    msgpack.exceptions.UnpackException,
    CorruptReplyError,
    hiredis.HiredisError,
    MalformedRequestError,
    h11.ProtocolError,
    FeedError,
)
EMPTY_DECODER_BYTES = 16 * 1024
PIECE_BYTES = RECEIVE_BUFFER_BYTES
RECEIVED_BYTES = 2 * MAX_FRAME_BYTES  # over every limit


class RpcInput:
    """Messages of a client."""

    limit = MAX_MESSAGE_BYTES + PIECE_BYTES

    def __init__(self):
        self.decoder = MessageDecoder()

    def receive(self, data):
        """Decode one piece; a message that is no call ends the connection, as on the server."""
        for message in self.decoder.decode(data):
            parse_call(message)


class EngineInput:
    """Replies of an engine."""

    limit = MAX_REPLY_BYTES + PIECE_BYTES

    def __init__(self):
        self.parser = ReplyParser()

    def receive(self, data):
        """Parse one piece."""
        self.parser.feed(memoryview(data))
        while self.parser.next_reply() is not None:
            pass


class AdminInput:
    """A call to the admin API; h11 keeps the header beside the part of it that was parsed."""

    limit = 2 * (MAX_HEADER_BYTES + MAX_BODY_BYTES + PIECE_BYTES)

    def __init__(self):
        self.exchange = HttpExchange()

    def receive(self, data):
        """Parse one piece; a call ends with its first request, as on the server."""
        self.exchange.receive(data)
        if self.exchange.next_request() is not None:
            raise StreamEndError


class FeedInput:
    """Frames of the control feed."""

    limit = MAX_FRAME_BYTES + PIECE_BYTES

    def __init__(self):
        self.decoder = FrameDecoder(AttributeNames(("z",), ("k",)))

    def receive(self, data):
        """Decode one piece."""
        self.decoder.feed(data)


def held_memory(create_input, data):
    """Return the most memory, in bytes, that an input held after a piece, until it rejected one."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        stream = create_input()
        most = 0
        for start in range(0, len(data), PIECE_BYTES):
            try:
                stream.receive(data[start : start + PIECE_BYTES])
            except REJECTIONS:
                break
            most = max(most, tracemalloc.get_traced_memory()[0] - before)
    finally:
        tracemalloc.stop()
    return most


def repeated(head, unit):
    """Return a head and a unit again and again, over every limit."""
    return head + unit * (RECEIVED_BYTES // len(unit))


LIST_HEADER = struct.pack(">BH", 0xDC, 64)
STRING_HEADER = struct.pack(">BI", 0xC6, 255 * 1024)


@pytest.mark.parametrize(
    "create_input, data",
    [
        (RpcInput, repeated(LIST_HEADER + (LIST_HEADER + b"\x80" * 64) * 64, LIST_HEADER + b"\x80" * 64)),
        (RpcInput, repeated(b"", LIST_HEADER)),
        (RpcInput, repeated(b"\x94\x00\x01\xa1x" + STRING_HEADER, b"x")),
        (EngineInput, repeated(b"*4\r\n$16300\r\n", b"x")),
        (EngineInput, repeated(b"", b"*4\r\n")),
        (EngineInput, repeated(b"*4\r\n", b"$0\r\n\r\n")),
        (AdminInput, repeated(b"GET / HTTP/1.1\r\n", b"a: b\r\n")),
        (AdminInput, repeated(b"GET /", b"x")),
        (AdminInput, repeated(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n", b"[")),
        (
            AdminInput,
            repeated(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
        ),
        (FeedInput, repeated(struct.pack(">IQB", 9 + 27 * 38000, 2, 2), b"\x00")),
        (FeedInput, repeated(b"", struct.pack(">IQB", 9, 1, 0))),
    ],
)
def test_unfinished_input_takes_at_most_the_memory_of_its_limit(create_input, data):
    assert held_memory(create_input, data) <= create_input.limit * 9 / 8 + EMPTY_DECODER_BYTES


# Headers of lists and maps, which announce values that need not come, and values of all sizes.
TOKENS = st.one_of(
    st.integers(0, 15).map(lambda size: bytes([0x90 + size])),
    st.integers(0, 15).map(lambda size: bytes([0x80 + size])),
    st.integers(0, 2**16 - 1).map(lambda size: struct.pack(">BH", 0xDC, size)),
    st.integers(0, 2**32 - 1).map(lambda size: struct.pack(">BI", 0xDF, size)),
    st.integers(0, 2**32 - 1).map(lambda size: struct.pack(">BI", 0xC6, size)),
    st.integers(0, 31).map(lambda size: bytes([0xA0 + size]) + b"x" * size),
    st.binary(max_size=200).map(msgpack.packb),
    st.integers(-(2**63), 2**64 - 1).map(msgpack.packb),
    st.just(b"\xc0"),
)


@given(st.lists(st.tuples(TOKENS, st.integers(1, 2000)), max_size=30))
def test_nested_messages_of_any_tokens_take_no_more_memory_than_their_bytes(runs):
    """Each token is repeated, so that small ones fill the limits too."""
    data = b"".join(token * count for token, count in runs)[: 4 * MAX_MESSAGE_BYTES]
    received = min(len(data), RpcInput.limit)
    assert held_memory(RpcInput, data) <= received * 9 / 8 + EMPTY_DECODER_BYTES
