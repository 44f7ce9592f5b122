"""Decodes batches of records of the simulator's wire protocol to events."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import isfinite

from .. import api
from .layout import (
    HAS_WORK_ESTIMATE,
    INSTANCE_ID,
    IS_CLIENT_RETRY,
    LIST_CALL_FAILED,
    LIST_CHANGE,
    LIST_ENTRY,
    LIST_PAGE_HEAD,
    MEMORY_MASK,
    MEMORY_UNIT_MB,
    MS_PER_SECOND,
    NOTE,
    NOTE_KINDS,
    OUTCOME,
    PEER_ID,
    PEER_MESSAGE_SIZE,
    PROBE_RESULT,
    RECORD_HEAD,
    REQUEST,
    REQUEST_ID,
    RESULTS,
    SEED,
    SETTINGS_SIZE,
    STARTED,
    STATES,
    TIMER_TOKEN,
    WHOLE_LIST_KINDS,
    WORK_SHIFT,
    EventCode,
    WireError,
)
from .units import NANOSECONDS_PER_SECOND

NOT_REPORTED = -1.0  # Value of a figure that an engine did not report.


@dataclass(frozen=True)
class Boot:
    """The start of an instance.

    Attributes:
        seed: The seed of its random draws.
        settings: Its settings as path=value lines.
    """

    seed: int
    settings: str


@dataclass(frozen=True)
class Shutdown:
    """The shutdown of an instance."""


InstanceEvent = api.Event | Boot | Shutdown


class Decoder:
    """Decodes batches of records.

    Pages of the engine list are sent to a process once and referred to by number from then on.

    Attributes:
        pages: The entries of each page received so far, by page number.
    """

    def __init__(self) -> None:
        """Create a decoder that has received no page."""
        self.pages: dict[int, tuple[api.EngineEntry, ...]] = {}

    def decode_batch(self, count: int, body: bytes) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield the events of `count` records, each with the number of its instance.

        Raises:
            WireError: A record is malformed, or bytes follow the last one.
        """
        view = memoryview(body)
        position = 0
        instance: int | None = None
        for index in range(count):
            code, fields = _read_record(view, position, index)
            try:
                if code == EventCode.INSTANCE:
                    (instance,) = INSTANCE_ID.unpack_from(fields)
                elif code == EventCode.LIST_PAGE:
                    self._store_page(fields)
                elif (event := self._decode_event(code, fields)) is not None:
                    if instance is None:
                        raise WireError("no record before it names an instance")
                    yield instance, event
            except (struct.error, WireError, KeyError, UnicodeDecodeError) as error:
                place = f"record {index} (code {code}) at byte {position}"
                raise WireError(f"{place}: {error}") from None
            position += RECORD_HEAD.size + len(fields)
        if position != len(view):
            raise WireError(f"{len(view) - position} unexpected bytes after {count} records")

    def _store_page(self, fields: memoryview) -> None:
        page, count = LIST_PAGE_HEAD.unpack_from(fields)
        if LIST_PAGE_HEAD.size + count * LIST_ENTRY.size > len(fields):
            raise WireError(f"list page {page}: truncated, {count} entries expected")
        offsets = (LIST_PAGE_HEAD.size + index * LIST_ENTRY.size for index in range(count))
        self.pages[page] = tuple(_decode_list_entry(fields, offset) for offset in offsets)

    def _decode_event(self, code: int, fields: memoryview) -> InstanceEvent | None:
        """Return the event of a record, or None for one with an unknown code or kind."""
        if code == EventCode.LIST_CHANGE:
            return self._decode_list_change(fields)
        decode = _DECODERS.get(code)
        return None if decode is None else decode(fields)

    def _decode_list_change(self, fields: memoryview) -> api.EngineList:
        kind, _revision, page = LIST_CHANGE.unpack_from(fields)
        if kind == LIST_CALL_FAILED:
            return api.EngineList(has_failed=True)
        if page not in self.pages:
            raise WireError(f"list page {page} was not sent before")
        return api.EngineList(self.pages[page], is_full=kind in WHOLE_LIST_KINDS)


def _read_record(view: memoryview, position: int, index: int) -> tuple[int, memoryview]:
    """Return the code and the fields of the record at `position`."""
    start = position + RECORD_HEAD.size
    if start > len(view):
        raise WireError(f"record {index} at byte {position}: truncated header")
    code, size = RECORD_HEAD.unpack_from(view, position)
    left = len(view) - start
    if size > left:
        raise WireError(
            f"record {index} (code {code}) at byte {position}: {size} bytes declared, {left} left"
        )
    return code, view[start : start + size]


def _non_negative(value: float) -> float:
    """Return the value, or 0 for one that is negative, infinite or NaN."""
    return value if isfinite(value) and value >= 0 else 0.0


def _decode_report(fields: memoryview, offset: int) -> tuple[float, ...]:
    """Return the figures of an engine's load report: a byte with their number, then as many floats."""
    if offset >= len(fields):
        return ()
    count = fields[offset]
    values = struct.unpack_from(f"<{count}f", fields, offset + 1)
    return tuple(value if isfinite(value) and value >= 0 else NOT_REPORTED for value in values)


def _decode_bytes(fields: memoryview, offset: int, size_field: struct.Struct) -> bytes:
    """Return the bytes that follow a field with their number."""
    (size,) = size_field.unpack_from(fields, offset)
    start = offset + size_field.size
    if start + size > len(fields):
        raise WireError(f"a field of {size} bytes exceeds the end of its record")
    return bytes(fields[start : start + size])


def _decode_list_entry(fields: memoryview, offset: int) -> api.EngineEntry:
    zone, started_ns, state, cell, size, kind, engine_id = LIST_ENTRY.unpack_from(fields, offset)
    return api.EngineEntry(
        engine_id=engine_id,
        zone=zone,
        kind=kind,
        cell=cell,
        size=_non_negative(size),
        state=STATES.get(state, api.EngineState.DRAINING),
        started_at=started_ns / NANOSECONDS_PER_SECOND,
    )


def _decode_boot(fields: memoryview) -> Boot:
    (seed,) = SEED.unpack_from(fields)
    return Boot(seed, _decode_bytes(fields, SEED.size, SETTINGS_SIZE).decode())


def _decode_shutdown(fields: memoryview) -> Shutdown:
    return Shutdown()


def _decode_request(fields: memoryview) -> api.Request:
    (
        request_id,
        class_index,
        tenant_index,
        order_key,
        timeout_ns,
        work_ns,
        memory_mb,
        table_group,
        options,
    ) = REQUEST.unpack_from(fields)
    return api.Request(
        request_id=request_id,
        class_index=class_index,
        tenant_index=tenant_index,
        order_key=order_key,
        timeout=timeout_ns / NANOSECONDS_PER_SECOND,
        estimated_work=work_ns / NANOSECONDS_PER_SECOND if options & HAS_WORK_ESTIMATE else 0.0,
        estimated_memory_mb=_non_negative(memory_mb),
        table_group=table_group if isfinite(table_group) else 0.0,
        is_client_retry=bool(options & IS_CLIENT_RETRY),
    )


def _decode_outcome(fields: memoryview) -> api.AttemptOutcome:
    request_id, attempt_index, engine_id, status, duration_ns, is_final, note = OUTCOME.unpack_from(fields)
    return api.AttemptOutcome(
        request_id=request_id,
        attempt_index=attempt_index,
        engine_id=engine_id,
        result=RESULTS.get(status, api.Result.ERROR),
        duration=duration_ns / NANOSECONDS_PER_SECOND,
        is_final=bool(is_final),
        used_work=(note >> WORK_SHIFT) / MS_PER_SECOND,
        used_memory_mb=(note & MEMORY_MASK) * MEMORY_UNIT_MB,
        load_report=_decode_report(fields, OUTCOME.size),
    )


def _decode_started(fields: memoryview) -> api.StreamStarted:
    request_id, attempt_index, engine_id = STARTED.unpack_from(fields)
    return api.StreamStarted(request_id, attempt_index, engine_id)


def _decode_note(fields: memoryview) -> api.AttemptUpdate | None:
    request_id, engine_id, kind, value, attempt_index = NOTE.unpack_from(fields)
    if kind not in NOTE_KINDS:
        return None
    return api.AttemptUpdate(
        request_id, attempt_index, engine_id, api.AttemptUpdateKind(kind), _non_negative(value)
    )


def _decode_probe_result(fields: memoryview) -> api.ProbeResult:
    engine_id, status, duration_ns = PROBE_RESULT.unpack_from(fields)
    result = RESULTS.get(status, api.Result.ERROR)
    return api.ProbeResult(
        engine_id, result, duration_ns / NANOSECONDS_PER_SECOND, _decode_report(fields, PROBE_RESULT.size)
    )


def _decode_timer(fields: memoryview) -> api.TimerFired:
    (token,) = TIMER_TOKEN.unpack_from(fields)
    return api.TimerFired(token)


def _decode_client_gone(fields: memoryview) -> api.ClientGone:
    (request_id,) = REQUEST_ID.unpack_from(fields)
    return api.ClientGone(request_id)


def _decode_peer_message(fields: memoryview) -> api.PeerMessage:
    (sender_id,) = PEER_ID.unpack_from(fields)
    return api.PeerMessage(sender_id, _decode_bytes(fields, PEER_ID.size, PEER_MESSAGE_SIZE))


_DECODERS: dict[int, Callable[[memoryview], InstanceEvent | None]] = {
    EventCode.BOOT: _decode_boot,
    EventCode.REQUEST: _decode_request,
    EventCode.STARTED: _decode_started,
    EventCode.OUTCOME: _decode_outcome,
    EventCode.CLIENT_GONE: _decode_client_gone,
    EventCode.TIMER: _decode_timer,
    EventCode.PROBE_RESULT: _decode_probe_result,
    EventCode.PEER_MESSAGE: _decode_peer_message,
    EventCode.SHUTDOWN: _decode_shutdown,
    EventCode.NOTE: _decode_note,
}
