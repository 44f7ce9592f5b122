"""Encoding of the datagrams in which instances share the load of engines.

A datagram consists of a header (version, number of dispatches), a dispatch entry (short engine id, threads)
for each dispatch, and load entries (short engine id, one byte for each shared column) up to its end. All
numbers are unsigned and big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

LOAD_REPORT_VERSION = 2  # First byte of a load report, which distinguishes it from other datagrams.
MAX_DATAGRAM_BYTES = 64
HEADER = struct.Struct(">BB")
DISPATCH_ENTRY = struct.Struct(">HB")
SHORT_ENGINE_ID = struct.Struct(">H")
MAX_DISPATCHES = (MAX_DATAGRAM_BYTES - HEADER.size) // DISPATCH_ENTRY.size
MAX_THREADS = 255

# The columns that may be shared, with the number of steps of the encoded byte per unit of each. A step is one
# query, or 1% of a utilization.
STEPS_PER_UNIT = {"active": 1, "waiting": 1, "cpu": 100, "disk_busy": 100, "memory_used": 100}
MAX_ENCODED_FIGURE = 254
UNKNOWN_ENCODED_FIGURE = 255
UNKNOWN_FIGURE = -1.0


class LoadReportError(ValueError):
    """A datagram is not a valid load report."""


class Dispatch(NamedTuple):
    """Work that an instance has sent to an engine.

    Attributes:
        short_id: The short id of the engine.
        threads: The number of threads that the work occupies.
    """

    short_id: int
    threads: int


class EngineLoad(NamedTuple):
    """The report of an engine in encoded form.

    Attributes:
        short_id: The short id of the engine.
        values: One byte for each shared column.
    """

    short_id: int
    values: bytes


class LoadDatagram(NamedTuple):
    """The decoded content of a datagram."""

    dispatches: list[Dispatch]
    loads: list[EngineLoad]


class ColumnEncoding:
    """Conversion between the columns of engines' reports and the bytes of a load entry."""

    def __init__(self, columns: tuple[str, ...]):
        """Choose the columns to share.

        Args:
            columns: The columns of an engine's report, in their order.
        """
        # If the number of queries is reported, the policy ignores the utilization of cores and disks.
        shared = ("active", "waiting", "memory_used") if "active" in columns else tuple(STEPS_PER_UNIT)
        self.columns = columns
        self.shared_positions = [
            position for position, name in enumerate(columns) if name in shared and name in STEPS_PER_UNIT
        ]
        self.entry_size = SHORT_ENGINE_ID.size + len(self.shared_positions)

    def encode_report(self, report: tuple[float, ...]) -> bytes:
        """Encode the shared columns of a report; a negative figure counts as unknown."""
        return bytes([self._encode_figure(position, report[position]) for position in self.shared_positions])

    def decode_report(self, values: bytes) -> tuple[float, ...]:
        """Decode a report; the figures of columns that are not shared are unknown."""
        report = [UNKNOWN_FIGURE] * len(self.columns)
        for position, value in zip(self.shared_positions, values):
            if value != UNKNOWN_ENCODED_FIGURE:
                report[position] = value / STEPS_PER_UNIT[self.columns[position]]
        return tuple(report)

    def _encode_figure(self, position: int, figure: float) -> int:
        if figure < 0:
            return UNKNOWN_ENCODED_FIGURE
        return min(MAX_ENCODED_FIGURE, round(figure * STEPS_PER_UNIT[self.columns[position]]))


def short_engine_id(engine: int) -> int:
    """Return the 16 bits that identify an engine in datagrams.

    They are not unique: an entry applies to all listed engines with the same short id.
    """
    return (engine ^ engine >> 16) & 0xFFFF


def encode(dispatches: Sequence[Dispatch], loads: Sequence[EngineLoad]) -> bytes:
    """Encode dispatches and reports as a datagram."""
    parts = [HEADER.pack(LOAD_REPORT_VERSION, len(dispatches))]
    parts += [DISPATCH_ENTRY.pack(short_id, threads) for short_id, threads in dispatches]
    parts += [SHORT_ENGINE_ID.pack(short_id) + values for short_id, values in loads]
    return b"".join(parts)


def decode(data: bytes, load_entry_size: int) -> LoadDatagram:
    """Decode a datagram.

    Raises:
        LoadReportError: The version is unknown, or the length does not match the number of entries.
    """
    if len(data) < HEADER.size or data[0] != LOAD_REPORT_VERSION:
        raise LoadReportError(f"{len(data)} bytes are not a load report of version {LOAD_REPORT_VERSION}")
    dispatch_count = data[1]
    loads_start = HEADER.size + DISPATCH_ENTRY.size * dispatch_count
    if loads_start > len(data) or (len(data) - loads_start) % load_entry_size:
        raise LoadReportError(
            f"{len(data)} bytes do not hold {dispatch_count} dispatches and whole load entries"
        )
    dispatches = DISPATCH_ENTRY.iter_unpack(data[HEADER.size : loads_start])
    loads = []
    for start in range(loads_start, len(data), load_entry_size):
        values_start = start + SHORT_ENGINE_ID.size
        (short_id,) = SHORT_ENGINE_ID.unpack_from(data, start)
        loads.append(EngineLoad(short_id, data[values_start : start + load_entry_size]))
    return LoadDatagram([Dispatch(short_id, threads) for short_id, threads in dispatches], loads)
