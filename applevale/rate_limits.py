"""Token bucket, exponential backoff, a budget of extra events and a quota that adapts to events.

They know no request, engine or setting, and none of them reads a clock; rates and limits are passed in.
"""

from __future__ import annotations

from collections import deque


class TokenBucket:
    """Tokens that accumulate at a rate, up to a capacity.

    `level` may be negative: a debt. `updated_at` is the time (s) of the last refill.
    """

    def __init__(self, level: float, updated_at: float):
        """Start with `level` tokens as of `updated_at`."""
        self.level = level
        self.updated_at = updated_at

    def refill(self, now: float, rate: float, capacity: float) -> None:
        """Add `rate` tokens for each second since the last refill, up to `capacity`."""
        gained = rate * max(0.0, now - self.updated_at)
        self.level = min(self.level + gained, capacity)
        self.updated_at = now

    def take(self) -> bool:
        """Take one token if there is one; return whether it was taken."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


class ExponentialBackoff:
    """A delay that doubles up to a limit. `delay` (s) is the next one."""

    def __init__(self, initial: float, limit: float):
        """Start with a delay of `initial` seconds."""
        self.initial = initial
        self.limit = limit
        self.delay = initial

    @property
    def is_initial(self) -> bool:
        """Whether the next delay is the first one."""
        return self.delay == self.initial

    def advance(self) -> float:
        """Return the present delay, and double the next one."""
        delay = self.delay
        self.delay = min(self.delay * 2, self.limit)
        return delay

    def reset(self) -> None:
        """Begin again with the first delay."""
        self.delay = self.initial


class RatioBudget:
    """Limits extra events to a share of the ordinary ones, both within a sliding window."""

    def __init__(self, span: float, share: float | None, allowance: float):
        """Allow for a share of the ordinary events and an allowance; None as share sets no limit.

        The window is `span` seconds long.
        """
        self.span = span
        self.share = share
        self.allowance = allowance
        self.ordinary: deque[float] = deque()
        self.extra: deque[float] = deque()

    def record_ordinary(self, now: float) -> None:
        """Record an ordinary event."""
        self.ordinary.append(now)
        for times in (self.ordinary, self.extra):
            while times and times[0] <= now - self.span:
                times.popleft()

    def record_extra(self, now: float) -> None:
        """Record an extra event."""
        self.extra.append(now)

    def allows_extra(self, now: float) -> bool:
        """Return whether one more extra event stays within the budget."""
        if self.share is None:
            return True
        start = now - self.span
        extra = sum(at > start for at in self.extra)
        ordinary = sum(at > start for at in self.ordinary)
        return extra + 1 <= self.allowance + self.share * ordinary


class AdaptiveQuota:
    """A quota that is refilled in each window, to the events of the last window and a base.

    `missed` counts the events of this window that were not paid for.
    """

    def __init__(self, window: float, base: float):
        """Let a window last for `window` seconds; begin with a quota of `base`."""
        self.window = window
        self.base = base
        self.quota = base
        self.events = 0
        self.missed = 0
        self.next_refill = 0.0

    def refill(self, now: float) -> None:
        """Begin a new window, if the last one is over at `now` (s)."""
        if now >= self.next_refill:
            self.next_refill = now + self.window
            self.quota = self.events + self.base
            self.events = 0
            self.missed = 0

    def record(self, now: float, is_missed: bool) -> None:
        """Take in an event."""
        self.refill(now)
        self.events += 1
        self.missed += is_missed

    def spend(self, price: float) -> bool:
        """Pay a price, if the quota allows for it; return whether it does."""
        if self.quota < price:
            return False
        self.quota -= price
        return True
