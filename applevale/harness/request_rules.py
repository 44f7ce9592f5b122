"""Checks of the requests of a run: none lost, answered twice, executed twice or out of order."""

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
    """Return how often each request rule was violated in a run.

    Args:
        clients: The clients of the run, with all requests that they sent.
        engines: All engines that may have executed these requests.
        overlap: Start and end, by the event loop's clock, of the period in which two processes served the
            clients. Order is guaranteed among the requests that one process accepted, but not across
            processes. So requests sent in this period are not compared, and requests sent after it are
            compared only with each other.
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
    """Return the times at which engines received each load, by request id."""
    loads: dict[str, list[float]] = defaultdict(list)
    for engine in engines:
        for arrival in engine.arrivals:
            if arrival.class_name == b"load":
                loads[arrival.request_id.decode()].append(arrival.received_at)
    return loads


def _count_order_violations(
    clients: ClientPool, loads: dict[str, list[float]], overlap: tuple[float, float]
) -> int:
    """Return how many loads reached an engine before an earlier one of the same order key."""
    overlap_start, overlap_end = overlap
    arrivals_by_key: dict[tuple[int, bool], list[float]] = defaultdict(list)
    for sent in clients.sent_requests:
        if sent.key and sent.request_id in loads and not overlap_start <= sent.sent_at <= overlap_end:
            arrivals_by_key[sent.key, sent.sent_at > overlap_end].append(loads[sent.request_id][0])
    return sum(later < former for times in arrivals_by_key.values() for former, later in pairwise(times))
