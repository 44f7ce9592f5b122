"""Reports in the log and in counters whether the engine list of a registry is fresh."""

from __future__ import annotations

from collections.abc import Callable

from ...observability.counters import Counters
from ...observability.events import emit_event, log_event
from ...startup.staleness_guard import GuardState
from .watcher import RegistryWatcher


class FreshnessReporter:
    """Reports each change of the watcher's freshness and of its staleness guarantee once.

    Attributes:
        watcher: The watcher whose state is reported.
        counters: Receives how often and for how long the list was stale.
        on_change: Called with whether the list is fresh, after each change.
        was_fresh: Whether the list was fresh at the last report.
        stale_since: Time since which the list has been stale.
        reported_state: State of the staleness guard at the last report.
    """

    def __init__(
        self, watcher: RegistryWatcher, counters: Counters, on_change: Callable[[bool], None], now: float
    ):
        """Create a reporter for a list that has been stale since `now`; see the class for the rest."""
        self.watcher = watcher
        self.counters = counters
        self.on_change = on_change
        self.was_fresh = False
        self.stale_since = now
        self.reported_state = watcher.pacer.guard.state

    def start(self, now: float) -> None:
        """Measure from `now` on how long the list is stale."""
        self.stale_since = now

    def update(self, now: float, on_stale: str) -> bool:
        """Report what has changed since the last call, and return whether the list is fresh.

        Args:
            now: Current time, in s.
            on_stale: Value of the setting `on_stale`, which log lines mention.
        """
        is_fresh = self.watcher.is_fresh(now)
        if self.watcher.pacer.guard.state is not self.reported_state:
            self._report_guarantee(on_stale)
        if is_fresh != self.was_fresh:
            if is_fresh:
                self._report_fresh(now)
            else:
                self._report_stale(now, on_stale)
            self.was_fresh = is_fresh
            self.on_change(is_fresh)
        return is_fresh

    def _report_guarantee(self, on_stale: str) -> None:
        """Log that the staleness bound cannot be kept, and why, or that it is kept again."""
        watcher = self.watcher
        throttled_requests = watcher.stats.declined
        previous_state = self.reported_state
        self.reported_state = watcher.pacer.guard.state
        bound = watcher.config.max_staleness
        if previous_state is GuardState.ACTIVE:
            poll_rate = 1 / (watcher.config.max_poll_interval_share * bound)
            budget_ms = watcher.pacer.guard.response_budget * 1000
            latency_ms = watcher.pacer.latency.mean * 1000
            log_event(
                "staleness",
                f"the staleness bound of {bound:g} s cannot be kept: "
                f"it needs {poll_rate:.1f} reads a second, each with a response within {budget_ms:.0f} ms; "
                f"the mean latency is {latency_ms:.0f} ms, "
                f"and {throttled_requests} requests were throttled so far; "
                f"on_stale={on_stale!r} applies until it can be kept",
            )
        elif self.reported_state is GuardState.ACTIVE:
            log_event("staleness", f"the staleness bound of {bound:g} s is kept again")

    def _report_fresh(self, now: float) -> None:
        stale_seconds = now - self.stale_since
        revision = self.watcher.revision
        self.counters["registry_stale_ms"] += int(stale_seconds * 1000)
        log_event(
            "registry",
            f"the list is confirmed at revision {revision}, after {stale_seconds:.3f} s without confirmation",
        )
        emit_event("list", confirmed=True, revision=revision, stale=round(stale_seconds, 3))

    def _report_stale(self, now: float, on_stale: str) -> None:
        self.counters["registry_stale"] += 1
        self.stale_since = now
        log_event("registry", f"the list is not confirmed, on_stale is {on_stale!r}")
        emit_event("list", confirmed=False)
