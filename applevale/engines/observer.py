"""Interfaces of the engine pool: a policy that limits connecting, and an observer of traffic."""

from __future__ import annotations

from typing import Protocol

from .resp import LoadReport


class ConnectPolicy(Protocol):
    """Decides when connections to each engine may be opened."""

    def may_connect(self, engine_id: int) -> bool:
        """Return whether a connection to the engine may be opened now."""

    def record_connect(self, engine_id: int) -> None:
        """Record that a connection to the engine is being opened."""

    def record_disconnect(self, engine_id: int) -> None:
        """Record that the last connection to the engine has ended, or that connecting has failed."""


class UnlimitedConnects:
    """A connect policy without limits."""

    def may_connect(self, engine_id: int) -> bool:
        """Return True."""
        return True

    def record_connect(self, engine_id: int) -> None:
        """Do nothing."""

    def record_disconnect(self, engine_id: int) -> None:
        """Do nothing."""


class EngineObserver:
    """Is notified of the traffic with engines; this base class does nothing."""

    def on_load_report(self, engine_id: int, report: LoadReport) -> None:
        """Handle the load report in a reply of an engine, before the reply itself is handled."""

    def on_attempt_written(self, class_name: str) -> None:
        """Handle the complete write of the execute command of an attempt."""
