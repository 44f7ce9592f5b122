"""MessagePack-RPC: typed messages, their decoding and their encoding."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil

import msgpack

from ..requests.model import Completed, Failed, Rejected, Response
from .message_scanner import MessageScanner

RECEIVE_BUFFER_BYTES = 4096  # bytes of one read
MAX_MESSAGE_ID = 2**32 - 1

_ERROR_FAILED = "Error"
_ERROR_REJECTED = "Full"
_FIELD_RETRY_AFTER = "cooldown"  # decimal string, milliseconds


class _MessageType:
    """Message types of MessagePack-RPC."""

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2


class _Method:
    """Methods of the protocol itself; any other method is the name of a request class."""

    PROBE = "probe"
    CANCEL = "giveUp"


class MalformedMessageError(ValueError):
    """A message violates the protocol; the connection is closed."""


@dataclass(slots=True)
class ProbeCall:
    """A call that asks whether the server accepts new clients."""

    message_id: int


@dataclass(slots=True)
class RequestCall:
    """A call that asks to execute a request; `method` is the name of its class."""

    message_id: int
    method: str
    params: list


@dataclass(slots=True)
class CancelNotification:
    """A notification that cancels the call with this message id; it gets no response."""

    message_id: int


Call = ProbeCall | RequestCall | CancelNotification


class MessageDecoder:
    """Decodes the messages in a stream of bytes.

    An incomplete message is held as the bytes received, and nothing is built from it before it is complete.
    """

    def __init__(self) -> None:
        """Create a decoder for a new stream."""
        self._received = bytearray()
        self._scanner = MessageScanner()

    @property
    def incomplete_bytes(self) -> int:
        """Number of received bytes that belong to an incomplete message."""
        return len(self._received)

    def decode(self, data: bytes) -> Iterator[object]:
        """Yield the messages that the next bytes of the stream complete.

        Raises:
            ValueError: The bytes are not MessagePack, or a message exceeds a limit.
            msgpack.exceptions.UnpackException: The bytes are not MessagePack.
        """
        self._received += data
        while end := self._scanner.find_end(self._received):
            message = msgpack.unpackb(self._received[:end])
            del self._received[:end]
            self._scanner = MessageScanner()
            yield message


def parse_call(message: object) -> Call:
    """Return the call that a decoded message represents.

    Raises:
        MalformedMessageError: The message is not a call of this protocol.
    """
    match message:
        case [_MessageType.REQUEST, int(message_id), _Method.PROBE, [dict()]]:
            return ProbeCall(message_id)
        case [_MessageType.REQUEST, int(message_id), str(method), list(params)]:
            return RequestCall(message_id, method, params)
        case [_MessageType.NOTIFICATION, _Method.CANCEL, [int(message_id)]]:
            return CancelNotification(message_id)
    raise MalformedMessageError(
        f"message: a request or a notification expected, not a {type(message).__name__}"
    )


def check_message_id(message_id: int, last_message_id: int) -> None:
    """Check that message ids increase, so that each response belongs to exactly one call.

    Raises:
        MalformedMessageError: The id is out of range or not above the last one.
    """
    if isinstance(message_id, bool) or not last_message_id < message_id <= MAX_MESSAGE_ID:
        raise MalformedMessageError(
            f"message id {message_id}: must be above {last_message_id} and at most {MAX_MESSAGE_ID}"
        )


def _encode(message_id: int, error: list | None, result: list | None) -> bytes:
    return msgpack.packb([_MessageType.RESPONSE, message_id, error, result])


def encode_probe_response(message_id: int, is_ready: bool) -> bytes:
    """Return the encoded response to a probe."""
    return _encode(message_id, None, [is_ready, {}])


def encode_response(message_id: int, response: Response) -> bytes:
    """Return the encoded message for a response."""
    match response:
        case Completed(rows=rows):
            return _encode(message_id, None, [rows, {}])
        case Rejected(retry_after=retry_after):
            advice = {}
            if retry_after > 0:
                advice[_FIELD_RETRY_AFTER] = str(ceil(retry_after * 1000))
            return _encode(message_id, [_ERROR_REJECTED, advice], None)
        case Failed():
            return encode_error_response(message_id)


def encode_error_response(message_id: int) -> bytes:
    """Return the encoded error response to a call that failed or is invalid."""
    return _encode(message_id, [_ERROR_FAILED, {}], None)
