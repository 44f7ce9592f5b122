"""The events that wait for the next batch."""

from __future__ import annotations

from .. import api


def merge_list_updates(events: list[api.Event]) -> list[api.Event]:
    """Merge all updates of the engine list in a batch into one, which comes first.

    The controller goes through all its engines for each update.
    """
    entries: dict[int, api.EngineEntry] = {}
    whole = False
    for event in events:
        if isinstance(event, api.EngineList):
            if event.whole:
                whole = True
                entries.clear()
            entries.update((entry.engine, entry) for entry in event.entries)
    others = [event for event in events if not isinstance(event, api.EngineList)]
    return [api.EngineList(tuple(entries.values()), whole), *others]


class EventQueue:
    """Collects the events of the next batch.

    Attributes:
        events: The events but load reports, in their order.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.events: list[api.Event] = []
        self._list_update_count = 0
        self._load_reports: dict[int, api.PeerLoadReport] = {}  # by engine

    def add(self, event: api.Event) -> None:
        """Add an event."""
        self.events.append(event)
        self._list_update_count += isinstance(event, api.EngineList)

    def add_load_report(self, report: api.PeerLoadReport) -> None:
        """Add a peer's load report, merged with a former one of the same engine."""
        former = self._load_reports.get(report.engine, report)
        if former is not report:
            report = api.PeerLoadReport(
                report.engine, report.report or former.report, report.threads + former.threads
            )
        self._load_reports[report.engine] = report

    def take(self) -> list[api.Event]:
        """Remove and return all: load reports, then the engine list if there were several updates."""
        events = self.events
        self.events = []
        if self._list_update_count > 1:
            events = merge_list_updates(events)
        self._list_update_count = 0
        if self._load_reports:
            events = [*self._load_reports.values(), *events]
            self._load_reports.clear()
        return events
