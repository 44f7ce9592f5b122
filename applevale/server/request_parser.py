"""Validation of requests: from the fields of an RPC call to a `Request`."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from math import nan

from .. import api
from ..requests.model import Request, never_gone
from .rpc import RequestCall
from .statement import table_group

# Largest timeout of a request, as a multiple of its class's deadline.
MAX_TIMEOUT_FACTOR = 1.1
# Limits on a client's estimates. They are far beyond the capacity of any engine, yet low enough not to
# distort the estimates that all requests share.
MAX_ESTIMATED_WORK_MS = 1e8
MAX_ESTIMATED_MEMORY_MB = 1e7
MAX_ORDER_KEY = 2**64 - 1
MAX_QUOTED_CHARACTERS = 40  # longer field values are truncated in error messages

_REQUEST_ID = re.compile(r"[0-9a-fA-F]{16}")
# Idempotency keys are sent to engines in comma-separated fields, so they must not contain `,` or `=`.
_IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.:-]{0,128}")
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")


class InvalidRequestError(ValueError):
    """A request has a missing or invalid field; the client gets an error response."""


@dataclass(frozen=True)
class RequestSchema:
    """The classes and tenants that the settings define.

    Attributes:
        class_specs: The classes in the order of the settings.
        class_indices: Index of each class by name.
        tenant_indices: Index of each tenant by name.
    """

    class_specs: tuple[api.ClassSpec, ...]
    class_indices: dict[str, int]
    tenant_indices: dict[str, int]

    @classmethod
    def from_settings(cls, settings: api.Settings) -> RequestSchema:
        """Return the schema for the classes and tenants of the settings."""
        class_indices = {spec.name: index for index, spec in enumerate(settings.classes)}
        tenant_indices = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        return cls(settings.classes, class_indices, tenant_indices)


def parse_request(
    schema: RequestSchema,
    call: RequestCall,
    received_at: float,
    is_client_gone: Callable[[], bool] = never_gone,
) -> Request:
    """Return the request that a call carries.

    Args:
        schema: The classes and tenants that exist.
        call: A call that names a class of requests.
        received_at: When the call was read, by the driver's clock.
        is_client_gone: Returns whether the client has hung up.

    Raises:
        InvalidRequestError: A field is missing or invalid; the message names it.
    """
    class_index = _parse_class(call.method, schema)
    fields, statement = _split_params(call.params)
    spec = schema.class_specs[class_index]
    # The fields are validated in the order of the arguments, and the first invalid one is reported.
    return Request(
        class_index=class_index,
        request_id=_parse_request_id(fields),
        timeout=_parse_number(fields, "allow", spec.deadline * MAX_TIMEOUT_FACTOR * 1000) / 1000,
        estimated_work=_parse_number(fields, "effort", MAX_ESTIMATED_WORK_MS, 0.0) / 1000,
        estimated_memory_mb=_parse_number(fields, "space", MAX_ESTIMATED_MEMORY_MB, 0.0),
        order_key=_parse_order_key(fields) if spec.is_ordered else 0,
        statement=_parse_statement(statement),
        tenant_index=_parse_tenant(fields, schema),
        table_group=table_group(statement),
        is_client_retry=fields.get("dup") == "1",
        idempotency_key=_parse_idempotency_key(fields),
        received_at=received_at,
        is_client_gone=is_client_gone,
    )


def _quote(value: object) -> str:
    """Return a field's value for an error message, shortened; for a list or map its type only."""
    if value is None:
        return "nothing"
    if isinstance(value, (list, dict)):  # may be nested too deeply for str()
        return f"a {type(value).__name__}"
    return repr(str(value)[:MAX_QUOTED_CHARACTERS])


def _parse_class(method: str, schema: RequestSchema) -> int:
    """Return the index of the class that is named by the method."""
    if method not in schema.class_indices:
        raise InvalidRequestError(f"method: {_quote(method)} is not a class of the settings")
    return schema.class_indices[method]


def _split_params(params: list) -> tuple[dict, bytes]:
    """Return the fields and the statement of a call."""
    match params:
        case [dict(fields), bytes(statement)]:
            return fields, statement
    raise InvalidRequestError("params: [fields as a map, statement as bytes] expected")


def _parse_request_id(fields: dict) -> bytes:
    request_id = fields.get("ref")
    if not isinstance(request_id, str) or not _REQUEST_ID.fullmatch(request_id):
        raise InvalidRequestError(f"ref: 16 hexadecimal digits expected, not {_quote(request_id)}")
    return request_id.encode()


def _parse_number(fields: dict, name: str, maximum: float, default: float | None = None) -> float:
    """Return a number from 0 to `maximum`; without a default the field is required."""
    raw = fields.get(name)
    if raw is None and default is not None:
        return default
    try:
        value = float(raw) if isinstance(raw, str) else nan
    except ValueError:
        value = nan
    if not 0 <= value <= maximum:
        raise InvalidRequestError(f"{name}: a number from 0 to {maximum:g} expected, not {_quote(raw)}")
    return value


def _parse_order_key(fields: dict) -> int:
    raw = fields.get("lookup", "")
    try:
        key = int(raw, 16)
    except (TypeError, ValueError):
        key = 0
    if not 0 < key <= MAX_ORDER_KEY:
        raise InvalidRequestError(
            f"lookup: a hexadecimal number from 1 to {MAX_ORDER_KEY:x} expected, not {_quote(raw)}"
        )
    return key


def _parse_idempotency_key(fields: dict) -> str:
    key = fields.get("replay", "")
    if not isinstance(key, str) or not _IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidRequestError(
            f"replay: up to 128 letters, digits or characters of _.:- expected, not {_quote(key)}"
        )
    return key


def _parse_tenant(fields: dict, schema: RequestSchema) -> int:
    name = fields.get("project")
    if not schema.tenant_indices or name is None:
        return 0
    if not isinstance(name, str) or name not in schema.tenant_indices:
        raise InvalidRequestError(f"project: {_quote(name)} is not a tenant of the settings")
    return schema.tenant_indices[name]


def _parse_statement(statement: bytes) -> bytes:
    """Return the statement if it is valid text.

    Engines close the connection on any other statement, together with the other requests on it.
    """
    try:
        text = statement.decode()
    except UnicodeDecodeError:
        raise InvalidRequestError("statement: UTF-8 text expected") from None
    if not text.strip():
        raise InvalidRequestError("statement: empty, text expected")
    if _CONTROL_CHARACTERS.search(text):
        raise InvalidRequestError("statement: control characters are not allowed")
    return statement
