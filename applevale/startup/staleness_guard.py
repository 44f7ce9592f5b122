"""Circuit breaker for a staleness guarantee that may not hold at the current polling rate and latency.

The states are active -> suspended -> on trial -> active. Invariants:

- A single violation of the staleness bound does not suspend the guarantee, since the next response ends the
  violation. Several violations within a short time suspend it, and so do responses that are too slow for any
  polling rate.
- There is no guarantee before the first timely response, so that it does not flap at the start against a slow
  service. Until then more slow responses are tolerated, because they may be due to a delay in the instance
  itself.
- A suspended guarantee stays suspended until a trial at the full polling rate passes without a violation.
- Polls are rare during a suspension, which relieves a service that too many instances poll.
- Each failed trial lengthens the delay before the next one, up to a maximum. A trial that passes resets it.

The module does no I/O and reads no clock. Times are in seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

VIOLATION_WINDOW_SECONDS = 6.0
VIOLATIONS_TO_SUSPEND = 4  # Counted within `VIOLATION_WINDOW_SECONDS`.
SLOW_RESPONSES_TO_SUSPEND = 3
STARTUP_SLOW_FACTOR = 3  # Multiplies `SLOW_RESPONSES_TO_SUSPEND` until there was a timely response.
TRIAL_SECONDS = 1.0
MIN_SUSPENDED_POLL_INTERVAL_SECONDS = 1.0
MAX_SUSPENDED_POLL_INTERVAL_SECONDS = 4.0
MIN_TRIAL_DELAY_SECONDS = 0.5
MAX_TRIAL_DELAY_SECONDS = 16.0
MAX_BACKOFF_DOUBLINGS = 10


class GuardState(Enum):
    """State of the staleness guarantee."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    ON_TRIAL = "on trial"


@dataclass
class StalenessGuard:
    """Circuit breaker of one staleness guarantee.

    Attributes:
        response_budget: Longest duration of a timely response, in seconds. After a longer one the next poll
            would be too late.
        state: Current state.
        violations: Times of the latest violations of the bound.
        consecutive_slow: Number of consecutive responses that took longer than the budget.
        had_timely_response: Whether any response so far was timely.
        state_since: Time at which the current state began.
        failed_trials: Number of consecutive failed trials.
        trial_delay: Time from the suspension until the next trial, in seconds.
    """

    response_budget: float
    state: GuardState = GuardState.ACTIVE
    violations: deque[float] = field(default_factory=lambda: deque(maxlen=VIOLATIONS_TO_SUSPEND))
    consecutive_slow: int = 0
    had_timely_response: bool = False
    state_since: float = -inf
    failed_trials: int = 0
    trial_delay: float = 0.0

    @property
    def is_guaranteed(self) -> bool:
        """Whether the bound is guaranteed at present."""
        return self.had_timely_response and self.state is GuardState.ACTIVE

    def record_handshake(self, duration: float) -> None:
        """Record the first response of a session, which took `duration` seconds.

        A slow one is ignored: opening the connection may have taken most of its time.
        """
        if duration <= self.response_budget:
            self.had_timely_response = True

    def record_response(self, now: float, duration: float, is_violation: bool, random_value: float) -> None:
        """Record a response to a poll.

        Args:
            now: Current time.
            duration: Time from the poll to the response, in seconds.
            is_violation: Whether the staleness bound was exceeded until this response, or still is.
            random_value: Random number from 0 to 1.
        """
        is_slow = duration > self.response_budget
        is_first_timely = not (self.had_timely_response or is_slow)
        self.consecutive_slow = self.consecutive_slow + 1 if is_slow else 0
        self.had_timely_response = self.had_timely_response or not is_slow
        if is_violation:
            self.violations.append(now)
        match self.state:
            case GuardState.ACTIVE:
                if self._must_suspend(now):
                    self._suspend(now, random_value)
            case GuardState.ON_TRIAL:
                if is_violation or is_slow:
                    self._fail_trial(now, random_value)
                elif now - self.state_since >= TRIAL_SECONDS:
                    self._pass_trial(now)
            case GuardState.SUSPENDED:
                if is_first_timely:  # There was no guarantee yet, so no trial is needed.
                    self._enter(GuardState.ACTIVE, now)
                elif not is_slow and now - self.state_since >= self.trial_delay:
                    self._enter(GuardState.ON_TRIAL, now)

    def record_throttled(self, now: float, random_value: float) -> None:
        """Record a poll that was rejected because of the service's load, which fails a trial.

        Args:
            now: Current time.
            random_value: Random number from 0 to 1.
        """
        if self.state is GuardState.ON_TRIAL:
            self._fail_trial(now, random_value)

    def min_poll_interval(self) -> float:
        """Return the shortest interval between two polls in seconds; zero unless suspended."""
        if self.state is not GuardState.SUSPENDED:
            return 0.0
        return self._back_off(MIN_SUSPENDED_POLL_INTERVAL_SECONDS, MAX_SUSPENDED_POLL_INTERVAL_SECONDS)

    def _must_suspend(self, now: float) -> bool:
        has_enough_violations = len(self.violations) == VIOLATIONS_TO_SUSPEND
        if has_enough_violations and now - self.violations[0] <= VIOLATION_WINDOW_SECONDS:
            return True
        factor = 1 if self.had_timely_response else STARTUP_SLOW_FACTOR
        return self.consecutive_slow >= factor * SLOW_RESPONSES_TO_SUSPEND

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
        """Return `minimum`, doubled for each failed trial, but at most `maximum`."""
        return min(maximum, minimum * 2 ** min(self.failed_trials, MAX_BACKOFF_DOUBLINGS))
