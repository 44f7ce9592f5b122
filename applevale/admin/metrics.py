"""The metrics that operators read: counters and gauges.

Counters start at zero with the process and never decrease. A snapshot is consistent and does not iterate over
requests or engines. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum


class ResponseOutcome(StrEnum):
    """The outcome of a request; the value is its name in a snapshot."""

    SUCCESS = "success"
    OVERLOAD = "overload"
    ERROR = "error"


def _zero() -> int:
    return 0


@dataclass(frozen=True)
class Gauges:
    """Functions that return current values.

    Attributes:
        open_requests: The number of accepted requests without a response.
        engines: The number of listed engines.
        disabled_engines: The number of listed engines that are ejected, manually or as outliers.
    """

    open_requests: Callable[[], int] = _zero
    engines: Callable[[], int] = _zero
    disabled_engines: Callable[[], int] = _zero


@dataclass
class ClassCounters:
    """The counters of one request class."""

    responses: dict[ResponseOutcome, int] = field(default_factory=lambda: dict.fromkeys(ResponseOutcome, 0))
    dispatches: int = 0

    def snapshot(self) -> dict[str, int]:
        """Return the counters by their names in a snapshot."""
        counts = {outcome.value: count for outcome, count in self.responses.items()}
        counts["dispatches"] = self.dispatches
        return counts


class Metrics:
    """The metrics of one instance."""

    def __init__(self, class_names: tuple[str, ...], gauges: Gauges | None = None) -> None:
        """Create metrics with all counters at zero.

        Args:
            class_names: The names of the request classes, in the order of their indices.
            gauges: The sources of current values; by default they are zero.
        """
        self._class_names = class_names
        self._gauges = gauges or Gauges()
        self._classes = {name: ClassCounters() for name in class_names}
        self._reload_successes = 0
        self._reload_failures = 0

    def record_response(self, class_index: int, outcome: ResponseOutcome) -> None:
        """Count a response that was passed to its connection."""
        self._classes[self._class_names[class_index]].responses[outcome] += 1

    def record_dispatch(self, class_name: str) -> None:
        """Count an attempt that was sent completely to an engine; an unknown class is ignored."""
        counters = self._classes.get(class_name)
        if counters is not None:
            counters.dispatches += 1

    def record_reload(self, succeeded: bool) -> None:
        """Count an attempt to reload the configuration."""
        if succeeded:
            self._reload_successes += 1
        else:
            self._reload_failures += 1

    def snapshot(self) -> dict:
        """Return all metrics as the JSON object of `GET /metrics`."""
        replies = {name: counters.snapshot() for name, counters in self._classes.items()}
        return {
            "replies": replies,
            "dispatches": sum(counters.dispatches for counters in self._classes.values()),
            "concurrent": self._gauges.open_requests(),
            "targets": self._gauges.engines(),
            "targets_disabled": self._gauges.disabled_engines(),
            "reload_success": self._reload_successes,
            "reload_failure": self._reload_failures,
        }
