"""The base class of routers, which decide which zones may get a request and in which order."""

from __future__ import annotations

from collections.abc import Iterable

from .events import EngineEntry, Result


class Router:
    """A router that treats all zones alike; `zones.zone_router.ZoneRouter` distinguishes them.

    `class_index` is an index into the classes of the settings. Work is in seconds on one core.
    """

    def zone_tier(self, class_index: int, zone: int) -> int:
        """Return the tier of a zone for a class; 0 is the first choice."""
        return 0

    def can_accept_work(self, now: float, class_index: int, zone: int, work: float) -> bool:
        """Return whether a zone may get this much work now."""
        return True

    def is_saturated(self, now: float, class_index: int, work: float) -> bool:
        """Return whether to reject work: the home zone is impaired, and no zone may take the work."""
        return False

    def available_rate(self, now: float, cores: float) -> float:
        """Return the work per second that this instance may send; `cores` is its share of all ready cores."""
        return cores

    def on_engine_list(self, now: float, engines: Iterable[tuple[EngineEntry, float]]) -> None:
        """Record the ready engines and their numbers of cores."""

    def on_send(self, now: float, zone: int, work: float) -> None:
        """Record an attempt that was sent to a zone."""

    def on_result(self, now: float, entry: EngineEntry, result: Result) -> None:
        """Record the result of an attempt or a probe."""
