"""Rate limits: token bucket, exponential backoff, ratio budget and adaptive quota.

They are independent of requests, engines and settings, and read no clock.
"""

from __future__ import annotations

from collections import deque


class TokenBucket:
    """A token bucket whose rate and capacity may change with each refill.

    Attributes:
        level: Number of tokens; negative for a debt.
        updated_at: Time (s) of the last refill.
    """

    def __init__(self, level: float, updated_at: float):
        """Create a bucket with `level` tokens at the time `updated_at` (s)."""
        self.level = level
        self.updated_at = updated_at

    def refill(self, now: float, rate: float, capacity: float) -> None:
        """Add `rate` tokens per second since the last refill, up to `capacity` tokens."""
        gained = rate * max(0.0, now - self.updated_at)
        self.level = min(self.level + gained, capacity)
        self.updated_at = now

    def take(self) -> bool:
        """Take one token, if there is one; return whether it was taken."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


class ExponentialBackoff:
    """A delay that doubles with each use, up to a limit.

    Attributes:
        delay: The next delay, in seconds.
    """

    def __init__(self, initial: float, limit: float):
        """Create a backoff from its first and its longest delay, in seconds."""
        self.initial = initial
        self.limit = limit
        self.delay = initial

    @property
    def is_initial(self) -> bool:
        """Whether the next delay is the first one after a reset."""
        return self.delay == self.initial

    def advance(self) -> float:
        """Return the next delay (s), and double the one after it."""
        delay = self.delay
        self.delay = min(self.delay * 2, self.limit)
        return delay

    def reset(self) -> None:
        """Make the next delay the first one."""
        self.delay = self.initial


class RatioBudget:
    """Limits extra events to a share of the ordinary events in a sliding window.

    Attributes:
        ordinary: Times (s) of ordinary events.
        extra: Times (s) of extra events.
    """

    def __init__(self, span: float, share: float | None, allowance: float):
        """Create a budget without events.

        Args:
            span: Length of the window, in seconds.
            share: Extra events per ordinary event; None means no limit.
            allowance: Extra events that are allowed in addition.
        """
        self.span = span
        self.share = share
        self.allowance = allowance
        self.ordinary: deque[float] = deque()
        self.extra: deque[float] = deque()

    def record_ordinary(self, now: float) -> None:
        """Record an ordinary event at `now` (s)."""
        self.ordinary.append(now)
        for times in (self.ordinary, self.extra):
            while times and times[0] <= now - self.span:
                times.popleft()

    def record_extra(self, now: float) -> None:
        """Record an extra event at `now` (s)."""
        self.extra.append(now)

    def allows_extra(self, now: float) -> bool:
        """Return whether the budget allows another extra event at `now` (s)."""
        if self.share is None:
            return True
        start = now - self.span
        extra = sum(at > start for at in self.extra)
        ordinary = sum(at > start for at in self.ordinary)
        return extra + 1 <= self.allowance + self.share * ordinary


class AdaptiveQuota:
    """A quota that is reset in each window to the number of events in the last window plus a base.

    Attributes:
        quota: Remaining quota.
        events: Number of events in this window.
        missed: Number of those events that were not predicted.
        next_refill: Time (s) at which the next window may start.
    """

    def __init__(self, window: float, base: float):
        """Create a quota of `base`, with windows of `window` seconds."""
        self.window = window
        self.base = base
        self.quota = base
        self.events = 0
        self.missed = 0
        self.next_refill = 0.0

    def refill(self, now: float) -> None:
        """Start a new window if the last one has ended by `now` (s)."""
        if now >= self.next_refill:
            self.next_refill = now + self.window
            self.quota = self.events + self.base
            self.events = 0
            self.missed = 0

    def record(self, now: float, is_missed: bool) -> None:
        """Record an event at `now` (s)."""
        self.refill(now)
        self.events += 1
        self.missed += is_missed

    def spend(self, cost: float) -> bool:
        """Deduct a cost if the quota suffices; return whether it was deducted."""
        if self.quota < cost:
            return False
        self.quota -= cost
        return True
