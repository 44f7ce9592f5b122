"""Timing parameters of a registry watcher."""

from __future__ import annotations

from dataclasses import dataclass


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
