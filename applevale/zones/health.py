"""Detection of lost zones from the results of attempts at their engines. No I/O and no clock.

Invariants:

- A zone is lost only if at least `MIN_FAILED_ENGINES` engines are failing (in a smaller zone: all engines),
  with at least `MIN_FAILURES` failures within `RESULT_WINDOW_SECONDS`.
- Only the latest result of an engine decides whether it is failing.
- If all zones fail together, no zone is lost: the cause lies outside the zones.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

RESULT_WINDOW_SECONDS = 2.0  # Older results do not count.
MIN_FAILURES = 4
MIN_FAILED_ENGINES = 2
# Shares of failing engines among the engines of a zone that have recent results.
LOST_FAILED_SHARE = 0.6  # From this share on a zone is lost.
COMMON_FAILED_SHARE = 0.5  # If all other zones reach this share, the cause is common and no zone is lost.


@dataclass
class EngineHealth:
    """Times of the latest success and the latest failure of one engine, in seconds."""

    last_success: float = -inf
    last_failure: float = -inf

    def is_failing(self, now: float) -> bool:
        """Return whether the latest result is a recent failure."""
        is_latest = self.last_failure > self.last_success
        return is_latest and now - self.last_failure <= RESULT_WINDOW_SECONDS

    def has_recent_result(self, now: float) -> bool:
        """Return whether there was any result within the window."""
        return now - max(self.last_success, self.last_failure) <= RESULT_WINDOW_SECONDS


@dataclass
class ZoneHealth:
    """Recent results of the engines of one zone.

    Attributes:
        engines: The health of each ready engine, by engine id.
        failure_times: When the failures within the window occurred, in seconds and in order.
    """

    engines: dict[int, EngineHealth] = field(default_factory=dict)
    failure_times: deque[float] = field(default_factory=deque)

    def set_engines(self, engine_ids: set[int]) -> None:
        """Replace the engines of the zone; engines that are still listed keep their results."""
        for engine_id in list(self.engines):
            if engine_id not in engine_ids:
                del self.engines[engine_id]
        for engine_id in engine_ids:
            self.engines.setdefault(engine_id, EngineHealth())

    def record_result(self, now: float, engine_id: int, is_success: bool) -> None:
        """Record the result of an attempt; results of unknown engines are ignored."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        if is_success:
            engine.last_success = now
        else:
            engine.last_failure = now
            self.failure_times.append(now)
        while self.failure_times and self.failure_times[0] < now - RESULT_WINDOW_SECONDS:
            self.failure_times.popleft()

    def failed_share(self, now: float) -> float:
        """Return the share of failing engines among those with recent results; 0 for too few failures."""
        recent = [engine for engine in self.engines.values() if engine.has_recent_result(now)]
        failing_count = sum(engine.is_failing(now) for engine in recent)
        failure_count = sum(at >= now - RESULT_WINDOW_SECONDS for at in self.failure_times)
        if failing_count < min(MIN_FAILED_ENGINES, len(self.engines)) or failure_count < MIN_FAILURES:
            return 0.0
        return failing_count / len(recent)


def find_lost_zones(zones: dict[int, ZoneHealth], now: float) -> set[int]:
    """Return the zones whose engines fail while those of another zone do not."""
    shares = {zone: health.failed_share(now) for zone, health in zones.items() if health.engines}
    lost = {zone for zone, share in shares.items() if share >= LOST_FAILED_SHARE}
    other_shares = [share for zone, share in shares.items() if zone not in lost]
    if len(shares) > 1 and (not other_shares or min(other_shares) >= COMMON_FAILED_SHARE):
        return set()
    return lost
