"""The routes of the admin API and their handlers.

Every request gets exactly one response. An invalid request changes no state, and its response names the
invalid field. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

MAX_QUOTED_CHARACTERS = 80  # longer paths and hosts are truncated in error messages


@dataclass(frozen=True)
class AdminResponse:
    """An HTTP status and a JSON object as the body.

    If the body has a member `allow`, it is also sent as the header of that name.
    """

    status: int
    body: dict


class InvalidRequestError(ValueError):
    """The body of a request is invalid.

    Attributes:
        field: The name of the invalid field.
    """

    def __init__(self, message: str, field: str) -> None:
        """Create an error with a message and the name of the invalid field."""
        super().__init__(message)
        self.field = field


class AdminTarget(Protocol):
    """The operations of an instance that the admin API exposes."""

    def is_ready(self) -> bool:
        """Return whether the instance is ready for new clients."""

    def metrics_snapshot(self) -> dict:
        """Return the metrics as a JSON object."""

    def disable_engine(self, host: str) -> bool:
        """Eject an engine, named by id or HOST:PORT; return False if it was never listed."""

    def enable_engine(self, host: str) -> bool:
        """End the ejection of an engine; return False if it was never listed."""

    def drain(self) -> None:
        """Begin a drain."""

    def undrain(self) -> None:
        """End a drain."""


Handler = Callable[[AdminTarget, bytes], AdminResponse]  # takes the target and the body of the request


@dataclass(frozen=True)
class Route:
    """The HTTP method that a path accepts, and its handler."""

    method: str
    handler: Handler


def dispatch(target: AdminTarget, method: str, path: str, body: bytes) -> AdminResponse:
    """Handle one request on the target and return its response; a query string is ignored."""
    path = path.split("?", 1)[0]
    route = ROUTES.get(path)
    if route is None:
        return error_response(HTTPStatus.NOT_FOUND, f"no such call: {path[:MAX_QUOTED_CHARACTERS]}", "path")
    if method != route.method:
        error = {"error": f"{path} takes {route.method}", "field": "method", "allow": route.method}
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, error)
    try:
        return route.handler(target, body)
    except InvalidRequestError as error:
        return error_response(HTTPStatus.BAD_REQUEST, str(error), error.field)


def error_response(status: int, message: str, field: str) -> AdminResponse:
    """Return the response to a request with an invalid field."""
    return AdminResponse(status, {"error": message, "field": field})


def _ok(body: dict) -> AdminResponse:
    return AdminResponse(HTTPStatus.OK, body)


def _get_ready(target: AdminTarget, _body: bytes) -> AdminResponse:
    ready = target.is_ready()
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return AdminResponse(status, {"ready": ready})


def _get_metrics(target: AdminTarget, _body: bytes) -> AdminResponse:
    return _ok(target.metrics_snapshot())


def _drain(target: AdminTarget, _body: bytes) -> AdminResponse:
    target.drain()
    return _ok({"draining": True})


def _undrain(target: AdminTarget, _body: bytes) -> AdminResponse:
    target.undrain()
    return _ok({"draining": False})


def _disable_engine(target: AdminTarget, body: bytes) -> AdminResponse:
    host = _read_host(body)
    if not target.disable_engine(host):
        return _unknown_engine(host)
    return _ok({"host": host, "disabled": True})


def _enable_engine(target: AdminTarget, body: bytes) -> AdminResponse:
    host = _read_host(body)
    if not target.enable_engine(host):
        return _unknown_engine(host)
    return _ok({"host": host, "disabled": False})


def _unknown_engine(host: str) -> AdminResponse:
    message = f"host: no engine {host[:MAX_QUOTED_CHARACTERS]!r} was listed"
    return error_response(HTTPStatus.NOT_FOUND, message, "host")


def _read_host(body: bytes) -> str:
    """Return the engine name in the body of a request.

    Raises:
        InvalidRequestError: The body is not JSON or has no host.
    """
    try:
        fields = json.loads(body or b"null")
    except (ValueError, RecursionError):
        raise InvalidRequestError("body: not JSON", "body") from None
    host = fields.get("host") if isinstance(fields, dict) else None
    if not isinstance(host, str) or not host:
        raise InvalidRequestError("host: a string is needed", "host")
    return host


ROUTES = {
    "/ready": Route("GET", _get_ready),
    "/metrics": Route("GET", _get_metrics),
    "/engines/disable": Route("POST", _disable_engine),
    "/engines/enable": Route("POST", _enable_engine),
    "/drain": Route("POST", _drain),
    "/undrain": Route("POST", _undrain),
}
