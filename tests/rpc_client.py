"""A MessagePack-RPC client of the program."""

from __future__ import annotations

import socket
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

import msgpack

REQUEST_TYPE = 0
RESPONSE_TYPE = 1
NOTIFICATION_TYPE = 2

FAILED = ["Error", {}]  # error of a request that failed or is invalid
REJECTED = "Full"  # error name of a rejected request, which may be sent again
PROBE_ACCEPTED = [True, {}]  # result of a probe while new clients are accepted

TIMEOUT_SECONDS = 30.0
READ_BYTES = 65536


@dataclass(frozen=True)
class Response:
    """A response: `error` is None if the request was completed, else `result` is None."""

    number: int
    error: list | None
    result: list | None


def pack_request(number: int, method: str, fields: dict[str, str], *arguments: bytes) -> bytes:
    """Return the encoded message of a request."""
    return msgpack.packb([REQUEST_TYPE, number, method, [fields, *arguments]])


def pack_cancellation(number: int) -> bytes:
    """Return the encoded message that cancels a request."""
    return msgpack.packb([NOTIFICATION_TYPE, "giveUp", [number]])


class RpcClient:
    """A client connection with blocking reads and writes, which time out after TIMEOUT_SECONDS."""

    def __init__(self, address: tuple[str, int]):
        self.socket = socket.create_connection(address, timeout=TIMEOUT_SECONDS)
        self._unpacker = msgpack.Unpacker()

    def send_bytes(self, data: bytes, cuts: Iterable[int] = ()) -> None:
        """Send `data` in pieces that are cut at the positions `cuts`, modulo its length."""
        boundaries = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
        for start, end in pairwise(boundaries):
            self.socket.sendall(data[start:end])

    def send_probe(self, number: int) -> None:
        """Send a probe, which asks whether new clients are accepted."""
        self.send_bytes(pack_request(number, "probe", {}))

    def send_request(
        self,
        number: int,
        method: str,
        request_id: str,
        statement: str,
        cuts: Iterable[int] = (),
        **fields: str,
    ) -> None:
        """Send a request with the usual fields, some of which `fields` overrides."""
        usual_fields = {"ref": request_id, "allow": "5000", "effort": "10", "space": "4", "lookup": "7"}
        self.send_bytes(pack_request(number, method, usual_fields | fields, statement.encode()), cuts)

    def read_response(self) -> Response | None:
        """Return the next response, or None at the end of the connection."""
        while True:
            for message in self._unpacker:
                message_type, number, error, result = message
                assert message_type == RESPONSE_TYPE
                return Response(number, error, result)
            data = self.socket.recv(READ_BYTES)
            if not data:
                return None
            self._unpacker.feed(data)

    def read_responses(self, count: int) -> list[Response]:
        """Return the next `count` responses."""
        return [self.read_response() for _ in range(count)]

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


def probe(address: tuple[str, int]) -> bool:
    """Return whether a probe on a new connection reports that new clients are accepted."""
    client = RpcClient(address)
    client.send_probe(1)
    try:
        return client.read_response().result[0]
    finally:
        client.close()
