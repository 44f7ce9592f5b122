"""The clock of decisions: the system's Unix clock, without its steps back."""

from __future__ import annotations

import time
from collections.abc import Callable


class UnixClock:
    """Unix time in seconds, as engines state their start times; it never goes back.

    Attributes:
        latest: The time that was returned last; 0 before the first call.
    """

    __slots__ = ("_read", "latest")

    def __init__(self, read: Callable[[], float] = time.time):
        """Read the time by `read`."""
        self.latest = 0.0
        self._read = read

    def now(self) -> float:
        """Return the time, or the latest one again if the system's clock was set back."""
        self.latest = max(self.latest, self._read())
        return self.latest
