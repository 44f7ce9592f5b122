"""The engines that operators have ejected manually.

Each engine has at most one entry, a last-writer-wins register: the entry with the later time wins, and at
equal times the ejection. Merging is commutative and idempotent, so processes that merge each other's entries
in any order end with the same ejected engines.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf, nextafter

from ..discovery.endpoints import Endpoint, format_instance_id
from ..net.addresses import format_address


@dataclass(frozen=True, order=True)
class EjectionEntry:
    """The latest decision on one engine; of two entries the greater one wins.

    Attributes:
        updated_at: Unix time of the decision in seconds.
        ejected: Whether the engine is ejected.
    """

    updated_at: float
    ejected: bool


class EjectionRegistry:
    """The entries of all engines, and the ejected engines that follow from them.

    Repeated ejections of an engine have no further effect, and one call ends them. An engine that is removed
    from the engine list and listed again is still ejected.

    Attributes:
        entries: The winning entry of each engine.
        ejected: The ejected engines. The set object stays the same, because others keep a reference to it.
    """

    def __init__(self) -> None:
        """Create a registry without entries."""
        self.entries: dict[int, EjectionEntry] = {}
        self.ejected: set[int] = set()
        self._engines_by_name: dict[str, int] = {}  # includes former endpoints

    def add_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Register endpoints, so that `find` knows them by instance id and HOST:PORT."""
        for endpoint in endpoints:
            engine = endpoint.entry.engine_id
            self._engines_by_name[format_instance_id(engine)] = engine
            self._engines_by_name[format_address(endpoint.address)] = engine

    def find(self, name: str) -> int | None:
        """Return the engine with an instance id or HOST:PORT, or None if none was ever listed with it."""
        if not isinstance(name, str):
            return None
        return self._engines_by_name.get(name.strip().lower())

    def set_ejected(self, engine: int, ejected: bool, now: float) -> bool:
        """Eject an engine or end its ejection.

        The new entry wins over the present one even if that came from a process whose clock is ahead.

        Args:
            engine: The engine.
            ejected: Whether it is ejected from now on.
            now: Unix time in seconds.

        Returns:
            Whether the state of the engine has changed.
        """
        present = self.entries.get(engine)
        updated_at = now
        if present is not None:
            updated_at = max(now, nextafter(present.updated_at, inf))
        return self._apply(engine, EjectionEntry(updated_at, ejected))

    def merge(self, entries: Mapping[int, EjectionEntry]) -> list[int]:
        """Merge the entries of another process and return the engines whose state has changed."""
        changed = []
        for engine, entry in entries.items():
            present = self.entries.get(engine)
            if present is not None and present >= entry:
                continue
            if self._apply(engine, entry):
                changed.append(engine)
        return changed

    def _apply(self, engine: int, entry: EjectionEntry) -> bool:
        self.entries[engine] = entry
        # Only the other process may have had the engine listed.
        self._engines_by_name.setdefault(format_instance_id(engine), engine)
        was_ejected = engine in self.ejected
        if entry.ejected:
            self.ejected.add(engine)
        else:
            self.ejected.discard(engine)
        return was_ejected is not entry.ejected
