"""Lifeguard's local health: whether this member is in contact with others, and may suspect them."""

from __future__ import annotations

from math import inf

from .commands import LocalStatus, StatusChanged
from .config import FALSE_SUSPICION_WINDOW_SECONDS, MAX_LOCAL_HEALTH_SCORE
from .context import ProtocolContext

SCORE_DECREASE = 0.5  # Subtracted for each answered probe.
SCORE_INCREASE = 1.0  # Added for each sign that this member itself is slow.


class LocalHealth:
    """The status of this member, and the evidence for it. All times are in seconds.

    Attributes:
        status: This member's assessment of itself.
        score: Lifeguard's health score: 0 is healthy, and the timeouts of this member's probes grow with it.
        last_event_at: When the last event was handled.
        expected_at: When the next event was due at the latest.
        quiet_until: End of the period in which this member does not suspect others.
        last_received_at: When the last message arrived.
        last_answered_at: When the last answer arrived.
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
        self._unreachable: dict[int, float] = {}  # When a probe of a member last failed, by member.
        self._false_suspicions: dict[int, float] = {}  # When an unreachable member proved alive, by member.

    @property
    def slowdown(self) -> float:
        """The factor by which the timeouts of this member's probes are extended."""
        return 1 + self.score

    @property
    def is_view_reliable(self) -> bool:
        """Whether the view is good enough to act on, for example to divide shared limits."""
        return self.status in (LocalStatus.HEALTHY, LocalStatus.PAUSED)

    @property
    def has_ended(self) -> bool:
        """Whether this process no longer takes part: its member left, or another process superseded it."""
        return self.status in (LocalStatus.LEFT, LocalStatus.SUPERSEDED)

    def reset_times(self, now: float) -> None:
        """Set the times of the last event and of the last contact to now."""
        self.last_event_at = now
        self.expected_at = now
        self.reset_contact_times(now)

    def reset_contact_times(self, now: float) -> None:
        """Set the times of the last message and of the last answer to now."""
        self.last_received_at = now
        self.last_answered_at = now

    def set_status(self, status: LocalStatus) -> None:
        """Change the status and announce it."""
        if status is not self.status:
            self.status = status
            self._commands.add(StatusChanged(status))

    def start_quiet_period(self, now: float) -> None:
        """Suspect nobody for the configured quiet period."""
        self.quiet_until = now + self._config.quiet_period

    def improve(self) -> None:
        """Lower the score: a probe was answered."""
        self.score = max(0.0, self.score - SCORE_DECREASE)

    def worsen(self) -> None:
        """Raise the score: there is evidence that this member itself is slow."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, self.score + SCORE_INCREASE)

    def record_event(self, now: float) -> float:
        """Record that an event is being handled; return its delay in seconds."""
        if self.last_event_at == -inf:
            return 0.0
        delay = now - max(self.expected_at, self.last_event_at)
        self.last_event_at = now
        return delay

    def record_unreachable(self, now: float, member: int) -> None:
        """Record that a member could not be reached."""
        self._unreachable[member] = now

    def is_unreachable(self, member: int) -> bool:
        """Return whether a probe of a member failed lately, and no message from it has arrived since."""
        return member in self._unreachable

    def record_false_suspicion(self, now: float, member: int) -> None:
        """Record that a member that was found unreachable is alive."""
        del self._unreachable[member]
        self._false_suspicions[member] = now

    def may_suspect_others(self, now: float) -> bool:
        """Return whether this member may suspect others and declare them dead.

        It may not while its own failure is the likelier cause of missing answers.
        """
        if not self._config.monitors_itself:
            return True
        if self.status is not LocalStatus.HEALTHY or now < self.quiet_until:
            return False
        return not self._has_many_false_suspicions(now)

    def check_contact(self, now: float, has_peers: bool) -> None:
        """Update the status from the times of the last message and the last answer."""
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
        """Return whether too many of the members found unreachable in the window proved to be alive.

        This means at least `min_false_suspicions`, and no fewer than the members still unreachable.
        """
        minimum = self._config.min_false_suspicions
        if len(self._false_suspicions) < minimum:
            return False
        since = now - FALSE_SUSPICION_WINDOW_SECONDS
        self._unreachable = {member: at for member, at in self._unreachable.items() if at > since}
        self._false_suspicions = {member: at for member, at in self._false_suspicions.items() if at > since}
        return len(self._false_suspicions) >= max(minimum, len(self._unreachable))
