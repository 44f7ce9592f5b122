"""Local health: whether this member exchanges messages with others, and may judge them (Lifeguard)."""

from __future__ import annotations

from math import inf

from .commands import LocalStatus, StatusChanged
from .config import FALSE_SUSPICION_WINDOW_SECONDS, MAX_LOCAL_HEALTH_SCORE
from .context import ProtocolContext


class LocalHealth:
    """The status of this member, and the evidence for it.

    Attributes:
        status: What this member thinks of itself.
        score: 0 is healthy; timeouts of own probes grow with it.
        last_event_at: When the last event came, in seconds.
        expected_at: When the next one was due at the latest.
        quiet_until: Until when this member does not judge others.
        last_received_at: When any message came last.
        last_answered_at: When any answer came last.
    """

    def __init__(self, context: ProtocolContext):
        """Create the health of a joining member."""
        self._config = context.config
        self._commands = context.commands
        self.status = LocalStatus.JOINING
        self.score = 0.0
        self.last_event_at = -inf
        self.expected_at = -inf
        self.quiet_until = -inf
        self.last_received_at = -inf
        self.last_answered_at = -inf
        self._unreachable: dict[int, float] = {}  # members that could not be reached, and when
        self._false_suspicions: dict[int, float] = {}  # those of them that turned out to be alive, and when

    @property
    def slowdown(self) -> float:
        """The factor by which timeouts of own probes are longer."""
        return 1 + self.score

    @property
    def is_view_reliable(self) -> bool:
        """Whether others may act on the view."""
        return self.status in (LocalStatus.HEALTHY, LocalStatus.PAUSED)

    @property
    def has_ended(self) -> bool:
        """Whether this member takes no part: it left, or a later process has its place."""
        return self.status in (LocalStatus.LEFT, LocalStatus.SUPERSEDED)

    def reset_times(self, now: float) -> None:
        """Restart all clocks: events are in time and others in contact as of now."""
        self.last_event_at = now
        self.expected_at = now
        self.reset_contact_times(now)

    def reset_contact_times(self, now: float) -> None:
        """Restart the clocks of contact: others send and answer as of now."""
        self.last_received_at = now
        self.last_answered_at = now

    def set_status(self, status: LocalStatus) -> None:
        """Change the status and announce it."""
        if status is not self.status:
            self.status = status
            self._commands.add(StatusChanged(status))

    def start_quiet_period(self, now: float) -> None:
        """Do not judge others for a while."""
        self.quiet_until = now + self._config.quiet_period

    def improve(self) -> None:
        """Record that a probe was answered."""
        self.score = max(0.0, self.score - 0.5)

    def worsen(self) -> None:
        """Record evidence that this member, not another one, is slow."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, self.score + 1)

    def record_event(self, now: float) -> float:
        """Record that an event is handled; return the seconds by which it is late."""
        if self.last_event_at == -inf:
            return 0.0
        delay = now - max(self.expected_at, self.last_event_at)
        self.last_event_at = now
        return delay

    def record_unreachable(self, now: float, member: int) -> None:
        """Record that a member could not be reached."""
        self._unreachable[member] = now

    def is_unreachable(self, member: int) -> bool:
        """Return whether a member could not be reached lately and has sent nothing since."""
        return member in self._unreachable

    def record_false_suspicion(self, now: float, member: int) -> None:
        """Record that a member taken as unreachable is alive after all."""
        del self._unreachable[member]
        self._false_suspicions[member] = now

    def may_suspect_others(self, now: float) -> bool:
        """Return whether this member may suspect others and declare them dead."""
        if not self._config.monitors_itself:
            return True
        if self.status is not LocalStatus.HEALTHY or now < self.quiet_until:
            return False
        return not self._has_many_false_suspicions(now)

    def check_contact(self, now: float, has_peers: bool) -> None:
        """Derive the status from the times of the last message and the last answer."""
        config = self._config
        if self.status is LocalStatus.PAUSED and now >= self.quiet_until:
            self.set_status(LocalStatus.HEALTHY)
        if not has_peers or not config.monitors_itself or config.heartbeat_interval:
            return
        is_in_contact = self.status in (LocalStatus.HEALTHY, LocalStatus.UNANSWERED)
        if is_in_contact and now - self.last_received_at > config.isolation_timeout:
            self.set_status(LocalStatus.ISOLATED)
        unanswered_timeout = config.unanswered_timeout * (1 + self.score / 3)
        if self.status is LocalStatus.HEALTHY and now - self.last_answered_at > unanswered_timeout:
            self.set_status(LocalStatus.UNANSWERED)

    def _has_many_false_suspicions(self, now: float) -> bool:
        """Return whether several members taken as unreachable are alive, more than are not."""
        minimum = self._config.min_false_suspicions
        if len(self._false_suspicions) < minimum:
            return False
        since = now - FALSE_SUSPICION_WINDOW_SECONDS
        self._unreachable = {member: at for member, at in self._unreachable.items() if at > since}
        self._false_suspicions = {member: at for member, at in self._false_suspicions.items() if at > since}
        return len(self._false_suspicions) >= max(minimum, len(self._unreachable))
