"""An observer of engine connections for the metrics and the exchange of load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admin.metrics import Metrics
from ..engines.observer import EngineObserver
from ..engines.resp import LoadReport

if TYPE_CHECKING:
    from ..gossip.exchange import LoadReportSender


class EngineActivityObserver(EngineObserver):
    """Shares the load reports of engines with the other instances, and counts attempts sent to engines."""

    def __init__(self, metrics: Metrics, load_report_sender: LoadReportSender | None) -> None:
        """Create an observer; without a sender load reports are not shared."""
        self._metrics = metrics
        self._load_report_sender = load_report_sender

    def on_load_report(self, engine_id: int, report: LoadReport) -> None:
        """Share a load report of an engine."""
        if self._load_report_sender is not None:
            self._load_report_sender.on_engine_report(engine_id, report)

    def on_attempt_written(self, class_name: str) -> None:
        """Count an attempt that was written completely to a connection."""
        self._metrics.record_dispatch(class_name)
