"""Decoders for updates of the engine list: JSON events in the configuration, and binary feed frames."""

from __future__ import annotations

import ipaddress
import struct
from enum import IntEnum
from itertools import pairwise
from math import isfinite
from typing import NamedTuple

from .. import api
from ..errors import AppleValeError
from .endpoints import AttributeNames, Endpoint, EndpointUpdate, parse_instance_id

FRAME_HEADER = struct.Struct(">IQB")  # Length of the frame after this field, update number, frame kind.
LENGTH_FIELD_BYTES = 4
ENGINE_RECORD = struct.Struct(">IIHBBBHIQ")  # The fields of `EngineRecord`.
MAX_FRAME_BYTES = 1 << 20  # Enough for 38,000 engines.

_STATE_BY_CODE = {0: api.EngineState.READY, 1: api.EngineState.DRAINING, 2: api.EngineState.GONE}
_STATE_BY_LIFECYCLE = {
    "in_service": api.EngineState.READY,
    "terminating": api.EngineState.DRAINING,
    "terminated": api.EngineState.GONE,
}


class FeedError(AppleValeError, ValueError):
    """An update is malformed or does not follow the previous one, or the connection failed.

    Attributes:
        update_number: Number of the update; None if it is unknown or the connection failed.
    """

    def __init__(self, text: str, update_number: int | None = None):
        """Create the error for one update."""
        super().__init__(text)
        self.update_number = update_number


class FrameKind(IntEnum):
    """The content of a frame."""

    HEARTBEAT = 0
    FULL_LIST = 1
    CHANGED_ENGINES = 2


class EngineRecord(NamedTuple):
    """One engine in a frame.

    Attributes:
        engine: Number of the engine.
        host: IPv4 address.
        port: TCP port.
        state: Code of the lifecycle state.
        zone: Index of the zone.
        kind: Index of the machine kind.
        cell: Number of the cell, a group of engines.
        weight: Relative capacity in thousandths.
        started: Start of the engine in Unix time, in ms.
    """

    engine: int
    host: int
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    weight: int
    started: int


class FrameDecoder:
    """An incremental decoder of frames, which buffers at most one incomplete frame."""

    def __init__(self, names: AttributeNames):
        """Create a decoder for one connection; records refer to `names` by index."""
        self.names = names
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> list[EndpointUpdate]:
        """Return the updates that `data` completes, in order.

        Raises:
            FeedError: A frame is malformed. The decoder cannot be used any more.
        """
        self.buffer += data
        updates = []
        while (update := self._next_update()) is not None:
            updates.append(update)
        return updates

    def _next_update(self) -> EndpointUpdate | None:
        if len(self.buffer) < FRAME_HEADER.size:
            return None
        length, number, kind = FRAME_HEADER.unpack_from(self.buffer)
        _check_frame_header(length, number, kind)
        end = LENGTH_FIELD_BYTES + length
        if len(self.buffer) < end:
            return None
        records = ENGINE_RECORD.iter_unpack(bytes(self.buffer[FRAME_HEADER.size : end]))
        endpoints = tuple(self._read_record(number, EngineRecord._make(fields)) for fields in records)
        del self.buffer[:end]
        return EndpointUpdate(number, kind == FrameKind.FULL_LIST, endpoints)

    def _read_record(self, number: int, record: EngineRecord) -> Endpoint:
        is_known_zone = record.zone < max(1, len(self.names.zones))
        is_known_kind = record.kind < len(self.names.kinds)
        if record.state not in _STATE_BY_CODE or not is_known_zone or not is_known_kind:
            attributes = f"state {record.state}, zone {record.zone}, kind {record.kind}"
            raise FeedError(f"unknown attribute of engine {record.engine:08x}: {attributes}", number)
        entry = api.EngineEntry(
            engine_id=record.engine,
            zone=record.zone,
            kind=record.kind,
            cell=record.cell,
            size=record.weight / 1000,
            state=_STATE_BY_CODE[record.state],
            started_at=record.started / 1000,
        )
        return Endpoint(entry, (str(ipaddress.ip_address(record.host)), record.port))


def _check_frame_header(length: int, number: int, kind: int) -> None:
    """Raise FeedError unless length and kind of a frame are valid."""
    body_bytes = LENGTH_FIELD_BYTES + length - FRAME_HEADER.size
    has_bad_length = body_bytes < 0 or length > MAX_FRAME_BYTES or body_bytes % ENGINE_RECORD.size
    is_unknown_kind = kind > FrameKind.CHANGED_ENGINES
    has_records_in_heartbeat = body_bytes and kind == FrameKind.HEARTBEAT
    if has_bad_length or is_unknown_kind or has_records_in_heartbeat:
        raise FeedError(f"malformed frame: length {length}, kind {kind}", number)


def parse_known_updates(raw: object, names: AttributeNames) -> tuple[EndpointUpdate, ...]:
    """Read the updates that the configuration contains.

    Raises:
        FeedError: An event is malformed, or its number does not follow that of the previous one. A gap is
            allowed before a full list.
    """
    try:
        updates = tuple(_parse_event(event, names) for event in raw["events"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FeedError(f"{type(error).__name__}: {error}") from None
    for previous, update in pairwise(updates):
        has_gap = not update.is_full and update.number != previous.number + 1
        if update.number <= previous.number or has_gap:
            raise FeedError(
                f"events: event {update.number} must not follow event {previous.number}", update.number
            )
    return updates


def _parse_event(event: dict, names: AttributeNames) -> EndpointUpdate:
    members = event["members"]
    number = int(event["n"])
    # The first event contains the whole list, even if it is not marked as a reset.
    is_full = bool(members.get("reset")) or number == 1
    return EndpointUpdate(
        number, is_full, tuple(_parse_instance(instance, names) for instance in members["instances"])
    )


def _parse_instance(instance: dict, names: AttributeNames) -> Endpoint:
    host, _, port = instance["hostPort"].rpartition(":")
    weight = float(instance.get("weight", 1))
    if not isfinite(weight) or weight < 0:
        raise FeedError(f"weight: a finite number of 0 or more is needed, not {weight!r}")
    entry = api.EngineEntry(
        engine_id=parse_instance_id(instance["instanceId"]),
        zone=names.zones.index(instance["zone"]) if "zone" in instance else 0,
        kind=names.kinds.index(instance["machineType"]) if "machineType" in instance else 0,
        cell=int(instance.get("cell", 0)),
        size=weight,
        state=_STATE_BY_LIFECYCLE[instance["lifecycle"]],
        started_at=int(instance.get("startedAtMs", 0)) / 1000,
    )
    return Endpoint(entry, (str(ipaddress.ip_address(host)), int(port)))
