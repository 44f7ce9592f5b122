"""Timing parameters of a registry watcher."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class WatcherConfig:
    """Timing parameters of a registry watcher.

    On average, a poll interval (0.63 of `max_staleness`), the delay of a standby session (0.33 of it) and the
    handshake of that session (a few ms) fit in `max_staleness`. If all three are long, a failover exceeds the
    bound by at most 0.07 s. Polling more often or switching sooner would burden a service that is slow for
    all of its clients.

    Attributes:
        max_staleness: Greatest age of a confirmation at which the list still counts as fresh, in s.
        min_poll_interval_share: Shortest interval between polls, as a share of `max_staleness`. It is
            used if responses take long. Intervals are random, so that instances that started
            together drift apart.
        max_poll_interval_share: Longest interval between polls, as a share of `max_staleness`.
        min_standby_delay_share: Shortest silence after which a standby session is opened, as a share of
            `max_staleness`. The delay is random, so that during a short stall of the service only
            few instances open one. It applies while the list is within the staleness bound and all
            recent responses were fast.
        max_standby_delay_share: Longest silence after which a standby session is opened, as a share
            of `max_staleness`.
        slow_service_standby_delay: Silence after which a standby session is opened while recent
            responses were slow, in s. It is long, because a service to which all clients have just
            connected is slow for all of them.
        degraded_standby_delay_share: Silence after which a standby session is opened while the
            staleness guarantee is suspended, as a share of `max_staleness`.
        degraded_standby_holdoff: Time after a suspension in which no standby session is opened, in
            s. The lower poll rate may be enough to relieve the service.
        session_timeout: Silence after which a session has failed, in s. It is extended while responses
            are slow.
        snapshot_timeout: Time after which a full read has failed, in s.
        initial_backoff: Upper bound of the first backoff after every member has failed, in s.
        max_backoff: Upper bound of every backoff, in s.
        credentials_backoff: Backoff after every member has rejected the credentials, in s.
        initial_standby_interval: Initial interval in which at most one standby session per other member
            is opened, in s. It doubles with each standby session that is no faster.
        max_standby_interval: Upper bound of that interval, in s.
        late_tick_threshold: Delay of a tick above which the event loop counts as late, in s. Its
            sockets may then hold unread responses, so that silence says nothing about the member.
    """

    max_staleness: float = 0.35
    min_poll_interval_share: float = 0.56
    max_poll_interval_share: float = 0.7
    min_standby_delay_share: float = 0.17
    max_standby_delay_share: float = 0.5
    slow_service_standby_delay: float = 1.5
    degraded_standby_delay_share: float = 0.4
    degraded_standby_holdoff: float = 3.0
    session_timeout: float = 2.0
    snapshot_timeout: float = 5.0
    initial_backoff: float = 0.05
    max_backoff: float = 2.0
    credentials_backoff: float = 2.0
    initial_standby_interval: float = 5.0
    max_standby_interval: float = 60.0
    late_tick_threshold: float = 0.03
