"""What a pool of engines asks before it connects, and to whom it reports what engines send."""

from __future__ import annotations

from typing import Protocol

from .resp import LoadReport


class ConnectPolicy(Protocol):
    """Limits how often connections to each engine are opened."""

    def may_connect(self, engine_id: int) -> bool:
        """Return whether a connection to the engine may be opened now."""

    def record_connect(self, engine_id: int) -> None:
        """Note that a connection to the engine is being opened."""

    def record_disconnect(self, engine_id: int) -> None:
        """Note that the last connection to the engine ended, or the first was never established."""


class UnlimitedConnects:
    """A connect policy that allows every connection."""

    def may_connect(self, engine_id: int) -> bool:
        """Return True."""
        return True

    def record_connect(self, engine_id: int) -> None:
        """Do nothing."""

    def record_disconnect(self, engine_id: int) -> None:
        """Do nothing."""


class EngineObserver:
    """Receives the traffic with engines; this base class ignores all of it."""

    def on_load_report(self, engine_id: int, report: LoadReport) -> None:
        """Handle the load that an engine reported with a reply, before the reply itself is handled."""

    def on_attempt_written(self, class_name: str) -> None:
        """Handle the event that the command of an attempt of a class was written whole."""
