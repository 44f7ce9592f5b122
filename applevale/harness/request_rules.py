"""Check of what the clients and engines of one run saw against the rules on requests."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import pairwise
from math import inf

from ..fakes.client_pool import ClientPool
from ..fakes.engine import FakeEngine

NO_OVERLAP = (inf, -inf)


def count_violations(
    clients: ClientPool, engines: Iterable[FakeEngine], overlap: tuple[float, float] = NO_OVERLAP
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
    answers = clients.stats()
    violations: Counter = Counter()
    violations["loads_twice"] = sum(len(times) > 1 for times in loads.values())
    violations["order_breaks"] = _count_order_violations(clients, loads, overlap)
    violations["lost_requests"] = answers["lost"]
    violations["answered_twice"] = answers["twice"]
    return violations


def _load_arrivals(engines: Iterable[FakeEngine]) -> dict[str, list[float]]:
    """Return the arrival times of each `load` by the id of its request."""
    loads: dict[str, list[float]] = defaultdict(list)
    for engine in engines:
        for arrival in engine.arrivals:
            if arrival.class_name == b"load":
                loads[arrival.request_id.decode()].append(arrival.received_at)
    return loads


def _count_order_violations(
    clients: ClientPool, loads: dict[str, list[float]], overlap: tuple[float, float]
) -> int:
    """Return how many loads reached an engine before one of the same key that was sent earlier."""
    overlap_start, overlap_end = overlap
    arrivals_by_key: dict[tuple[int, bool], list[float]] = defaultdict(list)
    for sent in clients.sent:
        if sent.key and sent.request_id in loads and not overlap_start <= sent.sent_at <= overlap_end:
            arrivals_by_key[sent.key, sent.sent_at > overlap_end].append(loads[sent.request_id][0])
    return sum(later < former for times in arrivals_by_key.values() for former, later in pairwise(times))
