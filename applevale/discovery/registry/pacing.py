"""Timing of the requests of a registry watcher: polls, backoff and timeouts.

No I/O and no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from ...startup.adaptive_backoff import AdaptiveBackoff
from ...startup.latency import LatencyEstimator
from ...startup.staleness_guard import GuardState, StalenessGuard
from .watcher_config import WatcherConfig

FAST_RESPONSE_STREAK = 10  # consecutive fast responses after which earlier standby sessions no longer count
LATENESS_PATIENCE_FACTOR = 10.0  # additional patience with a session, as a multiple of the lateness
MIN_POLL_INTERVAL_RATIO = 0.9  # shortest poll interval that is drawn, as a share of the longest
POLL_DEADLINE_SHARE = 0.9  # of `max_staleness`: a poll's response is expected by then
SEVERE_LAPSE_FACTOR = 1.5  # multiple of `max_staleness` that counts as a lapse however fast the response was
STANDBY_LATENCY_FACTOR = 2  # multiple of the high latency that is waited before a standby session is opened
SESSION_LATENCY_FACTOR = 4  # multiple of the high latency after which a silent session has failed
STANDBY_TIMEOUT_FACTOR = 2  # multiple of the patience with the active session
MIN_STANDBY_TIMEOUT_SHARE = 0.4  # of `max_staleness`
MAX_BACKOFF_DOUBLINGS = 20


@dataclass
class RequestPacer:
    """Decides when to send requests and how long to wait for responses. The only user of random numbers.

    Attributes:
        config: Timing parameters.
        random: Source of jitter.
        latency: Recent latency of short reads.
        throttle_backoff: Backoff after throttled and slow responses.
        guard: Whether `max_staleness` can be guaranteed at present.
        fast_responses: Consecutive responses that were fast enough for the guarantee.
    """

    config: WatcherConfig
    random: Random
    latency: LatencyEstimator = field(default_factory=LatencyEstimator)
    throttle_backoff: AdaptiveBackoff = field(default_factory=AdaptiveBackoff)
    guard: StalenessGuard = field(init=False)
    fast_responses: int = 0

    def __post_init__(self) -> None:
        """Allow a response the time that is left between the shortest poll interval and the bound."""
        config = self.config
        self.guard = StalenessGuard(
            response_budget=config.max_staleness * (1 - config.min_poll_interval_share)
        )

    @property
    def is_service_fast(self) -> bool:
        """Whether all recent responses were fast enough for the guarantee."""
        return self.fast_responses >= FAST_RESPONSE_STREAK

    @property
    def is_degraded(self) -> bool:
        """Whether the staleness guarantee is suspended."""
        return self.guard.state is GuardState.SUSPENDED

    def record_response(self, duration: float) -> None:
        """Record a response to a short read that took `duration` seconds."""
        self.latency.record(duration)
        self.throttle_backoff.record_success(duration)
        self.fast_responses = self.fast_responses + 1 if duration <= self.guard.response_budget else 0

    def record_throttled(self, now: float, retry_after: float) -> float:
        """Record a throttled request.

        Args:
            now: Time of the response.
            retry_after: Delay that the member asked for, in s.

        Returns:
            The time from which the request may be repeated.
        """
        self.throttle_backoff.record_throttled()
        self.guard.record_throttled(now, self.random.random())
        return now + self.throttle_backoff.next_delay(self.random.random(), retry_after)

    def record_staleness(self, now: float, duration: float, staleness: float, has_confirmed: bool) -> bool:
        """Let the guard judge a response to a poll.

        A lapse counts where the response was slow, or where so much is missing that requests were throttled.

        Args:
            now: Time of the response.
            duration: How long the response took, in s.
            staleness: Age of the last confirmation, in s.
            has_confirmed: Whether the session has confirmed the list before.

        Returns:
            Whether the guarantee has just been suspended.
        """
        bound = self.config.max_staleness
        is_lapse = (
            has_confirmed
            and staleness > bound
            and (duration > self.guard.response_budget or staleness > SEVERE_LAPSE_FACTOR * bound)
        )
        former_state = self.guard.state
        self.guard.record_response(now, duration, is_lapse, self.random.random())
        return former_state is GuardState.ACTIVE and self.is_degraded

    def reset_latency(self) -> None:
        """Forget the latency, which was that of another member."""
        self.latency = LatencyEstimator()

    def next_poll_at(self, sent_at: float) -> float:
        """Return the time of the poll that follows one sent at `sent_at`."""
        config = self.config
        random_value = self.random.random()
        degraded_interval = self.guard.min_poll_interval()
        if degraded_interval:
            return sent_at + degraded_interval * (0.5 + random_value)
        shortest = config.min_poll_interval_share * config.max_staleness
        longest = config.max_poll_interval_share * config.max_staleness
        # The mean latency counts, not single late responses: to poll more often after each of them would
        # make a busy service slower.
        in_time = config.max_staleness * POLL_DEADLINE_SHARE - self.latency.mean
        longest = max(shortest, min(longest, in_time))
        shortest = max(shortest, MIN_POLL_INTERVAL_RATIO * longest)
        return sent_at + shortest + random_value * (longest - shortest)

    def snapshot_delay(self) -> float:
        """Return how long to wait before a full read: 0 unless the service is slow or throttles."""
        return self.throttle_backoff.next_delay(self.random.random())

    def reconnect_delay(self, failure_count: int) -> float:
        """Return an exponential backoff with full jitter, since all instances may have failed at once."""
        config = self.config
        doublings = min(failure_count, MAX_BACKOFF_DOUBLINGS)
        return min(config.initial_backoff * 2**doublings, config.max_backoff) * self.random.random()

    def credentials_delay(self) -> float:
        """Return the backoff after every member has rejected the credentials."""
        return self.config.credentials_backoff * (0.5 + self.random.random() / 2)

    def standby_patience(self, silence: float, silence_random: float, lateness: float) -> float:
        """Return how long to wait for a response before a standby session is opened.

        Args:
            silence: Time from the last confirmation to the oldest request without an effect, in s.
            silence_random: Random value of that request, from 0 to 1.
            lateness: Recent delay of the own event loop, in s.
        """
        config = self.config
        if self.is_degraded:
            return config.degraded_patience_share * config.max_staleness
        if self.is_service_fast and silence < config.max_staleness:
            shortest = config.min_silence_share
            longest = config.max_silence_share
            drawn = (shortest + silence_random * (longest - shortest)) * config.max_staleness
            return max(drawn, STANDBY_LATENCY_FACTOR * self.latency.upper_bound())
        return config.slow_service_patience + LATENESS_PATIENCE_FACTOR * lateness

    def standby_timeout(self, patience: float) -> float:
        """Return how long a standby session may be silent before it is no better than the active one."""
        shortest = MIN_STANDBY_TIMEOUT_SHARE * self.config.max_staleness
        return max(STANDBY_TIMEOUT_FACTOR * patience, shortest)

    def session_timeout(self) -> float:
        """Return how long the active session may be silent before it has failed."""
        return max(self.config.session_timeout, SESSION_LATENCY_FACTOR * self.latency.upper_bound())
