"""Finds drains of engines: when each was committed and for how long new requests still arrived."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf

MAX_DRAIN_LAG_SECONDS = 0.5  # maximum time from the commit of a drain to the engine's last new request


@dataclass(frozen=True)
class ListingChange:
    """A committed change of an entry in the engine list.

    Attributes:
        committed_at: Time of the commit, in seconds.
        key: The key of the entry.
        ready_address: The engine's address if it is listed as ready after the change, otherwise None.
    """

    committed_at: float
    key: str
    ready_address: str | None


@dataclass(frozen=True)
class Drain:
    """A drain or deletion of an engine.

    Attributes:
        committed_at: Time of its commit, in seconds.
        last_arrival: Arrival of the last new request that reached the engine after the commit and before the
            engine was listed as ready again, in seconds; `committed_at` if there was none.
        address: The address of the engine.
    """

    committed_at: float
    last_arrival: float
    address: str

    @property
    def lag(self) -> float:
        """Time for which new requests still arrived after the commit, in seconds."""
        return self.last_arrival - self.committed_at


class _DrainTracker:
    """Follows the changes of an engine list and collects the drains that have ended.

    Attributes:
        ready_addresses: The address of each entry that is listed as ready, by key.
        open_drains: Commit time of each drain that has not ended, by address.
    """

    def __init__(self, arrivals: Mapping[str, Sequence[float]]):
        self.arrivals = arrivals
        self.ready_addresses: dict[str, str] = {}
        self.open_drains: dict[str, float] = {}
        self.ended: list[Drain] = []

    def apply(self, change: ListingChange) -> None:
        """Start and end drains according to a change."""
        previous_address = self.ready_addresses.pop(change.key, None)
        is_drain = previous_address is not None and previous_address != change.ready_address
        if is_drain and previous_address not in self.ready_addresses.values():
            self.open_drains.setdefault(previous_address, change.committed_at)
        if change.ready_address is not None:
            self.end_drain(change.ready_address, change.committed_at)
            self.ready_addresses[change.key] = change.ready_address

    def end_drain(self, address: str, until: float) -> None:
        """End the drain of an engine, if there is one, with the last arrival up to `until`."""
        committed_at = self.open_drains.pop(address, None)
        if committed_at is None:
            return
        times = self.arrivals.get(address, ())
        count = bisect_right(times, until)
        last_arrival = times[count - 1] if count else committed_at
        self.ended.append(Drain(committed_at, max(committed_at, last_arrival), address))


def find_drains(changes: Iterable[ListingChange], arrivals: Mapping[str, Sequence[float]]) -> list[Drain]:
    """Return all drains and deletions of engines, in the order of their ends.

    Args:
        changes: The changes of the list, in commit order.
        arrivals: Arrival times of requests by engine address, ascending, in seconds of the same clock as the
            commits.
    """
    tracker = _DrainTracker(arrivals)
    for change in changes:
        tracker.apply(change)
    for address in list(tracker.open_drains):
        tracker.end_drain(address, inf)
    return tracker.ended
