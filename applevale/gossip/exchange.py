"""The exchange of load reports with peers: sends datagrams, and passes received ones to the driver."""

from __future__ import annotations

import asyncio

from ..dispatch.clock import UnixClock
from ..dispatch.event_loop_driver import EventLoopDriver
from ..net.datagrams import DatagramSocket
from ..observability.counters import Counters
from .load_report_codec import LOAD_REPORT_VERSION, LoadReportError
from .load_reports import LoadReports

# Time that a report waits for a dispatch with which it can share a datagram. Dispatches are sent at once, as
# they would be useless after such a delay.
REPORT_DELAY_SECONDS = 0.2


class LoadReportSender:
    """Sends load reports to all peers.

    If sending fails, only load reports are lost. Counters: `news_told`, `news_bytes`.
    """

    def __init__(self, datagrams: DatagramSocket, reports: LoadReports, clock: UnixClock, counters: Counters):
        """Create a sender.

        Args:
            datagrams: The socket of all datagrams between instances.
            reports: Decides what to send.
            clock: The clock that gives the time of each report.
            counters: The counters of sent datagrams and bytes.
        """
        self.datagrams = datagrams
        self.reports = reports
        self.clock = clock
        self.counters = counters
        self.timer: asyncio.TimerHandle | None = None  # Sends the pending reports.

    def stop(self) -> None:
        """Cancel the pending datagram."""
        if self.timer is not None:
            self.timer.cancel()

    def on_engine_report(self, engine: int, report: tuple[float, ...]) -> None:
        """Tell peers the load that an engine reported in a response or to a probe."""
        self.reports.record_report(self.clock.now(), engine, report)
        if self.timer is None and self.reports.has_pending():
            self.timer = asyncio.get_running_loop().call_later(REPORT_DELAY_SECONDS, self._send)

    def on_attempt_sent(self, engine: int, threads: int) -> None:
        """Tell peers that an attempt was sent to an engine."""
        if self.reports.record_dispatch(engine, threads):
            self._send()

    def _send(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        data = self.reports.next_datagram()
        if data is not None and self.datagrams.send(data, self.datagrams.addresses.broadcast):
            self.counters["news_told"] += 1
            self.counters["news_bytes"] += len(data)


class LoadReportReceiver:
    """Passes load reports from peers to the driver. Counter: `news_heard`."""

    def __init__(
        self, datagrams: DatagramSocket, reports: LoadReports, driver: EventLoopDriver, counters: Counters
    ):
        """Register as the handler of load reports that arrive on the socket."""
        self.datagrams = datagrams
        self.reports = reports
        self.driver = driver
        self.counters = counters
        datagrams.handlers[LOAD_REPORT_VERSION] = self._receive

    def _receive(self, sender: int, data: bytes) -> None:
        try:
            events = self.reports.receive(self.driver.now(), data)
        except LoadReportError as error:
            self.datagrams.reject(self.datagrams.addresses.instances[sender], str(error))
            return
        self.counters["news_heard"] += 1
        for event in events:
            self.driver.submit_load_report(event)
