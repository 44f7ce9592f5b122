"""Records of engines: values of a registry's keys in JSON or YAML, an object with the fields of a record."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from ... import api
from ...errors import AppleValeError
from ..endpoints import AttributeNames, Endpoint, parse_instance_id

MAX_VALUE_BYTES = 64 * 1024  # a larger value is not parsed
MAX_PORT = 65535
MAX_QUOTED_LENGTH = 40  # of a name in an error
MAX_REASON_LENGTH = 120  # of the JSON or YAML decoder's text
MAX_PARSER_REASON_LENGTH = 80  # of the YAML parser's own text
_STATE_BY_NAME = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


class EngineRecord(msgspec.Struct, forbid_unknown_fields=False):
    """The fields of a value. Unknown ones are ignored: other programs may store theirs there."""

    id: Annotated[str, msgspec.Meta(pattern=r"^s-[0-9a-f]{8}$")]
    address: Annotated[str, msgspec.Meta(max_length=64)]  # HOST:PORT, the host an IP address
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e11)] = 0.0  # Unix time, s; 0: long ago


class RecordError(AppleValeError, ValueError):
    """A value that is not a record.

    Attributes:
        key: The field of the record that is wrong; empty where the value as a whole is.
        reason: What is wrong with it.
    """

    def __init__(self, reason: str, key: str = ""):
        """Build the error of one value."""
        super().__init__(reason, key)
        self.reason = reason
        self.key = key

    def __str__(self) -> str:
        """Return both in one line."""
        return f"{self.key}: {self.reason}" if self.key else self.reason


def read_record(value: bytes, names: AttributeNames) -> Endpoint:
    """Return the endpoint that a value describes.

    Raises:
        RecordError: The value is not a record, or refers to an unknown zone or kind.
    """
    record = _decode(value)
    address = _parse_address(record.address)
    entry = api.EngineEntry(
        engine=parse_instance_id(record.id),
        zone=_position(record.zone, names.zones, "zone"),
        kind=_position(record.kind, names.kinds, "kind"),
        cell=record.cell,
        size=record.weight,
        state=_STATE_BY_NAME[record.state],
        started=record.started,
    )
    return Endpoint(entry, address)


def _decode(value: bytes) -> EngineRecord:
    if len(value) > MAX_VALUE_BYTES:
        raise RecordError(f"a value of {len(value)} bytes, over {MAX_VALUE_BYTES}")
    try:
        if value.lstrip()[:1] == b"{":
            return msgspec.json.decode(value, type=EngineRecord)
        return msgspec.yaml.decode(value, type=EngineRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise RecordError(str(error).replace("\n", " ")[:MAX_REASON_LENGTH]) from None
    except Exception as error:  # the YAML parser's own errors, and what it raises on deep nesting
        raise RecordError(
            f"{type(error).__name__}: {str(error)[:MAX_PARSER_REASON_LENGTH]}".replace("\n", " ")
        ) from None


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise RecordError(f"{text!r} is not IP:PORT", "address")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise RecordError(f"{text!r} is not IP:PORT", "address") from None


def _position(name: str, names: tuple[str, ...], key: str) -> int:
    if not name:
        return 0
    if name not in names:
        raise RecordError(f"{name[:MAX_QUOTED_LENGTH]!r} is not one of the settings' {key}s", key)
    return names.index(name)
