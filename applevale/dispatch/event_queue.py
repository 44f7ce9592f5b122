"""The queue of events for the next batch of the admission controller."""

from __future__ import annotations

from .. import api


def merge_list_updates(events: list[api.Event]) -> list[api.Event]:
    """Return the events with all updates of the engine list merged into one at the front.

    This saves time, since the controller iterates over all engines for each update.
    """
    entries: dict[int, api.EngineEntry] = {}
    is_full = False
    for event in events:
        if isinstance(event, api.EngineList):
            if event.is_full:
                is_full = True
                entries.clear()
            entries.update((entry.engine_id, entry) for entry in event.entries)
    others = [event for event in events if not isinstance(event, api.EngineList)]
    return [api.EngineList(tuple(entries.values()), is_full), *others]


class EventQueue:
    """Collects the events of the next batch.

    Attributes:
        events: All events except load reports, in order of arrival.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.events: list[api.Event] = []
        self._list_update_count = 0
        self._load_reports: dict[int, api.PeerLoadReport] = {}  # merged reports by engine id

    def add(self, event: api.Event) -> None:
        """Add an event."""
        self.events.append(event)
        self._list_update_count += isinstance(event, api.EngineList)

    def add_load_report(self, report: api.PeerLoadReport) -> None:
        """Add a peer's load report, merged with an earlier one for the same engine."""
        earlier = self._load_reports.get(report.engine_id, report)
        if earlier is not report:
            report = api.PeerLoadReport(
                report.engine_id,
                report.load_report or earlier.load_report,
                report.sent_threads + earlier.sent_threads,
            )
        self._load_reports[report.engine_id] = report

    def take(self) -> list[api.Event]:
        """Remove and return all events: load reports first, then the others with list updates merged."""
        events = self.events
        self.events = []
        if self._list_update_count > 1:
            events = merge_list_updates(events)
        self._list_update_count = 0
        if self._load_reports:
            events = [*self._load_reports.values(), *events]
            self._load_reports.clear()
        return events
