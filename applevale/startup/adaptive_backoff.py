"""A place in line at a service that many call: full jitter in a window that learns. No I/O, no clock.

Nobody tells an instance how many others there are; what it sees are slow and refused answers. Invariants:

- Alone at a quick service it never waits: the window is 0 until an answer was slow or refused.
- Each wait is drawn anew over the whole window, so that what happened to all at once does not happen again.
- What a refusal asks for (`Retry-After`) is waited at least, and the window comes on top of it: all were told
  the same.
"""

from __future__ import annotations

from dataclasses import dataclass

SLOW = 0.1  # s from which an answer to a short read counts as slow
IN_A_ROW = 2  # slow answers that widen the window: one may be a fault of the way there
TIMES = 4.0  # the window over the latency of a slow answer
LEAST, MOST = 0.25, 4.0  # s


@dataclass
class Line:
    window: float = 0.0  # s
    slow: int = 0  # answers in a row

    def answered(self, took: float) -> None:
        """An answer after `took` s."""
        self.slow = self.slow + 1 if took > SLOW else 0
        if self.slow >= IN_A_ROW:
            self._widen(TIMES * took)
        elif not self.slow:
            self.window = self.window / 2 if self.window > LEAST else 0.0

    def refused(self) -> None:
        self._widen(LEAST)

    def _widen(self, least: float) -> None:
        self.window = min(MOST, max(2 * self.window, least))

    def wait(self, draw: float, after: float = 0.0) -> float:
        """s until the next call; `draw` is random from 0 to 1, `after` what the refusal asked for."""
        return after + draw * self.window
