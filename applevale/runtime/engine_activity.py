"""Passes the traffic with engines on to those that count or share it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admin.metrics import Metrics
from ..engines.observer import EngineObserver
from ..engines.resp import LoadReport

if TYPE_CHECKING:
    from ..gossip.exchange import LoadReportSender


class EngineActivity(EngineObserver):
    """Shares engines' load reports with the other instances, and counts written attempts."""

    def __init__(self, metrics: Metrics, load_report_sender: LoadReportSender | None) -> None:
        """Count with `metrics`; without a sender load reports are not shared."""
        self._metrics = metrics
        self._load_report_sender = load_report_sender

    def on_load_report(self, engine_id: int, report: LoadReport) -> None:
        """Share the load that an engine reported."""
        if self._load_report_sender is not None:
            self._load_report_sender.on_engine_report(engine_id, report)

    def on_attempt_written(self, class_name: str) -> None:
        """Count an attempt of a class."""
        self._metrics.record_dispatch(class_name)
