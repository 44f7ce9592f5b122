"""Counters of a registry source."""

from __future__ import annotations

from ...observability.counters import Counters
from .endpoint_table import EndpointTable, endpoints_digest
from .watcher import RegistryWatcher


class SourceCounters:
    """Sets the counters `registry_...` to what a watcher and its list hold."""

    def __init__(self, counters: Counters, watcher: RegistryWatcher, table: EndpointTable):
        """Create it for `counters`; nothing is set yet."""
        self._counters = counters
        self._watcher = watcher
        self._table = table

    def update_events(self) -> None:
        """Set the numbers of the watcher's events and of the records that could not be used."""
        for name, count in vars(self._watcher.stats).items():
            self._counters[f"registry_{name}"] = count
        self._counters["registry_bad_records"] = self._table.invalid_count

    def update_list(self) -> None:
        """Set the counters that describe the list, which are worked out only when they are wanted."""
        endpoints = self._table.endpoints()
        self._counters["registry_revision"] = self._watcher.revision
        self._counters["registry_members"] = len(endpoints)
        self._counters["registry_digest"] = endpoints_digest(endpoints)
