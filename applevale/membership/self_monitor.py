"""Recovery of this member after a pause of its process, or after a time without messages."""

from __future__ import annotations

from .commands import LocalStatus
from .components import SharedComponents
from .context import ProtocolContext


class SelfMonitor:
    """Detects pauses of this process, so that it does not blame others for the messages that it missed."""

    def __init__(self, context: ProtocolContext, components: SharedComponents):
        """Create a monitor of the given components."""
        self._config = context.config
        self._identity = context.identity
        self._stats = context.stats
        self._health = components.health
        self._probes = components.probes
        self._suspicions = components.suspicions
        self._local = components.local

    def check_for_pause(self, now: float) -> None:
        """React if the current event is late. It must be called first for each event of any kind."""
        delay = self._health.record_event(now)
        if not self._config.monitors_itself or delay <= self._config.delay_threshold:
            return
        self._health.worsen()
        if delay < self._config.pause_threshold:
            self._probes.postpone(delay)
            return
        self._stats.paused += 1
        if self._health.status in (LocalStatus.HEALTHY, LocalStatus.UNANSWERED, LocalStatus.PAUSED):
            self._health.set_status(LocalStatus.PAUSED)
            self.recover(now)

    def recover(self, now: float) -> None:
        """Restart probes, timeouts and contact times after messages were missed.

        Others may suspect this member by now, so it raises its incarnation.
        """
        self._probes.clear()
        self._health.start_quiet_period(now)
        self._health.reset_contact_times(now)
        self._suspicions.restart_all(now)
        if self._health.status is LocalStatus.ISOLATED:
            self._health.set_status(LocalStatus.HEALTHY)
        if self._identity.incarnation:
            self._local.refute(now, self._identity.incarnation)
