"""The clock of the admission controller: Unix time that never goes back."""

from __future__ import annotations

import time
from collections.abc import Callable


class UnixClock:
    """Unix time in seconds, the time scale of the start times of engines; it never goes back.

    Attributes:
        latest: The time returned by the last call; 0 before the first one.
    """

    __slots__ = ("_read", "latest")

    def __init__(self, read: Callable[[], float] = time.time):
        """Create a clock that reads the system time with `read`."""
        self.latest = 0.0
        self._read = read

    def now(self) -> float:
        """Return the time, or `latest` again while the system clock is behind it."""
        self.latest = max(self.latest, self._read())
        return self.latest
