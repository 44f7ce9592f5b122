"""Timing of a registry watcher's requests: polls, backoff and timeouts.

The module does no I/O and reads no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from ...startup.adaptive_backoff import AdaptiveBackoff
from ...startup.latency import LatencyEstimator
from ...startup.staleness_guard import GuardState, StalenessGuard
from .watcher_config import WatcherConfig

MIN_CONSECUTIVE_FAST_RESPONSES = 10  # Fast responses after which the service counts as fast.
STANDBY_DELAY_PER_LATENESS = 10.0  # Seconds of extra standby delay per second of event loop lateness.
MIN_POLL_INTERVAL_RATIO = 0.9  # Lowest ratio of the shortest to the longest poll interval.
POLL_DEADLINE_SHARE = 0.9  # Share of `max_staleness` within which the response to a poll is expected.
SEVERE_STALENESS_FACTOR = 1.5  # Beyond this multiple of `max_staleness`, even fast responses are violations.
STANDBY_DELAY_PER_LATENCY = 2  # Least standby delay, as a multiple of the latency's upper bound.
SESSION_TIMEOUT_PER_LATENCY = 4  # Least session timeout, as a multiple of the latency's upper bound.
STANDBY_TIMEOUT_PER_DELAY = 2  # Standby timeout, as a multiple of the standby delay.
MIN_STANDBY_TIMEOUT_SHARE = 0.4  # Least standby timeout, as a share of `max_staleness`.
MAX_BACKOFF_DOUBLINGS = 20


@dataclass
class RequestPacer:
    """Decides when to send requests and how long to wait for responses.

    It owns the watcher's only random source.

    Attributes:
        config: Timing parameters.
        random: Source of all jitter.
        latency: Recent latency of short reads.
        throttle_backoff: Backoff after throttled and slow responses.
        guard: Whether `max_staleness` can be guaranteed at present.
        consecutive_fast: Consecutive responses that were fast enough for the guarantee.
    """

    config: WatcherConfig
    random: Random
    latency: LatencyEstimator = field(default_factory=LatencyEstimator)
    throttle_backoff: AdaptiveBackoff = field(default_factory=AdaptiveBackoff)
    guard: StalenessGuard = field(init=False)
    consecutive_fast: int = 0

    def __post_init__(self) -> None:
        """Derive the response budget: what `max_staleness` leaves after the shortest poll interval."""
        config = self.config
        self.guard = StalenessGuard(
            response_budget=config.max_staleness * (1 - config.min_poll_interval_share)
        )

    @property
    def are_responses_fast(self) -> bool:
        """Whether all recent responses were fast enough for the guarantee."""
        return self.consecutive_fast >= MIN_CONSECUTIVE_FAST_RESPONSES

    @property
    def is_degraded(self) -> bool:
        """Whether the guard has suspended the staleness guarantee."""
        return self.guard.state is GuardState.SUSPENDED

    def record_response(self, duration: float) -> None:
        """Record a response to a short read that took `duration` seconds."""
        self.latency.record(duration)
        self.throttle_backoff.record_success(duration)
        self.consecutive_fast = self.consecutive_fast + 1 if duration <= self.guard.response_budget else 0

    def record_throttled(self, now: float, retry_after: float) -> float:
        """Record a throttled request and compute its backoff.

        Args:
            now: Time of the response.
            retry_after: Delay that the member asked for, in s.

        Returns:
            Earliest time at which the request may be repeated.
        """
        self.throttle_backoff.record_throttled()
        self.guard.record_throttled(now, self.random.random())
        return now + self.throttle_backoff.next_delay(self.random.random(), retry_after)

    def record_staleness(self, now: float, duration: float, staleness: float, has_confirmed: bool) -> bool:
        """Report a response to a poll, and the staleness of the list at that time, to the guard.

        Staleness beyond the bound is a violation if the response was slow. After a fast response it is one
        only if the bound was exceeded by so much that requests must have been throttled.

        Args:
            now: Time of the response.
            duration: Time from the poll to the response, in s.
            staleness: Age of the last confirmation, in s.
            has_confirmed: Whether the session has confirmed the list before.

        Returns:
            Whether this response has suspended the guarantee.
        """
        bound = self.config.max_staleness
        is_violation = (
            has_confirmed
            and staleness > bound
            and (duration > self.guard.response_budget or staleness > SEVERE_STALENESS_FACTOR * bound)
        )
        previous_state = self.guard.state
        self.guard.record_response(now, duration, is_violation, self.random.random())
        return previous_state is GuardState.ACTIVE and self.is_degraded

    def reset_latency(self) -> None:
        """Forget the measured latency, which belongs to another member."""
        self.latency = LatencyEstimator()

    def next_poll_at(self, sent_at: float) -> float:
        """Return the time of the next poll after one that was sent at `sent_at`."""
        config = self.config
        random_value = self.random.random()
        degraded_interval = self.guard.min_poll_interval()
        if degraded_interval:
            return sent_at + degraded_interval * (0.5 + random_value)
        shortest = config.min_poll_interval_share * config.max_staleness
        longest = config.max_poll_interval_share * config.max_staleness
        # The mean is used rather than an upper bound: polling more often after each single late response
        # would slow down a busy service further.
        timely_interval = config.max_staleness * POLL_DEADLINE_SHARE - self.latency.mean
        longest = max(shortest, min(longest, timely_interval))
        shortest = max(shortest, MIN_POLL_INTERVAL_RATIO * longest)
        return sent_at + shortest + random_value * (longest - shortest)

    def snapshot_delay(self) -> float:
        """Return the delay before a full read, in s; 0 unless the service is slow or throttles requests."""
        return self.throttle_backoff.next_delay(self.random.random())

    def reconnect_delay(self, failure_count: int) -> float:
        """Return the backoff after `failure_count` earlier failures, in s.

        It is exponential with full jitter, since all instances may have lost the service at the same time.
        """
        config = self.config
        doublings = min(failure_count, MAX_BACKOFF_DOUBLINGS)
        return min(config.initial_backoff * 2**doublings, config.max_backoff) * self.random.random()

    def credentials_delay(self) -> float:
        """Return the backoff after every member has rejected the credentials, in s."""
        return self.config.credentials_backoff * (0.5 + self.random.random() / 2)

    def standby_delay(self, silence: float, random_value: float, lateness: float) -> float:
        """Return how long the active session may be silent before a standby session is opened, in s.

        Args:
            silence: Time from the last confirmation to the oldest poll that has confirmed nothing, in s.
            random_value: Random number of the last poll, from 0 to 1.
            lateness: Recent delay of this process's event loop, in s.
        """
        config = self.config
        if self.is_degraded:
            return config.degraded_standby_delay_share * config.max_staleness
        if self.are_responses_fast and silence < config.max_staleness:
            shortest = config.min_standby_delay_share
            longest = config.max_standby_delay_share
            randomized = (shortest + random_value * (longest - shortest)) * config.max_staleness
            return max(randomized, STANDBY_DELAY_PER_LATENCY * self.latency.upper_bound())
        return config.slow_service_standby_delay + STANDBY_DELAY_PER_LATENESS * lateness

    def standby_timeout(self, standby_delay: float) -> float:
        """Return how long a standby session may be silent before it counts as no faster, in s.

        Args:
            standby_delay: How long the active session was silent when the standby session was due, in s.
        """
        shortest = MIN_STANDBY_TIMEOUT_SHARE * self.config.max_staleness
        return max(STANDBY_TIMEOUT_PER_DELAY * standby_delay, shortest)

    def session_timeout(self) -> float:
        """Return how long the active session may be silent before it counts as failed, in s."""
        return max(self.config.session_timeout, SESSION_TIMEOUT_PER_LATENCY * self.latency.upper_bound())
