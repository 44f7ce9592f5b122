"""Load reports that instances exchange: what is sent, when, and at which cost. No I/O and no clock.

An instance meets most engines seldom, so what one learns of an engine's load is new to its peers. And all
that know the same would choose the same engine before its next report can show it, so each shares what it
dispatches there. Invariants:

- Only figures are shared, never a judgement: a faulty peer shifts a load, which fades within seconds
  and is bounded in the policy, and ejects no engine.
- A report is sent when the load has changed, or when no one has reported the engine for a while; reports
  received from peers count too. So this traffic follows the engines, not the number of instances.
- The cost is at most `MAX_COST_SHARE` of the worth of the instance's own requests.
- A datagram that is malformed, or of an engine that is not on the list, changes nothing.
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
    engine_mark,
)

MAX_COST_SHARE = 0.03  # of a request's worth that its load reports may cost
DISPATCH_COST_SHARE = 0.025  # the part of it for dispatches
FULL_PRICE_BYTES = 256.0  # delivered for each request, at which the settings' price is due in full
MIN_PRICE = 1e-9  # stands for a price of 0
MAX_BUDGET_BYTES = 64.0  # that may be saved up
MIN_CHARGED_BYTES = 16  # for each datagram, as measured, however short it is
REFRESH_INTERVAL_SECONDS = 0.4  # after which an engine is reported though its load is the same
MIN_INTERVAL_SECONDS = 0.1  # between two reports of an engine
MIN_RELATIVE_CHANGE = 0.25  # of the latest value: a change is larger than this and than MIN_CHANGE_STEPS
MIN_CHANGE_STEPS = 2.0  # a step is one query or 1% of a share


class SentReport(NamedTuple):
    """The latest report of an engine that was sent or received, and its time (s)."""

    at: float
    values: bytes


class LoadReports:
    """Decides which load reports and dispatches to send, and reads those of peers.

    Each answer of an engine adds to a budget in bytes, from which datagrams are paid. Where the budget does
    not suffice for all dispatches, a random share of them is sent, each standing for several.
    """

    def __init__(self, columns: tuple[str, ...], peers: int, price: float, seed: int = 0):
        """Create an empty state.

        Args:
            columns: The columns of engines' reports, in their order.
            peers: Number of instances that each datagram is delivered to.
            price: Share of a request's worth that `FULL_PRICE_BYTES` cost.
            seed: Of the choice of the dispatches that are sent.
        """
        bytes_per_request = FULL_PRICE_BYTES / max(price, MIN_PRICE) / max(1, peers)
        self.encoding = ColumnEncoding(columns)
        self.budget_per_answer = MAX_COST_SHARE * bytes_per_request
        self.budget = MAX_BUDGET_BYTES
        self.dispatch_share = min(1.0, DISPATCH_COST_SHARE * bytes_per_request / MIN_CHARGED_BYTES)
        self.random = Random(seed)
        self.sent_reports: dict[int, SentReport] = {}
        self.engines_by_mark: dict[int, list[int]] = {}
        self.pending_threads: dict[int, int] = {}  # of dispatches, by engine
        self.pending_reports: dict[int, bytes] = {}  # values by engine

    def set_engines(self, engines: Iterable[int]) -> None:
        """Replace the list of engines; nothing is kept of others."""
        self.engines_by_mark = {}
        for engine in engines:
            self.engines_by_mark.setdefault(engine_mark(engine), []).append(engine)
        listed = {engine for sharing in self.engines_by_mark.values() for engine in sharing}
        self.sent_reports = {engine: sent for engine, sent in self.sent_reports.items() if engine in listed}

    def record_dispatch(self, engine: int, threads: int) -> bool:
        """Record an attempt that was sent to an engine; return whether to send a datagram at once."""
        if self.random.random() >= self.dispatch_share:
            return False
        pending = self.pending_threads.get(engine, 0) + round(threads / self.dispatch_share)
        self.pending_threads[engine] = min(pending, MAX_THREADS)
        return True

    def record_report(self, now: float, engine: int, report: tuple[float, ...]) -> None:
        """Record a report that an engine gave; it becomes pending if it is worth sending."""
        self.budget = min(self.budget + self.budget_per_answer, MAX_BUDGET_BYTES)
        if len(report) != len(self.encoding.columns) or not self.encoding.positions:
            return
        values = self.encoding.encode_report(report)
        if not self._is_due(now, engine, values):
            return
        self.sent_reports[engine] = SentReport(now, values)
        self.pending_reports[engine] = values

    def has_pending(self) -> bool:
        """Return whether a dispatch or a report waits to be sent."""
        return bool(self.pending_threads or self.pending_reports)

    def next_datagram(self) -> bytes | None:
        """Return what is pending as one datagram, and forget all of it; None: nothing, or no budget."""
        pending_threads = islice(self.pending_threads.items(), MAX_DISPATCHES)
        dispatches = [Dispatch(engine_mark(engine), threads) for engine, threads in pending_threads]
        room = MAX_DATAGRAM_BYTES - HEADER.size - DISPATCH_ENTRY.size * len(dispatches)
        pending_reports = islice(self.pending_reports.items(), room // self.encoding.entry_size)
        loads = [EngineLoad(engine_mark(engine), values) for engine, values in pending_reports]
        self.pending_threads = {}
        self.pending_reports = {}
        data = encode(dispatches, loads)
        cost = max(MIN_CHARGED_BYTES, len(data))
        if self.budget < cost or len(data) == HEADER.size:
            return None
        self.budget -= cost
        return data

    def receive(self, now: float, data: bytes) -> list[api.PeerLoadReport]:
        """Return a peer's datagram as events.

        Raises:
            LoadReportError: The datagram is malformed; nothing was changed.
        """
        datagram = decode(data, self.encoding.entry_size)
        events = [
            api.PeerLoadReport(engine, (), dispatch.threads)
            for dispatch in datagram.dispatches
            for engine in self.engines_by_mark.get(dispatch.mark, ())
        ]
        for load in datagram.loads:
            report = self.encoding.decode_report(load.values)
            for engine in self.engines_by_mark.get(load.mark, ()):
                self.sent_reports[engine] = SentReport(now, load.values)
                events.append(api.PeerLoadReport(engine, report))
        return events

    def _is_due(self, now: float, engine: int, values: bytes) -> bool:
        latest = self.sent_reports.get(engine)
        if latest is None:
            return True
        age = now - latest.at
        if age < MIN_INTERVAL_SECONDS:
            return False
        return age >= REFRESH_INTERVAL_SECONDS or _has_changed(latest.values, values)


def _has_changed(former: bytes, current: bytes) -> bool:
    return any(
        abs(before - after) > max(MIN_CHANGE_STEPS, MIN_RELATIVE_CHANGE * before)
        for before, after in zip(former, current)
    )
