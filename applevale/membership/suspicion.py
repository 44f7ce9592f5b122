"""The suspicion of one member, and the timeouts after which it is declared dead. No I/O, no clock.

Invariants:

- Only distinct observers at one incarnation count; the member itself never does.
- Fewer observers than the quorum declare nobody dead, however old the suspicion is.
- The timeout starts once there is a quorum anywhere: only then the suspect is informed. Of the age that
  others report, `MAX_REPORTED_AGE_SECONDS` count at most: a false report gains little, and the rest is waited
  for here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf, log

from .messages import MAX_OBSERVERS

MAX_REPORTED_AGE_SECONDS = 0.8
MAX_AGE_WITHOUT_QUORUM_SECONDS = 3.0  # for which a suspicion without a quorum is kept


@dataclass(frozen=True)
class SuspicionTimeouts:
    """Seconds from a quorum of observers to the declaration of death.

    Attributes:
        required_observers: The quorum in a fleet that has enough observers.
        fast_observers: Observers from which on `min_timeout` applies.
        min_timeout: Seconds with `fast_observers` and more.
        max_timeout: Seconds with just the quorum.
    """

    required_observers: int = 3
    fast_observers: int = 5
    min_timeout: float = 1.7
    max_timeout: float = 2.4

    def quorum(self, eligible_count: int) -> int:
        """Return the observers needed where `eligible_count` members may observe.

        It is at least two where more than one is required: a fleet of two declares nobody dead.
        """
        return min(self.required_observers, max(2, eligible_count))

    def fast_quorum(self, eligible_count: int) -> int:
        """Return the observers from which on the timeout is the shortest."""
        return max(self.quorum(eligible_count), min(self.fast_observers, eligible_count))

    def timeout(self, observer_count: int, eligible_count: int) -> float:
        """Return the seconds from the quorum to death; they shrink as more observers agree."""
        quorum = self.quorum(eligible_count)
        fast_quorum = self.fast_quorum(eligible_count)
        if observer_count >= fast_quorum:
            return self.min_timeout
        progress = log(observer_count - quorum + 1)
        return self.max_timeout - (self.max_timeout - self.min_timeout) * progress / log(
            fast_quorum - quorum + 1
        )


@dataclass(slots=True)
class Suspicion:
    """Observers that could not reach a member at one incarnation.

    Attributes:
        incarnation: The incarnation that is suspected.
        updated_at: When the last new observer was added.
        quorum_at: When there was a quorum here; infinite without one.
        started_at: When there was a quorum anywhere, as far as that counts; infinite without one.
        observers: The distinct observers, in the order in which they were added.
        relayed_observer_count: Observers that were relayed to others already.
        next_check_at: When this member pings or probes the suspect again.
        final_check_started: Whether the last check before the death was started.
    """

    incarnation: int
    updated_at: float = 0.0
    quorum_at: float = inf
    started_at: float = inf
    observers: dict[int, None] = field(default_factory=dict)
    relayed_observer_count: int = 0
    next_check_at: float = inf
    final_check_started: bool = False

    def add_observers(self, now: float, observers: tuple[int, ...], age: float, quorum: int) -> bool:
        """Add observers and return whether one of them is new.

        Args:
            now: The time, in seconds.
            observers: Members that could not reach the suspect.
            age: Seconds since there was a quorum, where that is reported.
            quorum: Observers that are needed.
        """
        former_count = len(self.observers)
        for observer in observers:
            if len(self.observers) < MAX_OBSERVERS:
                self.observers[observer] = None
        has_new = len(self.observers) > former_count
        if has_new:
            self.updated_at = now
        if len(self.observers) >= quorum:
            self.quorum_at = min(self.quorum_at, now)
            self.started_at = max(min(self.started_at, now - age), self.quorum_at - MAX_REPORTED_AGE_SECONDS)
        return has_new

    def restart(self, now: float) -> None:
        """Start the timeout anew: a refutation may have been missed."""
        self.updated_at = now
        self.final_check_started = False
        if self.quorum_at < inf:
            self.quorum_at = now
            self.started_at = now

    def is_stale(self, now: float) -> bool:
        """Return whether there never was a quorum and the last observer is long ago."""
        return self.quorum_at == inf and now - self.updated_at > MAX_AGE_WITHOUT_QUORUM_SECONDS
