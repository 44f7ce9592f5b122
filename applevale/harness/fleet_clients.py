"""The clients of a fleet, and the classification of their requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from math import inf
from random import Random

from ..fakes.client_pool import ANSWER_LATE, ANSWER_SERVED, ClientPool, ClientProfile, SentRequest
from ..fakes.cold_engine import ColdEngine
from .fleet_instance import FleetInstance
from .fleet_plan import FleetPlan
from .history_recorder import HistoryRecorder
from .request_rules import NO_OVERLAP, count_violations

FINAL_RESPONSE_MARGIN_SECONDS = 0.3  # an undecided request is answered so long before its deadline
END_GRACE_SECONDS = 0.5  # a process may still cut connections for so long after its end
CLIENT_EFFORT_MS = 400.0


class FleetClients:
    """The clients of a fleet: one pool for each instance."""

    def __init__(
        self, plan: FleetPlan, instances: Sequence[FleetInstance], recorder: HistoryRecorder, random: Random
    ):
        """Prepare the clients without starting them.

        Args:
            plan: The request rate and the behaviour of the clients.
            instances: The instances of the fleet; the list may still grow.
            recorder: Records the lost requests.
            random: Source of the seeds of the pools.
        """
        self.plan = plan
        self.instances = instances
        self.recorder = recorder
        self.random = random

    def start(self, instance: FleetInstance) -> None:
        """Start the clients of an instance, unless they already run or the plan has no requests."""
        if self.plan.requests_per_second and instance.client_task is None:
            instance.client_task = asyncio.create_task(self._run(instance))

    async def _run(self, instance: FleetInstance) -> None:
        profile = ClientProfile(
            rate=self.plan.requests_per_second,
            connection_count=1,
            reconnect=True,
            effort_ms=CLIENT_EFFORT_MS,
            resend_rejected=self.plan.resend_rejected,
        )
        instance.clients = ClientPool(instance.program.address, Random(self.random.random()), profile)
        await instance.clients.start()
        await instance.clients.run(inf)

    async def settle(self) -> None:
        """Stop sending requests, and wait for the answers to open requests."""
        for instance in self.instances:
            if instance.client_task is not None:
                instance.client_task.cancel()
        await asyncio.gather(
            *(instance.clients.settle() for instance in self.instances if instance.clients is not None)
        )

    async def stop(self, instance: FleetInstance) -> None:
        """Stop sending requests to an instance, and close all connections to it."""
        if instance.client_task is not None:
            instance.client_task.cancel()
        if instance.clients is not None:
            await instance.clients.stop()

    def violations(self, engines: Sequence[ColdEngine]) -> Counter:
        """Return the counts of violated request rules, over all instances.

        A request does not count as lost if the end of a process cut its connection (`cut_by_ends`) or its
        deadline passed while the process was paused (`late_by_standstill`).

        Args:
            engines: All engines, with the attempts that they received.
        """
        violations: Counter = Counter()
        for instance in self.instances:
            if instance.clients is None:
                continue
            sent_requests = instance.clients.sent_requests
            for sent in sent_requests:
                self._classify(instance, sent, violations)
            overlap = (min(instance.ended_at), inf) if instance.ended_at else NO_OVERLAP
            violations += count_violations(instance.clients, engines, overlap)
            violations["requests"] += len(sent_requests)
            violations["served"] += sum(ANSWER_SERVED in sent.answers for sent in sent_requests)
        violations["lost_requests"] -= violations["cut_by_ends"] + violations["late_by_standstill"]
        return violations

    def _classify(self, instance: FleetInstance, sent: SentRequest, violations: Counter) -> None:
        """Count a failed request that a fault explains; record one that was lost."""
        if sent.disconnected_at and any(sent.sent_at <= end + END_GRACE_SECONDS for end in instance.ended_at):
            violations["cut_by_ends"] += 1
        elif sent.answers == [ANSWER_LATE] and any(
            begin < sent.deadline and sent.deadline - FINAL_RESPONSE_MARGIN_SECONDS < end
            for begin, end in instance.pauses
        ):
            violations["late_by_standstill"] += 1
        elif not sent.answers or ANSWER_LATE in sent.answers:
            self._record_lost(instance, sent)

    def _record_lost(self, instance: FleetInstance, sent: SentRequest) -> None:
        self.recorder.record(
            "lost",
            sent.sent_at,
            who=instance.name,
            ref=sent.request_id,
            lane=sent.method,
            answers=sent.answers,
            cut=round(sent.disconnected_at - sent.sent_at, 3) if sent.disconnected_at else None,
        )
