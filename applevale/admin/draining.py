"""How clients are sent away: what a drain does with new requests and with connections, by when it began.

Invariants: a drain never cuts off what is owed; it lasts until it is ended, however often it is begun, and
the first time named for its end of taking requests holds; its answers depend on the given times alone. No
I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

# s from an operator's call on that requests are still taken. Guards the promise that 4 s after the call no
# connection is held with a request of the last 2 s: one whose requests overlap is never owed nothing.
TAKES = 1.75
# s in which the first request of a new connection may still be on its way.
CROSSING = 0.25


@dataclass
class Drain:
    until: float = inf  # by the loop's clock: new requests are taken before that; inf: there is no drain

    @property
    def on(self) -> bool:
        return self.until < inf

    def begin(self, until: float) -> None:
        self.until = min(self.until, until)

    def end(self) -> None:
        self.until = inf

    def refuses(self, now: float) -> bool:
        """Whether a request that comes now is turned away at once."""
        return now >= self.until

    def closes(self, owed: bool, pending: bool) -> bool:
        """Whether a connection is closed: never over what is owed on it or has begun to come."""
        return self.on and not (owed or pending)

    def wait(self, accepted: float, now: float) -> float:
        """s from now until a connection that has said nothing, accepted then, is looked at."""
        return max(0.0, accepted + CROSSING - now)
