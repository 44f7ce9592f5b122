"""What the module is told of the engine list while its source cannot confirm it, and of engines out by hand.

Invariant: while the list is held, no engine is told as ready, and what changed meanwhile is told with it at
the end; so nothing new is sent, and what is under way goes on. An engine in `banned` is never told as ready,
whatever its source says, until it is taken out of it; nor is one in `unopened`, to which no connection may be
begun yet. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import replace

from .. import api
from .endpoints import Change


class HeldList:
    def __init__(self) -> None:
        self.entries: dict[int, api.EngineEntry] = {}
        self.held = False
        self.banned: set[int] = set()
        self.unopened: set[int] = set()

    def changed(self, change: Change) -> api.EngineList:
        if change.whole:
            self.entries.clear()
        told = [member.entry for member in change.members]
        for entry in told:
            self.entries[entry.engine] = entry
            if entry.state is api.State.GONE:
                del self.entries[entry.engine]
        return api.EngineList(tuple(map(self._seen, told)), change.whole)

    def turned(self, confirmed: bool) -> api.EngineList:
        self.held = not confirmed
        return api.EngineList(tuple(map(self._seen, self.entries.values())), whole=True)

    def told_again(self, engine: int) -> api.EngineList:
        """What the module is told of one engine after it was banned or let back in."""
        entry = self.entries.get(engine)
        return api.EngineList(() if entry is None else (self._seen(entry),), whole=False)

    def _seen(self, entry: api.EngineEntry) -> api.EngineEntry:
        hidden = entry.state is api.State.READY and (self.held or self._out(entry.engine))
        return replace(entry, state=api.State.DRAINING) if hidden else entry

    def _out(self, engine: int) -> bool:
        return engine in self.banned or engine in self.unopened

    def usable(self) -> bool:
        """Whether there is an engine to send to, once the list is confirmed."""
        return any(
            entry.state is api.State.READY and not self._out(entry.engine) for entry in self.entries.values()
        )
