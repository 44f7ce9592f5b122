"""Check of what the clients and engines of one run saw against the rules on requests."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from math import inf

from ..fakes.clients import Clients
from ..fakes.engine import StandinEngine

NO_OVERLAP = (inf, -inf)


def count_violations(
    clients: Clients, engines: Iterable[StandinEngine], overlap: tuple[float, float] = NO_OVERLAP
) -> Counter:
    """Return how often each rule on requests was violated in a run.

    Args:
        clients: The clients of the run, with all that they sent.
        engines: The engines that may have executed their requests.
        overlap: Start and end, by the event loop's clock, of the time in which two processes shared the
            clients. Each process keeps the order of what it accepted itself, and none is guaranteed across
            the two: requests sent in this time are not compared, and those sent after it are compared
            with each other only.
    """
    loads = _load_arrivals(engines)
    answers = clients.figures()
    violations: Counter = Counter()
    violations["loads_twice"] = sum(len(times) > 1 for times in loads.values())
    violations["order_breaks"] = _count_order_violations(clients, loads, overlap)
    violations["lost_requests"] = answers["lost"]
    violations["answered_twice"] = answers["twice"]
    return violations


def _load_arrivals(engines: Iterable[StandinEngine]) -> dict[str, list[float]]:
    """Return the arrival times of each `load` by the id of its request."""
    loads: dict[str, list[float]] = defaultdict(list)
    for engine in engines:
        for arrival in engine.arrivals:
            if arrival.lane == b"load":
                loads[arrival.ref.decode()].append(arrival.at)
    return loads


def _count_order_violations(
    clients: Clients, loads: dict[str, list[float]], overlap: tuple[float, float]
) -> int:
    """Return how many loads reached an engine before one of the same key that was sent earlier."""
    overlap_start, overlap_end = overlap
    arrivals_by_key: dict[tuple[int, bool], list[float]] = defaultdict(list)
    for sent in clients.sent:
        if sent.key and sent.ref in loads and not overlap_start <= sent.at <= overlap_end:
            arrivals_by_key[sent.key, sent.at > overlap_end].append(loads[sent.ref][0])
    return sum(
        later < former for times in arrivals_by_key.values() for former, later in zip(times, times[1:])
    )
