"""Drains of engines: when each was committed, and for how long new requests still arrived after it."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf

MAX_DRAIN_LAG_SECONDS = 0.5  # from a drain's commit to the last new request at that engine


@dataclass(frozen=True)
class ListingChange:
    """A committed change of an entry in the list of engines.

    Attributes:
        committed_at: Time of the commit, in seconds.
        key: The entry's key.
        ready_address: The engine, if it is listed as ready from then on; None if it is not.
    """

    committed_at: float
    key: str
    ready_address: str | None


@dataclass(frozen=True)
class Drain:
    """A drain or deletion of an engine.

    Attributes:
        committed_at: Time of its commit, in seconds.
        last_arrival: The last new request after it that reached the engine before it was listed as ready
            again; where there was none, `committed_at`.
        address: The engine.
    """

    committed_at: float
    last_arrival: float
    address: str

    @property
    def lag(self) -> float:
        """Seconds for which new requests still arrived."""
        return self.last_arrival - self.committed_at


class _DrainTracker:
    """Follows the changes of a list of engines, and collects the drains that have ended."""

    def __init__(self, arrivals: Mapping[str, Sequence[float]]):
        self.arrivals = arrivals
        self.ready_addresses: dict[str, str] = {}  # by key
        self.open_drains: dict[str, float] = {}  # times of the commits, by address
        self.ended: list[Drain] = []

    def apply(self, change: ListingChange) -> None:
        """Begin and end drains as a change says."""
        former = self.ready_addresses.pop(change.key, None)
        is_drain = former is not None and former != change.ready_address
        if is_drain and former not in self.ready_addresses.values():
            self.open_drains.setdefault(former, change.committed_at)
        if change.ready_address is not None:
            self.end_drain(change.ready_address, change.committed_at)
            self.ready_addresses[change.key] = change.ready_address

    def end_drain(self, address: str, until: float) -> None:
        """End the drain of an engine, if there is one, and look for the last arrival up to `until`."""
        committed_at = self.open_drains.pop(address, None)
        if committed_at is None:
            return
        times = self.arrivals.get(address, ())
        count = bisect_right(times, until)
        last_arrival = times[count - 1] if count else committed_at
        self.ended.append(Drain(committed_at, max(committed_at, last_arrival), address))


def find_drains(changes: Iterable[ListingChange], arrivals: Mapping[str, Sequence[float]]) -> list[Drain]:
    """Return all drains and deletions, in the order in which they ended.

    Args:
        changes: The changes of the list, in the order of their commits.
        arrivals: The ascending times at which requests reached each engine, by its address, in seconds of the
            same clock.
    """
    tracker = _DrainTracker(arrivals)
    for change in changes:
        tracker.apply(change)
    for address in list(tracker.open_drains):
        tracker.end_drain(address, inf)
    return tracker.ended
