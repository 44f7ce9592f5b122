"""Decides whether the engine list is recent enough to send new requests by it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from ..observability.counters import Counters
from ..observability.events import emit_event, log_event


class ListFreshness:
    """Time of the last confirmation of the list, and a report when the list becomes stale or fresh.

    A source may tell a drain late, but after a certain time the drain is in force, told or not. A list that
    was confirmed before then does not say which engines may get new requests.

    Attributes:
        max_age: Age up to which the list is fresh, in s.
        counters: Counts how often, and for how many ms, the list was stale.
        on_change: Called with whether the list is fresh, after each change.
        confirmed_at: Time up to which all changes are known, by the event loop's clock, in s.
    """

    def __init__(self, max_age: float, counters: Counters, on_change: Callable[[bool], None]):
        """Create the state of a list that is always fresh; `start` begins to measure its age."""
        self.max_age = max_age
        self.counters = counters
        self.on_change = on_change
        self.confirmed_at = inf
        self._stale_since: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Take the list as confirmed now, and measure its age from now on."""
        self.confirmed_at = asyncio.get_running_loop().time()
        self._schedule_check()

    def stop(self) -> None:
        """Take the list as fresh from now on, since its source is not followed any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.confirmed_at = inf
        self._end_staleness()

    def confirm(self, confirmed_at: float) -> None:
        """Record that all changes up to a time are known, by the event loop's clock, in s."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if self._stale_since is not None and self.is_fresh():
            self._schedule_check()
            self._end_staleness()

    def age(self) -> float:
        """Return the seconds since the last confirmation; 0 if no source is followed."""
        return max(0.0, asyncio.get_running_loop().time() - self.confirmed_at)

    def is_fresh(self) -> bool:
        """Return whether the list is fresh.

        The clock is read anew, so that the result is right after a stall of the event loop too.
        """
        return self.age() <= self.max_age

    def _schedule_check(self) -> None:
        if self.max_age < inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self.confirmed_at + self.max_age, self._check)

    def _check(self) -> None:
        if self.is_fresh():
            self._schedule_check()
        else:
            self._begin_staleness()

    def _begin_staleness(self) -> None:
        self._timer = None
        self._stale_since = asyncio.get_running_loop().time()
        self.counters["list_stale"] += 1
        log_event(
            "staleness",
            f"the engine list was confirmed {self.age():.1f} s ago, its limit is {self.max_age:g} s; "
            "nothing new is sent",
        )
        emit_event("list", confirmed=False)
        self.on_change(False)

    def _end_staleness(self) -> None:
        if self._stale_since is None:
            return
        seconds = asyncio.get_running_loop().time() - self._stale_since
        self._stale_since = None
        self.counters["list_stale_ms"] += int(seconds * 1000)
        log_event("staleness", f"the engine list is confirmed again, after {seconds:.3f} s")
        emit_event("list", confirmed=True, stale=round(seconds, 3))
        self.on_change(True)
