"""Observations of a run of the operations harness, and the checks on them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from ...fakes.client_pool import ANSWER_SERVED, METHOD_LOOKUP, SentRequest
from ...fakes.engine import AttemptArrival
from ..request_rules import count_violations
from .environment import OperationsEnvironment

MAX_CUT_REQUESTS = 2  # in an upgrade
METRICS_TOLERANCE_SHARE = 0.01
METRICS_TOLERANCE_REQUESTS = 3  # the larger of the two tolerances applies


def answered_all(counters: dict) -> bool:
    """Return whether a process answered every request that it accepted, by its own counters.

    A request that arrived while an idle connection was being closed was never accepted; its client sends it
    again.
    """
    accepted = sum(count for name, count in counters.items() if name.startswith("taken_"))
    answered = sum(count for name, count in counters.items() if name.startswith("answered_"))
    return accepted == answered and not counters.get("clients_gone")


def cut_requests(sent_requests: Iterable[SentRequest]) -> int:
    """Return how many requests lost their connection before they were answered."""
    return sum(sent.disconnected_at > 0 for sent in sent_requests)


def served_lookups(sent_requests: Iterable[SentRequest]) -> int:
    """Return how many lookups were served, with a single answer each."""
    return sum(sent.answers == [ANSWER_SERVED] and sent.method == METHOD_LOOKUP for sent in sent_requests)


def arrivals_between(arrivals: Iterable[AttemptArrival], start: float, end: float) -> int:
    """Return how many attempts an engine received between `start` and `end`, by the engine's clock."""
    return sum(start < arrival.received_at < end for arrival in arrivals)


@dataclass
class Observations:
    """What the script observed.

    Times are in seconds, by the clock of the engines unless another one is named.

    Attributes:
        first_ready: Whether the first process became ready in time.
        ejection_confirmed: Whether the first ejection was accepted.
        ejected_from: Time from which the engine ejected first may receive no new attempt.
        unknown_engine_status: HTTP status of the ejection of an engine that does not exist.
        ready_status_in_drain: HTTP status of `/ready` during the drain.
        undrained: Whether the first process became ready in time after the drain.
        metrics_served: Served lookups by the metrics of the first process; -1 if it reported none.
        clients_served: Served lookups by the clients' own count at the same time.
        overlap_start: When both processes began to run, by the event loop's clock.
        overlap_end: When the first process had ended, by the event loop's clock.
        second_ready: Whether the second process became ready in time.
        late_ejection_confirmed: Whether the ejection during the upgrade was accepted.
        late_ejected_from: Time from which the engine ejected during the upgrade may receive no new attempt.
        first_exit_code: Exit code of the first process.
        cut_in_upgrade: Requests whose connection was cut in the upgrade.
        enabled_at: When the engine ejected first was enabled.
        late_enabled_at: When the engine ejected during the upgrade was enabled.
        attempts_to_ejected: Attempts that the engine ejected first received while ejected.
        attempts_to_late_ejected: Attempts that the engine ejected during the upgrade received while ejected.
        attempts_after_enable: Attempts that the engine ejected first received after it was enabled.
        cut_after_execution: Requests whose connection was cut after an engine had received them.
        first_counters: Last counters of the first process.
        second_counters: Last counters of the second process.
        violations: Counts of violated request rules.
        client_figures: Counts of the clients.
    """

    first_ready: bool = False
    ejection_confirmed: bool = False
    ejected_from: float = 0.0
    unknown_engine_status: int = 0
    ready_status_in_drain: int = 0
    undrained: bool = False
    metrics_served: int = 0
    clients_served: int = 0
    overlap_start: float = 0.0
    overlap_end: float = 0.0
    second_ready: bool = False
    late_ejection_confirmed: bool = False
    late_ejected_from: float = 0.0
    first_exit_code: int | None = None
    cut_in_upgrade: int = 0
    enabled_at: float = 0.0
    late_enabled_at: float = 0.0
    attempts_to_ejected: int = 0
    attempts_to_late_ejected: int = 0
    attempts_after_enable: int = 0
    cut_after_execution: int = 0
    first_counters: dict = field(default_factory=dict)
    second_counters: dict = field(default_factory=dict)
    violations: Counter = field(default_factory=Counter)
    client_figures: Counter = field(default_factory=Counter)

    @property
    def unanswered(self) -> int:
        """Number of lost requests, without those whose connection was cut."""
        return self.client_figures["lost"] - self.client_figures["cut"]

    @property
    def are_metrics_accurate(self) -> bool:
        """Whether the metrics agree with the clients' own count, within the tolerance."""
        tolerance = max(METRICS_TOLERANCE_REQUESTS, METRICS_TOLERANCE_SHARE * self.clients_served)
        return abs(self.metrics_served - self.clients_served) <= tolerance

    def add_requests(self, environment: OperationsEnvironment, ejected: int, late_ejected: int) -> None:
        """Evaluate what engines and clients recorded over the whole run.

        Args:
            environment: The engines and the clients.
            ejected: Index of the engine ejected first.
            late_ejected: Index of the engine ejected during the upgrade.
        """
        engines = environment.engines
        clients = environment.clients
        arrivals = engines[ejected].arrivals
        self.attempts_to_ejected = arrivals_between(arrivals, self.ejected_from, self.enabled_at)
        self.attempts_to_late_ejected = arrivals_between(
            engines[late_ejected].arrivals, self.late_ejected_from, self.late_enabled_at
        )
        self.attempts_after_enable = sum(arrival.received_at > self.enabled_at for arrival in arrivals)
        executed = {arrival.request_id.decode() for engine in engines for arrival in engine.arrivals}
        self.cut_after_execution = cut_requests(
            sent for sent in clients.sent_requests if sent.request_id in executed
        )
        overlap = (self.overlap_start, self.overlap_end)
        self.violations = count_violations(clients, engines, overlap)
        self.client_figures = clients.stats()

    def checks(self) -> dict[str, bool]:
        """Return whether each check holds, by its name in the result."""
        return {
            "first_ready": self.first_ready,
            "ban_yes": self.ejection_confirmed,
            "unknown_refused": self.unknown_engine_status == HTTPStatus.NOT_FOUND,
            "ready_no_in_drain": self.ready_status_in_drain == HTTPStatus.SERVICE_UNAVAILABLE,
            "undrained_in_2s": self.undrained,
            "second_ready_in_6s": self.second_ready,
            "first_exit_0": self.first_exit_code == 0,
            "nothing_to_banned": self.attempts_to_ejected == 0,
            "nothing_to_banned_in_both": self.late_ejection_confirmed and self.attempts_to_late_ejected == 0,
            "figures_true": self.are_metrics_accurate,
            "no_request_held": self.unanswered == 0,
            "cut_at_most_2": self.cut_in_upgrade <= MAX_CUT_REQUESTS,
            "every_taken_answered": all(map(answered_all, (self.first_counters, self.second_counters))),
            "none_cut_after_it_ran": self.cut_after_execution == 0,
            "answered_once": self.violations["answered_twice"] == 0,
            "back_after_enable": self.attempts_after_enable > 0,
            "loads_once": self.violations["loads_twice"] == 0,
            "keys_in_order": self.violations["order_breaks"] == 0,
        }

    def figures(self) -> dict[str, int]:
        """Return the figures of the result, by name."""
        return {
            "requests": self.client_figures["requests"],
            "served": self.client_figures["served"],
            "cut": self.client_figures["cut"],
            "held": self.unanswered,
            "figures_served": self.metrics_served,
            "clients_served": self.clients_served,
            "to_banned": self.attempts_to_ejected,
            "to_late_banned": self.attempts_to_late_ejected,
            "after_enable": self.attempts_after_enable,
            "cut_in_upgrade": self.cut_in_upgrade,
            "cut_after_run": self.cut_after_execution,
            "first_door_calls": self.first_counters.get("door_calls", 0),
            "second_served": self.second_counters.get("answered_served", 0),
        }
