"""Parsing of one HTTP/1.1 request and serialization of its response, with h11. The module does no I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus

import h11

from .limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from .routes import AdminResponse

MAX_ERROR_CHARACTERS = 120  # longer error messages of h11 are truncated


@dataclass(frozen=True)
class HttpRequest:
    """A complete HTTP request."""

    method: str
    target: str
    body: bytes


class ClientDisconnectedError(Exception):
    """The client closed the connection before its request was complete."""


class MalformedRequestError(ValueError):
    """A request that is not HTTP or exceeds a size limit.

    Attributes:
        status: The HTTP status of the response.
        field: The invalid part of the request.
        method: The method of the request; empty if it is unknown.
    """

    def __init__(self, status: int, message: str, field: str, method: str = "") -> None:
        """Create an error with its message and attributes."""
        super().__init__(message)
        self.status = status
        self.field = field
        self.method = method


class HttpExchange:
    """The server side of one request and its response."""

    def __init__(self) -> None:
        """Create an exchange that has received nothing yet."""
        self._codec = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._head: h11.Request | None = None
        self._body = bytearray()

    def receive(self, data: bytes) -> None:
        """Add received data; empty data marks the end of the stream."""
        self._codec.receive_data(data)

    def next_request(self) -> HttpRequest | None:
        """Return the request, or None if more data is needed.

        Raises:
            ClientDisconnectedError: The stream ended before the request was complete.
            MalformedRequestError: The data is not HTTP or exceeds a limit; one response can be sent.
        """
        try:
            while True:
                event = self._codec.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.EndOfMessage):
                    return self._complete_request()
                if isinstance(event, h11.ConnectionClosed):
                    raise ClientDisconnectedError
                self._add(event)
        except h11.RemoteProtocolError as error:
            raise _malformed(error) from None

    def serialize(self, response: AdminResponse, method: str) -> bytes:
        """Return the bytes of the response to a request with `method`, which ends the exchange.

        A response to HEAD has no body.
        """
        body = json.dumps(response.body, separators=(",", ":")).encode()
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if "allow" in response.body:
            headers.append(("allow", response.body["allow"]))
        reason = HTTPStatus(response.status).phrase
        events = [h11.Response(status_code=response.status, reason=reason, headers=headers)]
        if method != "HEAD":
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self._codec.send(event) or b"" for event in events)

    def _add(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._check_body_size(_declared_body_size(event))
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._check_body_size(len(self._body))

    def _check_body_size(self, size: int) -> None:
        if size > MAX_BODY_BYTES:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            method = self._head.method.decode("latin-1")
            raise MalformedRequestError(status, f"body: over {MAX_BODY_BYTES} bytes", "body", method)

    def _complete_request(self) -> HttpRequest:
        method = self._head.method.decode("latin-1")
        target = self._head.target.decode("latin-1")
        return HttpRequest(method, target, bytes(self._body))


def _declared_body_size(request: h11.Request) -> int:
    """Return the content length that a request declares, or 0 if it declares none."""
    declared = dict(request.headers).get(b"content-length", b"0")
    return int(declared) if declared.isdigit() else 0


def _malformed(error: h11.RemoteProtocolError) -> MalformedRequestError:
    status = max(error.error_status_hint, HTTPStatus.BAD_REQUEST)
    field = "head" if status == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else "request"
    return MalformedRequestError(status, f"request: {error}"[:MAX_ERROR_CHARACTERS], field)
