"""The router: which zones may take a request, and which come first."""

from __future__ import annotations

from collections.abc import Iterable

from .events import EngineEntry, Result


class Router:
    """A router that makes no difference among zones. `zones.zone_router.ZoneRouter` is the other one.

    `request_class` is an index into the settings' classes; work is in seconds on one core.
    """

    def tier(self, request_class: int, zone: int) -> int:
        """Return the tier of a zone for a class; 0 is the first choice."""
        return 0

    def may_take(self, now: float, request_class: int, zone: int, work: float) -> bool:
        """Return whether a zone may take this much work now."""
        return True

    def is_saturated(self, now: float, request_class: int, work: float) -> bool:
        """Return whether the home zone is impaired and no zone may take the work, so that it is rejected."""
        return False

    def available_rate(self, now: float, cores: float) -> float:
        """Return the work a second that finds room for this instance; `cores`: its part of all ready ones."""
        return cores

    def on_engine_list(self, now: float, engines: Iterable[tuple[EngineEntry, float]]) -> None:
        """Take note of the ready engines and their cores."""

    def on_send(self, now: float, zone: int, work: float) -> None:
        """Take note of an attempt that was sent to a zone."""

    def on_result(self, now: float, entry: EngineEntry, result: Result) -> None:
        """Take note of the result of an attempt or a probe."""
