"""The suspicion against one member, and the timeouts until the member is declared dead. No I/O, no clock.

Invariants:

- Only distinct observers at one incarnation count; the suspect itself does not.
- Fewer observers than the quorum never declare a member dead, however old the suspicion is.
- The timeout starts when any member first sees a quorum, because the suspect is informed only from then on.
  An age that others report counts only up to `MAX_REPORTED_AGE_SECONDS`, so that a false report shortens the
  timeout only a little.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf, log

from .messages import MAX_OBSERVERS

MAX_REPORTED_AGE_SECONDS = 0.8
MAX_AGE_WITHOUT_QUORUM_SECONDS = 3.0  # Counted from the latest new observer.


@dataclass(frozen=True)
class SuspicionTimeouts:
    """The quorum of observers, and the time from the quorum until the suspect is declared dead.

    Attributes:
        required_observers: The quorum in a fleet with at least this many eligible observers.
        fast_observers: Minimum number of observers for `min_timeout` to apply.
        min_timeout: Timeout in seconds with `fast_observers` or more.
        max_timeout: Timeout in seconds with just the quorum.
    """

    required_observers: int = 3
    fast_observers: int = 5
    min_timeout: float = 1.7
    max_timeout: float = 2.4

    def quorum(self, eligible_count: int) -> int:
        """Return the number of observers needed if `eligible_count` members may observe the suspect.

        It is at least two if more than one is required, so a fleet of two never declares a member dead.
        """
        return min(self.required_observers, max(2, eligible_count))

    def fast_quorum(self, eligible_count: int) -> int:
        """Return the minimum number of observers for the shortest timeout to apply."""
        return max(self.quorum(eligible_count), min(self.fast_observers, eligible_count))

    def timeout(self, observer_count: int, eligible_count: int) -> float:
        """Return the time from the quorum to the death in seconds; it decreases as more observers agree."""
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
    """The observers that could not reach a member at one incarnation. All times are in seconds.

    Attributes:
        incarnation: The suspected incarnation.
        updated_at: When the latest new observer was added.
        quorum_at: When this member first saw a quorum; infinite without one.
        started_at: When the timeout started: when any member first saw a quorum, within the bound on reported
            ages; infinite without one.
        observers: The distinct observers as keys, in the order in which they were added.
        relayed_observer_count: Number of observers when the suspicion was last relayed.
        next_check_at: When this member pings or probes the suspect again; infinite if it does not verify it.
        final_check_started: Whether the final check before the death has started.
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
            age: Reported time since a quorum was reached, in seconds; 0 if none was reported.
            quorum: Number of observers needed.
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
        """Restart the timeout, since a refutation may have been missed."""
        self.updated_at = now
        self.final_check_started = False
        if self.quorum_at < inf:
            self.quorum_at = now
            self.started_at = now

    def is_stale(self, now: float) -> bool:
        """Return whether there has been no quorum, and no new observer for a while."""
        return self.quorum_at == inf and now - self.updated_at > MAX_AGE_WITHOUT_QUORUM_SECONDS
