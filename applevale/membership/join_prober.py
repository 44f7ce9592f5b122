"""Pings to members that are dead or unknown, so that both sides of a network partition rejoin after it."""

from __future__ import annotations

from math import inf

from .components import SharedComponents
from .context import ProtocolContext

MIN_RATE_PER_SECOND = 0.001


class JoinProber:
    """Pings members that are not alive, one at a time.

    Attributes:
        next_join_at: When the next ping is due, in seconds; infinite while all members are alive.
    """

    def __init__(self, context: ProtocolContext, components: SharedComponents):
        """Create a prober that is not scheduled yet."""
        self._config = context.config
        self._view = context.view
        self._random = context.random
        self._sender = components.sender
        self._probes = components.probes
        self.next_join_at = inf

    def schedule(self, now: float) -> None:
        """Schedule the first ping, unless one is scheduled already."""
        if self.next_join_at == inf:
            self.next_join_at = now + self._interval()

    def send_join(self, now: float) -> None:
        """Ping a random member that is not alive in this view, in case it is reachable again."""
        candidates = [member for member in self._view.other_members() if member not in self._view.alive]
        if not candidates:
            self.next_join_at = inf
            return
        self.next_join_at = now + self._interval()
        target = self._random.choice(candidates)
        self._sender.send_ping(now, target, self._probes.next_sequence_number())

    def _interval(self) -> float:
        """Return the seconds until the next ping, with random jitter.

        All members together ping each dead member at `join_rate`, as far as `max_join_rate` allows.
        """
        alive_count = len(self._view.alive)
        dead_count = self._view.member_count - 1 - alive_count
        rate = min(self._config.max_join_rate, self._config.join_rate * dead_count / (1 + alive_count))
        return (0.5 + self._random.random()) / max(rate, MIN_RATE_PER_SECOND)
