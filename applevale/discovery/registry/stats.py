"""Statistics of a registry watcher."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class WatcherStats:
    """Counts of events since the start. Each field is exported as the counter `registry_NAME`.

    Attributes:
        full_reads: Snapshots that replaced the list.
        resumes: Sessions that continued an earlier session's list.
        breaks: Sessions that broke or could not be established.
        stalls: Sessions that ended because they were silent.
        compactions: Watches that could not continue because their revisions were compacted.
        lagging: Sessions that ended because their member returned an older state.
        restored: Snapshots that showed that the registry had been restored.
        refused: Sessions that ended because their credentials were rejected.
        duplicates: Events that were delivered again.
        gaps: Watches that delivered events out of order.
        declined: Throttled requests.
        trials: Standby sessions that were opened.
        slow_for_all: Standby sessions that were no faster than the active one.
        given_up: Suspensions of the staleness guarantee.
    """

    full_reads: int = 0
    resumes: int = 0
    breaks: int = 0
    stalls: int = 0
    compactions: int = 0
    lagging: int = 0
    restored: int = 0
    refused: int = 0
    duplicates: int = 0
    gaps: int = 0
    declined: int = 0
    trials: int = 0
    slow_for_all: int = 0
    given_up: int = 0
