"""Parser of engine records, which are the values of a registry's keys in JSON or YAML."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from ... import api
from ...errors import AppleValeError
from ..endpoints import AttributeNames, Endpoint, parse_instance_id

MAX_VALUE_BYTES = 64 * 1024  # Larger values are not parsed.
MAX_PORT = 65535
MAX_QUOTED_NAME_LENGTH = 40
MAX_DECODER_REASON_LENGTH = 120
MAX_PARSER_REASON_LENGTH = 80
_STATE_BY_NAME = {
    "ready": api.EngineState.READY,
    "draining": api.EngineState.DRAINING,
    "gone": api.EngineState.GONE,
}


class EngineRecord(msgspec.Struct, forbid_unknown_fields=False):
    """The fields of a record. Unknown fields are ignored, since other programs may add theirs.

    Attributes:
        id: Instance id of the engine.
        address: Address of the engine as HOST:PORT, where the host is an IP address.
        zone: Name of the zone; empty for the first one.
        kind: Name of the machine kind; empty for the first one.
        cell: Number of the cell.
        weight: Relative capacity.
        state: Lifecycle state.
        started: Start of the engine in Unix time, in s; 0 for a start long ago.
    """

    id: Annotated[str, msgspec.Meta(pattern=r"^s-[0-9a-f]{8}$")]
    address: Annotated[str, msgspec.Meta(max_length=64)]
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e11)] = 0.0


class RecordError(AppleValeError, ValueError):
    """A value is not a valid record.

    Attributes:
        key: Name of the invalid field; empty if the value as a whole is invalid.
        reason: Why the field or the value is invalid.
    """

    def __init__(self, reason: str, key: str = ""):
        """Create the error for one value."""
        super().__init__(reason, key)
        self.reason = reason
        self.key = key

    def __str__(self) -> str:
        """Return field and reason in one line."""
        return f"{self.key}: {self.reason}" if self.key else self.reason


def read_record(value: bytes, names: AttributeNames) -> Endpoint:
    """Return the endpoint that a value describes.

    Raises:
        RecordError: The value is not a valid record, or refers to an unknown zone or kind.
    """
    record = _decode(value)
    address = _parse_address(record.address)
    entry = api.EngineEntry(
        engine_id=parse_instance_id(record.id),
        zone=_index_of_name(record.zone, names.zones, "zone"),
        kind=_index_of_name(record.kind, names.kinds, "kind"),
        cell=record.cell,
        size=record.weight,
        state=_STATE_BY_NAME[record.state],
        started_at=record.started,
    )
    return Endpoint(entry, address)


def _decode(value: bytes) -> EngineRecord:
    if len(value) > MAX_VALUE_BYTES:
        raise RecordError(f"the value has {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed")
    try:
        if value.lstrip()[:1] == b"{":
            return msgspec.json.decode(value, type=EngineRecord)
        return msgspec.yaml.decode(value, type=EngineRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise RecordError(str(error).replace("\n", " ")[:MAX_DECODER_REASON_LENGTH]) from None
    except Exception as error:  # The YAML parser has errors of its own, and others for deep nesting.
        raise RecordError(
            f"{type(error).__name__}: {str(error)[:MAX_PARSER_REASON_LENGTH]}".replace("\n", " ")
        ) from None


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise RecordError(f"IP:PORT is needed, not {text!r}", "address")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise RecordError(f"IP:PORT is needed, not {text!r}", "address") from None


def _index_of_name(name: str, names: tuple[str, ...], key: str) -> int:
    """Return the index of `name` in `names`; 0 if it is empty."""
    if not name:
        return 0
    if name not in names:
        raise RecordError(f"{name[:MAX_QUOTED_NAME_LENGTH]!r} is not one of the configured {key}s", key)
    return names.index(name)
