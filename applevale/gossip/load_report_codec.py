"""The binary form of the datagrams in which instances share the load of engines.

A datagram is a header (version, number of dispatches), then a dispatch entry (engine mark, threads) for each
dispatch, then load entries (engine mark, one byte for each shared column) up to its end. All numbers are
unsigned and big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

VERSION = 2
MAX_DATAGRAM_BYTES = 64
HEADER = struct.Struct(">BB")
DISPATCH_ENTRY = struct.Struct(">HB")
ENGINE_MARK = struct.Struct(">H")
MAX_DISPATCHES = (MAX_DATAGRAM_BYTES - HEADER.size) // DISPATCH_ENTRY.size
MAX_THREADS = 255

# The columns that are shared, and the steps into which a byte divides the unit of each.
STEPS_PER_UNIT = {"active": 1, "waiting": 1, "cpu": 100, "disk_busy": 100, "memory_used": 100}
MAX_VALUE = 254
UNKNOWN_VALUE = 255  # the byte of a figure that the engine did not report
UNKNOWN_FIGURE = -1.0


class LoadReportError(ValueError):
    """A datagram is not a valid load report."""


class Dispatch(NamedTuple):
    """Threads of work that an instance has sent to an engine."""

    mark: int
    threads: int


class EngineLoad(NamedTuple):
    """The figures of an engine's report, one byte for each shared column."""

    mark: int
    values: bytes


class LoadDatagram(NamedTuple):
    """The content of a datagram."""

    dispatches: list[Dispatch]
    loads: list[EngineLoad]


class ColumnEncoding:
    """Conversion between the columns of engines' reports and the bytes of a load entry."""

    def __init__(self, columns: tuple[str, ...]):
        """Choose the columns to share among `columns`, those of an engine's report in their order."""
        # With the number of queries, the policy ignores how busy the cores and disks are.
        shared = ("active", "waiting", "memory_used") if "active" in columns else tuple(STEPS_PER_UNIT)
        self.columns = columns
        self.positions = [
            position for position, name in enumerate(columns) if name in shared and name in STEPS_PER_UNIT
        ]
        self.entry_size = ENGINE_MARK.size + len(self.positions)

    def encode_report(self, report: tuple[float, ...]) -> bytes:
        """Return the bytes of the shared columns of a report; a negative figure is unknown."""
        return bytes([self._encode_figure(position, report[position]) for position in self.positions])

    def decode_report(self, values: bytes) -> tuple[float, ...]:
        """Return a report with all columns; those that are not shared are unknown."""
        report = [UNKNOWN_FIGURE] * len(self.columns)
        for position, value in zip(self.positions, values):
            if value != UNKNOWN_VALUE:
                report[position] = value / STEPS_PER_UNIT[self.columns[position]]
        return tuple(report)

    def _encode_figure(self, position: int, figure: float) -> int:
        if figure < 0:
            return UNKNOWN_VALUE
        return min(MAX_VALUE, round(figure * STEPS_PER_UNIT[self.columns[position]]))


def engine_mark(engine: int) -> int:
    """Return the two bytes that stand for an engine; where two share a mark, an entry counts for both."""
    return (engine ^ engine >> 16) & 0xFFFF


def encode(dispatches: Sequence[Dispatch], loads: Sequence[EngineLoad]) -> bytes:
    """Return a datagram of these entries."""
    parts = [HEADER.pack(VERSION, len(dispatches))]
    parts += [DISPATCH_ENTRY.pack(mark, threads) for mark, threads in dispatches]
    parts += [ENGINE_MARK.pack(mark) + values for mark, values in loads]
    return b"".join(parts)


def decode(data: bytes, load_entry_size: int) -> LoadDatagram:
    """Return the content of a datagram.

    Raises:
        LoadReportError: The version is another one, or the length does not fit the entries.
    """
    if len(data) < HEADER.size or data[0] != VERSION:
        raise LoadReportError(f"{len(data)} bytes that are no load report")
    dispatch_count = data[1]
    loads_start = HEADER.size + DISPATCH_ENTRY.size * dispatch_count
    if loads_start > len(data) or (len(data) - loads_start) % load_entry_size:
        raise LoadReportError(f"{len(data)} bytes that do not fit {dispatch_count} dispatches")
    dispatches = DISPATCH_ENTRY.iter_unpack(data[HEADER.size : loads_start])
    loads = []
    for start in range(loads_start, len(data), load_entry_size):
        values_start = start + ENGINE_MARK.size
        (mark,) = ENGINE_MARK.unpack_from(data, start)
        loads.append(EngineLoad(mark, data[values_start : start + load_entry_size]))
    return LoadDatagram([Dispatch(mark, threads) for mark, threads in dispatches], loads)
