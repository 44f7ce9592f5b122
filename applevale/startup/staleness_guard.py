"""Decides whether a bound on staleness can be guaranteed at the polling rate and latency there is.

The guard works like a circuit breaker with the states active -> suspended -> on trial -> active. Invariants:

- A single violation of the bound suspends nothing: the next response ends it. Several within a short time
  do, and so do responses that take too long for any polling rate.
- Nothing is guaranteed before a first response came in time, so a start at a slow service does not flap; an
  instance that is late itself has more time to find out.
- Once suspended, the guarantee stays so without interruption until a trial at the full polling rate went
  through without a violation.
- While it is suspended polls are rare, which relieves a service that too many instances poll.
- Each failed trial lengthens the delay before the next one, up to a bound; one that succeeds resets it.

The module does no I/O and reads no clock; times are in seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

VIOLATION_WINDOW_SECONDS = 6.0
MAX_VIOLATIONS = 4  # in that window, at which the guarantee is suspended
MAX_CONSECUTIVE_SLOW = 3  # slow responses at which the guarantee is suspended
UNPROVEN_SLOW_FACTOR = 3  # times as many before a first response came in time
TRIAL_SECONDS = 1.0  # at the full polling rate without a violation
MIN_POLL_INTERVAL_SECONDS = 1.0  # while suspended, at first
MAX_POLL_INTERVAL_SECONDS = 4.0  # while suspended, after failed trials
MIN_TRIAL_DELAY_SECONDS = 0.5
MAX_TRIAL_DELAY_SECONDS = 16.0
MAX_DOUBLINGS = 10


class GuardState(Enum):
    """Whether the bound is guaranteed."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    ON_TRIAL = "on trial"


@dataclass
class StalenessGuard:
    """The state of one guarantee.

    Attributes:
        response_budget: The seconds a response may take so that the next poll still comes in time.
        state: The present state.
        violations: When the bound was violated lately.
        consecutive_slow: The responses in a row that took longer than the budget.
        proven: Whether any response came in time.
        state_since: When the present state began.
        failed_trials: The failed trials in a row.
        trial_delay: The seconds from the suspension until the next trial.
    """

    response_budget: float
    state: GuardState = GuardState.ACTIVE
    violations: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_VIOLATIONS))
    consecutive_slow: int = 0
    proven: bool = False
    state_since: float = -inf
    failed_trials: int = 0
    trial_delay: float = 0.0

    @property
    def is_guaranteed(self) -> bool:
        """Whether the bound is guaranteed now."""
        return self.proven and self.state is GuardState.ACTIVE

    def record_handshake(self, duration: float) -> None:
        """Record the first response of a session; a slow one may be due to the connection and is ignored."""
        if duration <= self.response_budget:
            self.proven = True

    def record_response(self, now: float, duration: float, exceeded: bool, random_value: float) -> None:
        """Record a response.

        Args:
            now: The present time.
            duration: How long the response took.
            exceeded: Whether the bound was violated before the response, or still is.
            random_value: A random number from 0 to 1.
        """
        is_slow = duration > self.response_budget
        is_first_proof = not (self.proven or is_slow)
        self.consecutive_slow = self.consecutive_slow + 1 if is_slow else 0
        self.proven = self.proven or not is_slow
        if exceeded:
            self.violations.append(now)
        match self.state:
            case GuardState.ACTIVE:
                if self._must_suspend(now):
                    self._suspend(now, random_value)
            case GuardState.ON_TRIAL:
                if exceeded or is_slow:
                    self._fail_trial(now, random_value)
                elif now - self.state_since >= TRIAL_SECONDS:
                    self._pass_trial(now)
            case GuardState.SUSPENDED:
                if is_first_proof:  # nothing was guaranteed before: no trial is needed
                    self._enter(GuardState.ACTIVE, now)
                elif not is_slow and now - self.state_since >= self.trial_delay:
                    self._enter(GuardState.ON_TRIAL, now)

    def record_throttled(self, now: float, random_value: float) -> None:
        """Record a poll that was rejected for load: it fails a trial.

        Args:
            now: The present time.
            random_value: A random number from 0 to 1.
        """
        if self.state is GuardState.ON_TRIAL:
            self._fail_trial(now, random_value)

    def min_poll_interval(self) -> float:
        """Return the least seconds between two polls; zero for as many as the bound needs."""
        if self.state is not GuardState.SUSPENDED:
            return 0.0
        return self._back_off(MIN_POLL_INTERVAL_SECONDS, MAX_POLL_INTERVAL_SECONDS)

    def _must_suspend(self, now: float) -> bool:
        if len(self.violations) == MAX_VIOLATIONS and now - self.violations[0] <= VIOLATION_WINDOW_SECONDS:
            return True
        factor = 1 if self.proven else UNPROVEN_SLOW_FACTOR
        return self.consecutive_slow >= factor * MAX_CONSECUTIVE_SLOW

    def _suspend(self, now: float, random_value: float) -> None:
        self._enter(GuardState.SUSPENDED, now)
        delay = self._back_off(MIN_TRIAL_DELAY_SECONDS, MAX_TRIAL_DELAY_SECONDS)
        self.trial_delay = delay * (0.5 + random_value)

    def _fail_trial(self, now: float, random_value: float) -> None:
        self.failed_trials += 1
        self._suspend(now, random_value)

    def _pass_trial(self, now: float) -> None:
        self._enter(GuardState.ACTIVE, now)
        self.failed_trials = 0
        self.violations.clear()

    def _enter(self, state: GuardState, now: float) -> None:
        self.state = state
        self.state_since = now

    def _back_off(self, minimum: float, maximum: float) -> float:
        """Return `minimum` doubled for each failed trial, at most `maximum`."""
        return min(maximum, minimum * 2 ** min(self.failed_trials, MAX_DOUBLINGS))
