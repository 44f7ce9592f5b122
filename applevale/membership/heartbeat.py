"""All-to-all heartbeats: a simpler failure detector, as a baseline for comparison with probes."""

from __future__ import annotations

from .commands import LocalStatus
from .components import SharedComponents
from .context import ProtocolContext
from .messages import MemberState, MemberUpdate
from .sender import UNLIMITED
from .updates import UpdateHandler


class HeartbeatDetector:
    """Sends heartbeats to all members, and declares members dead when their heartbeats stop."""

    def __init__(self, context: ProtocolContext, components: SharedComponents, updates: UpdateHandler):
        """Create a detector that has received no heartbeat."""
        self._config = context.config
        self._view = context.view
        self._sender = components.sender
        self._health = components.health
        self._probes = components.probes
        self._updates = updates
        self._last_heartbeat_at: dict[int, float] = {}

    def record_heartbeat(self, now: float, sender: int) -> None:
        """Record that a message from a member arrived, which counts as its heartbeat."""
        self._last_heartbeat_at[sender] = now

    def send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to all members, and declare those dead whose silence exceeds the timeout."""
        interval = self._config.heartbeat_interval
        self._probes.next_probe_at = max(self._probes.next_probe_at + interval, now + interval / 2)
        if self._health.status is LocalStatus.JOINING:
            return
        for target in self._view.other_members():
            self._sender.send_gossip(now, target, reserve=UNLIMITED)
        timeout = self._config.timeouts.min_timeout
        silent = [
            member for member in self._view.alive if now - self._last_heartbeat_at.get(member, now) > timeout
        ]
        if silent:
            self._updates.remove_members(now, tuple(self._death_update(member) for member in silent))

    def _death_update(self, member: int) -> MemberUpdate:
        record = self._view.table.records[member]
        return MemberUpdate(member, record.with_state(MemberState.DEAD))
