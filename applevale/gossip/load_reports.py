"""Decides which load reports to exchange with peers, when, and within which budget. No I/O and no clock.

An instance uses most engines rarely, so what it learns about the load of an engine is new to its peers. With
the same reports all instances would choose the same idle engine before its next report shows the added load.
Therefore instances also share their dispatches. Invariants:

- Only figures are shared, no decisions. A faulty peer can only shift the estimated load of an engine, which
  the policy bounds and which fades within seconds; it cannot eject an engine.
- A report is sent if the load has changed, or if nobody has reported the engine for a while. Reports from
  peers count too, so the traffic grows with the number of engines and not with the number of instances.
- The cost is at most `MAX_COST_SHARE` of the value (`worth`) of this instance's own requests.
- A malformed datagram, and entries for an engine that is not on the engine list, change nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from random import Random
from typing import NamedTuple

from .. import api
from .load_report_codec import (
    DISPATCH_ENTRY,
    HEADER,
    MAX_DATAGRAM_BYTES,
    MAX_DISPATCHES,
    MAX_THREADS,
    ColumnEncoding,
    Dispatch,
    EngineLoad,
    decode,
    encode,
    short_engine_id,
)

MAX_COST_SHARE = 0.03  # Highest cost of the load reports sent for a request, as a share of its worth.
DISPATCH_COST_SHARE = 0.025  # The part of `MAX_COST_SHARE` that is available for dispatches.
FULL_PRICE_BYTES = 256.0  # Bytes delivered to peers per request whose cost is `price`.
MIN_PRICE = 1e-9  # Replaces a price of 0 as a divisor.
MAX_BUDGET_BYTES = 64.0  # Limit of the unspent budget.
MIN_CHARGED_BYTES = 16  # Minimum charge for a datagram, however short it is.
REFRESH_INTERVAL_SECONDS = 0.4  # Time after which an unchanged load is reported again.
MIN_INTERVAL_SECONDS = 0.1  # Minimum time between two reports of one engine.
# A figure has changed if the difference exceeds both limits.
MIN_RELATIVE_CHANGE = 0.25  # Difference as a share of the earlier figure.
MIN_CHANGE_STEPS = 2.0  # Difference in steps of the encoded byte: one query, or 1% of a utilization.


class LatestReport(NamedTuple):
    """The latest report of an engine that was sent or received.

    Attributes:
        at: When it was sent or received, in seconds.
        values: The encoded figures, one byte for each shared column.
    """

    at: float
    values: bytes


class LoadReports:
    """Decides which load reports and dispatches to send, and decodes those of peers.

    Each report of an engine adds to a budget of bytes, and each datagram is charged to it. If the budget does
    not suffice for all dispatches, only a random sample of them is sent, scaled up to represent all.
    """

    def __init__(self, columns: tuple[str, ...], peers: int, price: float, seed: int = 0):
        """Start without engines or reports, and with a full budget.

        Args:
            columns: The columns of engines' reports, in their order.
            peers: Number of instances to which each datagram is delivered.
            price: Cost of delivering `FULL_PRICE_BYTES`, as a share of the worth of a request.
            seed: Seed of the random sample of dispatches.
        """
        bytes_per_request = FULL_PRICE_BYTES / max(price, MIN_PRICE) / max(1, peers)
        self.encoding = ColumnEncoding(columns)
        self.budget_per_answer = MAX_COST_SHARE * bytes_per_request
        self.budget = MAX_BUDGET_BYTES
        self.dispatch_share = min(1.0, DISPATCH_COST_SHARE * bytes_per_request / MIN_CHARGED_BYTES)
        self.random = Random(seed)
        self.latest_reports: dict[int, LatestReport] = {}
        self.engines_by_short_id: dict[int, list[int]] = {}
        self.pending_threads: dict[int, int] = {}  # Threads of the dispatches to send, by engine.
        self.pending_reports: dict[int, bytes] = {}  # Encoded figures to send, by engine.

    def set_engines(self, engines: Iterable[int]) -> None:
        """Replace the list of engines, and drop the reports of engines that are no longer listed."""
        self.engines_by_short_id = {}
        for engine in engines:
            self.engines_by_short_id.setdefault(short_engine_id(engine), []).append(engine)
        listed = {engine for same_id in self.engines_by_short_id.values() for engine in same_id}
        self.latest_reports = {
            engine: report for engine, report in self.latest_reports.items() if engine in listed
        }

    def record_dispatch(self, engine: int, threads: int) -> bool:
        """Record an attempt sent to an engine; return whether it was sampled, so that a datagram is due."""
        if self.random.random() >= self.dispatch_share:
            return False
        pending = self.pending_threads.get(engine, 0) + round(threads / self.dispatch_share)
        self.pending_threads[engine] = min(pending, MAX_THREADS)
        return True

    def record_report(self, now: float, engine: int, report: tuple[float, ...]) -> None:
        """Record the report of an engine; it becomes pending if peers need it."""
        self.budget = min(self.budget + self.budget_per_answer, MAX_BUDGET_BYTES)
        if len(report) != len(self.encoding.columns) or not self.encoding.shared_positions:
            return
        values = self.encoding.encode_report(report)
        if not self._is_due(now, engine, values):
            return
        self.latest_reports[engine] = LatestReport(now, values)
        self.pending_reports[engine] = values

    def has_pending(self) -> bool:
        """Return whether a dispatch or a report is pending."""
        return bool(self.pending_threads or self.pending_reports)

    def next_datagram(self) -> bytes | None:
        """Return what is pending as one datagram; None if nothing is, or if the budget does not suffice.

        Nothing is pending afterwards: what does not fit into the datagram or the budget is dropped.
        """
        pending_threads = islice(self.pending_threads.items(), MAX_DISPATCHES)
        dispatches = [Dispatch(short_engine_id(engine), threads) for engine, threads in pending_threads]
        load_bytes = MAX_DATAGRAM_BYTES - HEADER.size - DISPATCH_ENTRY.size * len(dispatches)
        pending_reports = islice(self.pending_reports.items(), load_bytes // self.encoding.entry_size)
        loads = [EngineLoad(short_engine_id(engine), values) for engine, values in pending_reports]
        self.pending_threads = {}
        self.pending_reports = {}
        data = encode(dispatches, loads)
        cost = max(MIN_CHARGED_BYTES, len(data))
        if self.budget < cost or len(data) == HEADER.size:
            return None
        self.budget -= cost
        return data

    def receive(self, now: float, data: bytes) -> list[api.PeerLoadReport]:
        """Decode a peer's datagram into events for the policy.

        Raises:
            LoadReportError: The datagram is malformed; the state is unchanged.
        """
        datagram = decode(data, self.encoding.entry_size)
        events = [
            api.PeerLoadReport(engine, (), dispatch.threads)
            for dispatch in datagram.dispatches
            for engine in self.engines_by_short_id.get(dispatch.short_id, ())
        ]
        for load in datagram.loads:
            report = self.encoding.decode_report(load.values)
            for engine in self.engines_by_short_id.get(load.short_id, ()):
                self.latest_reports[engine] = LatestReport(now, load.values)
                events.append(api.PeerLoadReport(engine, report))
        return events

    def _is_due(self, now: float, engine: int, values: bytes) -> bool:
        latest = self.latest_reports.get(engine)
        if latest is None:
            return True
        age = now - latest.at
        if age < MIN_INTERVAL_SECONDS:
            return False
        return age >= REFRESH_INTERVAL_SECONDS or _has_changed(latest.values, values)


def _has_changed(former_values: bytes, values: bytes) -> bool:
    """Return whether any figure has changed by more than the limits."""
    return any(
        abs(before - after) > max(MIN_CHANGE_STEPS, MIN_RELATIVE_CHANGE * before)
        for before, after in zip(former_values, values)
    )
