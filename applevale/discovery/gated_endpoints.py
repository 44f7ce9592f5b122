"""The list of engines as the decision module sees it: engines that may not get new work are not ready.

Invariants: while the list is stale, no engine is presented as ready, and what changes meanwhile is presented
with its true state at the end; so nothing new is sent, and work in flight goes on. An engine in `ejected` is
never presented as ready, whatever its source reports, until it is removed from the set; nor is one in
`awaiting_connect_slot`, to which no connection may be opened yet. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import replace

from .. import api
from .endpoints import EndpointUpdate


class GatedEndpoints:
    """The listed engines, of which gated ones are presented as draining.

    Attributes:
        entries: The listed engines by id, as their source describes them.
        is_stale: Whether the source can't confirm the list at present.
        ejected: Engines that an operator took out of service; a set shared with its owner.
        awaiting_connect_slot: Engines to which no connection may be opened yet.
    """

    def __init__(self) -> None:
        """Build an empty list, which is not stale."""
        self.entries: dict[int, api.EngineEntry] = {}
        self.is_stale = False
        self.ejected: set[int] = set()
        self.awaiting_connect_slot: set[int] = set()

    def apply_update(self, update: EndpointUpdate) -> api.EngineList:
        """Take in an update of the list and return it as the decision module is to see it."""
        if update.is_full:
            self.entries.clear()
        listed = [endpoint.entry for endpoint in update.endpoints]
        for entry in listed:
            self.entries[entry.engine] = entry
            if entry.state is api.State.GONE:
                del self.entries[entry.engine]
        return api.EngineList(tuple(map(self._gated, listed)), update.is_full)

    def set_confirmed(self, confirmed: bool) -> api.EngineList:
        """Mark the list as confirmed or stale, and return all of it."""
        self.is_stale = not confirmed
        return api.EngineList(tuple(map(self._gated, self.entries.values())), whole=True)

    def present(self, engine: int) -> api.EngineList:
        """Return one engine as it is seen now that its gates have changed; empty if it is not listed."""
        entry = self.entries.get(engine)
        if entry is None:
            return api.EngineList((), whole=False)
        return api.EngineList((self._gated(entry),), whole=False)

    def has_usable_engine(self) -> bool:
        """Return whether there is an engine to send to, once the list is confirmed."""
        return any(
            entry.state is api.State.READY and not self._is_excluded(entry.engine)
            for entry in self.entries.values()
        )

    def _gated(self, entry: api.EngineEntry) -> api.EngineEntry:
        is_ready = entry.state is api.State.READY
        if is_ready and (self.is_stale or self._is_excluded(entry.engine)):
            return replace(entry, state=api.State.DRAINING)
        return entry

    def _is_excluded(self, engine: int) -> bool:
        return engine in self.ejected or engine in self.awaiting_connect_slot
