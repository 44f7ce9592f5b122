"""Counters of a registry source."""

from __future__ import annotations

from ...observability.counters import Counters
from .endpoint_table import EndpointTable, endpoints_digest
from .watcher import RegistryWatcher


class SourceCounters:
    """Sets the counters whose names begin with `registry_` from the state of a watcher and its list."""

    def __init__(self, counters: Counters, watcher: RegistryWatcher, table: EndpointTable):
        """Prepare to set counters; none is set yet.

        Args:
            counters: Counters of the process.
            watcher: Watcher whose statistics are copied.
            table: List that the watcher keeps up to date.
        """
        self._counters = counters
        self._watcher = watcher
        self._table = table

    def update_events(self) -> None:
        """Set the counters of the watcher's events and of invalid records."""
        for name, count in vars(self._watcher.stats).items():
            self._counters[f"registry_{name}"] = count
        self._counters["registry_bad_records"] = self._table.invalid_count

    def update_list(self) -> None:
        """Set the counters that describe the list, which are computed on demand only."""
        endpoints = self._table.endpoints()
        self._counters["registry_revision"] = self._watcher.revision
        self._counters["registry_members"] = len(endpoints)
        self._counters["registry_digest"] = endpoints_digest(endpoints)
