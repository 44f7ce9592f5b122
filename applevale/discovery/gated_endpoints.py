"""The engine list as the decision module sees it: engines that must not get new requests appear as draining.

Invariants:

- While the list is stale, no engine is presented as ready, so that no new requests are sent. Requests in
  flight continue. Once the list is confirmed again, all engines are presented again, including the changes
  that happened in the meantime.
- An engine in `ejected` is never presented as ready, whatever its source reports.
- An engine in `awaiting_connect_slot` is not presented as ready, since no connection to it may be opened yet.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import replace

from .. import api
from .endpoints import EndpointUpdate


class GatedEndpoints:
    """The listed engines, of which excluded ones are presented as draining.

    Attributes:
        entries: Listed engines by number, as their source describes them.
        is_stale: Whether the source cannot confirm the list at present.
        ejected: Engines that an operator ejected. Another object owns the set and changes it.
        awaiting_connect_slot: Engines to which no connection may be opened yet.
    """

    def __init__(self) -> None:
        """Create an empty list, which is not stale."""
        self.entries: dict[int, api.EngineEntry] = {}
        self.is_stale = False
        self.ejected: set[int] = set()
        self.awaiting_connect_slot: set[int] = set()

    def apply_update(self, update: EndpointUpdate) -> api.EngineList:
        """Apply an update of the list, and return it as the decision module sees it."""
        if update.is_full:
            self.entries.clear()
        listed = [endpoint.entry for endpoint in update.endpoints]
        for entry in listed:
            self.entries[entry.engine_id] = entry
            if entry.state is api.EngineState.GONE:
                del self.entries[entry.engine_id]
        return api.EngineList(tuple(map(self._presented, listed)), update.is_full)

    def set_confirmed(self, confirmed: bool) -> api.EngineList:
        """Mark the list as confirmed or stale, and return the whole list."""
        self.is_stale = not confirmed
        return api.EngineList(tuple(map(self._presented, self.entries.values())), is_full=True)

    def update_for_engine(self, engine: int) -> api.EngineList:
        """Return an update with the presented state of one engine; empty if the engine is not listed."""
        entry = self.entries.get(engine)
        if entry is None:
            return api.EngineList((), is_full=False)
        return api.EngineList((self._presented(entry),), is_full=False)

    def has_usable_engine(self) -> bool:
        """Return whether any engine could get new requests if the list were confirmed."""
        return any(
            entry.state is api.EngineState.READY and not self._is_excluded(entry.engine_id)
            for entry in self.entries.values()
        )

    def _presented(self, entry: api.EngineEntry) -> api.EngineEntry:
        """Return an engine as the decision module sees it."""
        is_ready = entry.state is api.EngineState.READY
        if is_ready and (self.is_stale or self._is_excluded(entry.engine_id)):
            return replace(entry, state=api.EngineState.DRAINING)
        return entry

    def _is_excluded(self, engine: int) -> bool:
        return engine in self.ejected or engine in self.awaiting_connect_slot
