"""Timing of a registry watcher: polls, backoff, timeouts and the detection of a late event loop.

No I/O and no clock: callers pass the time. Times and durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

from ...startup.adaptive_backoff import AdaptiveBackoff
from ...startup.latency import LatencyEstimator
from ...startup.staleness_guard import GuardState, StalenessGuard

FAST_RESPONSE_STREAK = 10  # consecutive fast responses after which earlier standby sessions no longer count
LATENESS_DECAY = 0.8  # factor from one tick to the next
LATENESS_PATIENCE_FACTOR = 10.0  # additional patience with a session, as a multiple of the lateness
MAX_GRACE_TICKS = 3  # consecutive late ticks that are each followed by a grace period
MIN_POLL_INTERVAL_RATIO = 0.9  # shortest poll interval that is drawn, as a share of the longest
POLL_DEADLINE_SHARE = 0.9  # of `max_staleness`: a poll's response is expected by then
SEVERE_LAPSE_FACTOR = 1.5  # multiple of `max_staleness` that counts as a lapse however fast the response was
STANDBY_LATENCY_FACTOR = 2  # multiple of the high latency that is waited before a standby session is opened
SESSION_LATENCY_FACTOR = 4  # multiple of the high latency after which a silent session has failed
STANDBY_TIMEOUT_FACTOR = 2  # multiple of the patience with the active session
MIN_STANDBY_TIMEOUT_SHARE = 0.4  # of `max_staleness`
MAX_BACKOFF_DOUBLINGS = 20
MAX_STANDBY_DOUBLINGS = 10


@dataclass(frozen=True)
class WatcherConfig:
    """Timing parameters of a registry watcher.

    A poll, the silence before a standby session and its handshake together fit in `max_staleness` as a
    rule: 0.63 and 0.33 of it, and a few ms. Where all three take long, a failover exceeds the bound by 0.07
    s at most; to poll more often or to switch sooner would burden a service that is slow for all of its
    clients.

    Attributes:
        max_staleness: Age up to which a confirmation of the list counts as fresh, in s.
        min_poll_interval_share: Shortest interval between polls, used where responses take long, as
            a share of `max_staleness`. Intervals are random, so that instances that started
            together drift apart.
        max_poll_interval_share: Longest interval between polls, as a share of `max_staleness`.
        min_silence_share: Shortest time without a response before a standby session is opened, as a
            share of `max_staleness`. It is random, so that a short stall of the service triggers
            few instances, and holds while staleness is bounded and all recent responses were fast.
        max_silence_share: Longest such time, as a share of `max_staleness`.
        slow_service_patience: Time without a response before a standby session is opened, in s,
            while recent responses were slow: a service to which all clients have just connected is
            slow for all of them.
        degraded_patience_share: The same while the staleness guarantee is suspended, as a share of
            `max_staleness`.
        degraded_standby_delay: Time after the suspension in which no standby session is opened, in
            s: the lower poll rate may be enough.
        session_timeout: Time without a response after which a session has failed, in s, unless
            responses are slow.
        snapshot_timeout: Time after which a full read has failed, in s.
        initial_backoff: Upper bound of the first backoff after every member has failed, in s.
        max_backoff: Upper bound of every backoff, in s.
        credentials_backoff: Backoff after every member has rejected the credentials, in s.
        initial_standby_interval: Interval in which at most one standby session per other member is
            opened, in s.
        max_standby_interval: Upper bound of that interval, which grows while standby sessions are
            no faster.
        late_tick_threshold: Delay of a tick, in s, from which responses may lie unread in the
            socket, so that silence proves nothing about the member.
    """

    max_staleness: float = 0.35
    min_poll_interval_share: float = 0.56
    max_poll_interval_share: float = 0.7
    min_silence_share: float = 0.17
    max_silence_share: float = 0.5
    slow_service_patience: float = 1.5
    degraded_patience_share: float = 0.4
    degraded_standby_delay: float = 3.0
    session_timeout: float = 2.0
    snapshot_timeout: float = 5.0
    initial_backoff: float = 0.05
    max_backoff: float = 2.0
    credentials_backoff: float = 2.0
    initial_standby_interval: float = 5.0
    max_standby_interval: float = 60.0
    late_tick_threshold: float = 0.03


@dataclass
class LoopLagMonitor:
    """Detects an event loop that stalled or runs late, so that unread responses are not taken for silence.

    Attributes:
        threshold: Delay of a tick that counts as late, in s.
        grace_until: Time before which silence of a session has no effect.
        last_event_at: Time of the last event of any kind.
        late_ticks: Consecutive late ticks.
        lateness: Recent delay of ticks, decaying, in s.
    """

    threshold: float
    grace_until: float = -inf
    last_event_at: float = -inf
    late_ticks: int = 0
    lateness: float = 0.0

    def record_event(self, now: float) -> None:
        """Record that the driver delivered an event."""
        self.last_event_at = now

    def record_tick(self, now: float, deadline: float) -> None:
        """Record a tick that was due at `deadline`. A deadline before the last event is not late."""
        lateness = now - max(deadline, self.last_event_at)
        self.lateness = max(lateness, LATENESS_DECAY * self.lateness)
        is_late = lateness > self.threshold
        self.late_ticks = self.late_ticks + 1 if is_late else 0
        if is_late and self.late_ticks <= MAX_GRACE_TICKS:
            self.grace_until = now + self.threshold
        self.last_event_at = now

    def is_punctual(self, now: float, period: float) -> bool:
        """Return whether the loop is on time and the last grace period ended over `period` seconds ago."""
        return now - self.grace_until > period and self.lateness <= self.threshold


@dataclass
class StandbyLimiter:
    """Limits how often standby sessions are opened.

    Attributes:
        config: Timing parameters.
        started_at: Times at which the last standby sessions were opened.
        not_faster_count: Consecutive standby sessions that were no faster than the active one.
        failure_count: Consecutive standby sessions that failed and so gave no comparison.
        not_before: End of the backoff after a failed standby session.
    """

    config: WatcherConfig
    started_at: list[float] = field(default_factory=list)
    not_faster_count: int = 0
    failure_count: int = 0
    not_before: float = -inf

    def earliest_start(self, member_count: int) -> float:
        """Return the time from which the next standby session may be opened."""
        config = self.config
        limit = max(1, member_count - 1)
        if len(self.started_at) < limit:
            return self.not_before
        doublings = min(self.not_faster_count, MAX_STANDBY_DOUBLINGS)
        interval = min(config.max_standby_interval, config.initial_standby_interval * 2**doublings)
        return max(self.started_at[-limit] + interval, self.not_before)

    def record_start(self, now: float, member_count: int) -> None:
        """Record that a standby session is being opened."""
        self.started_at = [*self.started_at[-member_count:], now]

    def record_not_faster(self) -> None:
        """Record a standby session that was no faster: the service is slow, not one member."""
        self.not_faster_count += 1

    def record_failure(self, now: float, backoff: float) -> None:
        """Record a standby session that failed. It says nothing about speed and does not count as opened."""
        if self.started_at:
            self.started_at.pop()
        self.not_before = now + backoff
        self.failure_count += 1

    def record_takeover(self) -> None:
        """Record a standby session that was faster and has become the active one."""
        self.not_faster_count = 0
        self.failure_count = 0

    def reset(self) -> None:
        """Forget the past: what made sessions slow, or standby sessions fail, is over."""
        self.record_takeover()
        self.started_at.clear()


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
