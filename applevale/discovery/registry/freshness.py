"""Reports when the list turns stale or fresh, and when the bound of its staleness can't be kept."""

from __future__ import annotations

from collections.abc import Callable

from ...observability.counters import Counters
from ...observability.events import emit_event, log_event
from ...startup.staleness_guard import GuardState
from .watcher import RegistryWatcher


class FreshnessReporter:
    """Compares the watcher's freshness with what was reported last, and reports each transition once."""

    def __init__(
        self, watcher: RegistryWatcher, counters: Counters, on_change: Callable[[bool], None], now: float
    ):
        """`on_change` is called with whether the list is fresh, when that has changed."""
        self.watcher = watcher
        self.counters = counters
        self.on_change = on_change
        self.was_fresh = False
        self.stale_since = now
        self.reported_state = watcher.pacer.guard.state

    def start(self, now: float) -> None:
        """Count the time for which the list is stale from `now` on."""
        self.stale_since = now

    def update(self, now: float, on_stale: str) -> bool:
        """Report what has changed, and return whether the list is fresh.

        Args:
            now: The time, in s.
            on_stale: The setting of this name, for the texts.
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
        """Log with figures that the bound can't be kept, or that it is kept again."""
        watcher = self.watcher
        former_state = self.reported_state
        self.reported_state = watcher.pacer.guard.state
        bound = watcher.config.max_staleness
        if former_state is GuardState.ACTIVE:
            poll_rate = 1 / (watcher.config.max_poll_interval_share * bound)
            log_event(
                "promise",
                f"{bound:g} s cannot be kept: it needs {poll_rate:.1f} reads a second, "
                f"answered within {watcher.pacer.guard.response_budget * 1000:.0f} ms; they take "
                f"{watcher.pacer.latency.mean * 1000:.0f} ms, {watcher.stats.declined} were refused so far. "
                f"on_stale is {on_stale!r} until it can",
            )
        elif self.reported_state is GuardState.ACTIVE:
            log_event("promise", f"{bound:g} s is kept again")

    def _report_fresh(self, now: float) -> None:
        stale_seconds = now - self.stale_since
        revision = self.watcher.revision
        self.counters["registry_stale_ms"] += int(stale_seconds * 1000)
        log_event("registry", f"confirmed at revision {revision}, after {stale_seconds:.3f} s")
        emit_event("list", confirmed=True, revision=revision, stale=round(stale_seconds, 3))

    def _report_stale(self, now: float, on_stale: str) -> None:
        self.counters["registry_stale"] += 1
        self.stale_since = now
        log_event("registry", f"the list is not confirmed, on_stale is {on_stale!r}")
        emit_event("list", confirmed=False)
