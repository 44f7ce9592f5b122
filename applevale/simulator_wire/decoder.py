"""Decoder of the simulator's wire: batches of records to events. It decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import isfinite

from .. import api
from .layout import (
    ENGINE_ID,
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
    PROBE_RESULT,
    RECORD_HEAD,
    REQUEST,
    REQUEST_ID,
    RESULTS,
    STARTED,
    STATES,
    WHOLE_LIST_KINDS,
    WORK_SHIFT,
    EventCode,
    WireError,
)
from .units import NANOSECONDS


@dataclass(frozen=True)
class Boot:
    """An instance starts, with these settings."""

    seed: int
    settings: str  # path=value lines


@dataclass(frozen=True)
class Shutdown:
    """An instance ends."""


InstanceEvent = api.Event | Boot | Shutdown


class Decoder:
    """Decodes batches; keeps the numbered pages of the engine list, which travel once for each process."""

    def __init__(self) -> None:
        """Start without any page."""
        self.pages: dict[int, tuple[api.EngineEntry, ...]] = {}

    def batch(self, count: int, body: bytes) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield the events of `count` records, each with the number of its instance.

        Raises:
            WireError: A record cannot be read, or bytes are left over.
        """
        view = memoryview(body)
        position = 0
        instance: int | None = None
        for index in range(count):
            code, part = _next_record(view, position, index)
            try:
                if code == EventCode.INSTANCE:
                    (instance,) = INSTANCE_ID.unpack_from(part)
                elif code == EventCode.LIST_PAGE:
                    self._register_page(part)
                elif (event := self._event(code, part)) is not None:
                    if instance is None:
                        raise WireError("no instance named before it")
                    yield instance, event
            except (struct.error, WireError, KeyError, UnicodeDecodeError) as error:
                place = f"record {index} (code {code}) at byte {position}"
                raise WireError(f"{place}: {error}") from None
            position += RECORD_HEAD.size + len(part)
        if position != len(view):
            raise WireError(f"{len(view) - position} bytes left over after {count} records")

    def _register_page(self, part: memoryview) -> None:
        page, count = LIST_PAGE_HEAD.unpack_from(part)
        if LIST_PAGE_HEAD.size + count * LIST_ENTRY.size > len(part):
            raise WireError(f"a list of {count} entries is cut off")
        offsets = (LIST_PAGE_HEAD.size + index * LIST_ENTRY.size for index in range(count))
        self.pages[page] = tuple(_list_entry(part, offset) for offset in offsets)

    def _event(self, code: int, part: memoryview) -> InstanceEvent | None:
        """Return the event of a record; None for a code that means nothing here."""
        if code == EventCode.LIST_CHANGE:
            return self._list_change(part)
        decode = _DECODERS.get(code)
        return None if decode is None else decode(part)

    def _list_change(self, part: memoryview) -> api.EngineList:
        kind, _revision, page = LIST_CHANGE.unpack_from(part)
        if kind == LIST_CALL_FAILED:
            return api.EngineList(failed=True)
        if page not in self.pages:
            raise WireError(f"list page {page} was never registered")
        return api.EngineList(self.pages[page], whole=kind in WHOLE_LIST_KINDS)


def _next_record(view: memoryview, position: int, index: int) -> tuple[int, memoryview]:
    """Return the code and the fields of the record at `position`."""
    start = position + RECORD_HEAD.size
    if start > len(view):
        raise WireError(f"record {index} at byte {position}: its head is cut off")
    code, size = RECORD_HEAD.unpack_from(view, position)
    left = len(view) - start
    if size > left:
        raise WireError(f"record {index} (code {code}) at byte {position}: {size} bytes told, {left} left")
    return code, view[start : start + size]


def _number(value: float) -> float:
    return value if isfinite(value) and value >= 0 else 0.0


def _floats(part: memoryview, offset: int) -> tuple[float, ...]:
    """Return a list of floats behind a byte with their number; -1 for what is not told."""
    if offset >= len(part):
        return ()
    count = part[offset]
    values = struct.unpack_from(f"<{count}f", part, offset + 1)
    return tuple(value if isfinite(value) and value >= 0 else -1.0 for value in values)


def _blob(part: memoryview, offset: int, size_format: str) -> bytes:
    """Return the bytes behind their number."""
    (size,) = struct.unpack_from(size_format, part, offset)
    start = offset + struct.calcsize(size_format)
    if start + size > len(part):
        raise WireError(f"a field of {size} bytes runs past its record")
    return bytes(part[start : start + size])


def _list_entry(part: memoryview, offset: int) -> api.EngineEntry:
    zone, started_ns, state, cell, size, kind, engine = LIST_ENTRY.unpack_from(part, offset)
    return api.EngineEntry(
        engine=engine,
        zone=zone,
        kind=kind,
        cell=cell,
        size=_number(size),
        state=STATES.get(state, api.State.DRAINING),
        started=started_ns / NANOSECONDS,
    )


def _boot(part: memoryview) -> Boot:
    (seed,) = REQUEST_ID.unpack_from(part)
    return Boot(seed, _blob(part, REQUEST_ID.size, "<I").decode())


def _shutdown(part: memoryview) -> Shutdown:
    return Shutdown()


def _request(part: memoryview) -> api.Request:
    request, cls, tenant, key, ttl_ns, work_ns, memory_mb, tables, options = REQUEST.unpack_from(part)
    return api.Request(
        request=request,
        cls=cls,
        tenant=tenant,
        key=key,
        ttl=ttl_ns / NANOSECONDS,
        work=work_ns / NANOSECONDS if options & HAS_WORK_ESTIMATE else 0.0,
        memory_mb=_number(memory_mb),
        tables=tables if isfinite(tables) else 0.0,
        client_retry=bool(options & IS_CLIENT_RETRY),
    )


def _outcome(part: memoryview) -> api.Outcome:
    request, attempt, engine, status, duration_ns, final, note = OUTCOME.unpack_from(part)
    return api.Outcome(
        request=request,
        attempt=attempt,
        engine=engine,
        result=RESULTS.get(status, api.Result.ERROR),
        duration=duration_ns / NANOSECONDS,
        final=bool(final),
        work=(note >> WORK_SHIFT) / MS_PER_SECOND,
        memory_mb=(note & MEMORY_MASK) * MEMORY_UNIT_MB,
        report=_floats(part, OUTCOME.size),
    )


def _started(part: memoryview) -> api.Started:
    request, attempt, engine = STARTED.unpack_from(part)
    return api.Started(request, attempt, engine)


def _note(part: memoryview) -> api.Note | None:
    request, engine, kind, value, attempt = NOTE.unpack_from(part)
    if kind not in NOTE_KINDS:
        return None
    return api.Note(request, attempt, engine, api.NoteKind(kind), _number(value))


def _probe_result(part: memoryview) -> api.ProbeResult:
    engine, status, duration_ns = PROBE_RESULT.unpack_from(part)
    result = RESULTS.get(status, api.Result.ERROR)
    return api.ProbeResult(engine, result, duration_ns / NANOSECONDS, _floats(part, PROBE_RESULT.size))


def _timer(part: memoryview) -> api.Timer:
    return api.Timer(REQUEST_ID.unpack_from(part)[0])


def _client_gone(part: memoryview) -> api.ClientGone:
    return api.ClientGone(REQUEST_ID.unpack_from(part)[0])


def _peer_message(part: memoryview) -> api.PeerMessage:
    (sender,) = ENGINE_ID.unpack_from(part)
    return api.PeerMessage(sender, _blob(part, ENGINE_ID.size, "<H"))


_DECODERS: dict[int, Callable[[memoryview], InstanceEvent | None]] = {
    EventCode.BOOT: _boot,
    EventCode.REQUEST: _request,
    EventCode.STARTED: _started,
    EventCode.OUTCOME: _outcome,
    EventCode.CLIENT_GONE: _client_gone,
    EventCode.TIMER: _timer,
    EventCode.PROBE_RESULT: _probe_result,
    EventCode.PEER_MESSAGE: _peer_message,
    EventCode.SHUTDOWN: _shutdown,
    EventCode.NOTE: _note,
}
