"""The clients of a fleet, and what became of their requests."""

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

FINAL_RESPONSE_MARGIN_SECONDS = 0.3  # before a client's deadline, when an undecided request is answered
END_GRACE_SECONDS = 0.5  # after the end of a process in which a connection may still be cut by it
CLIENT_EFFORT_MS = 400.0


class FleetClients:
    """A pool of clients for each instance of a fleet."""

    def __init__(
        self, plan: FleetPlan, instances: Sequence[FleetInstance], recorder: HistoryRecorder, random: Random
    ):
        """Prepare the clients of these instances; the list of them may still grow.

        Args:
            plan: The rate of requests, and how clients behave.
            instances: The instances.
            recorder: Records lost requests.
            random: Draws what the clients send.
        """
        self.plan = plan
        self.instances = instances
        self.recorder = recorder
        self.random = random

    def start(self, instance: FleetInstance) -> None:
        """Start the clients of an instance, unless they run already or the plan has none."""
        if self.plan.clients and instance.client_task is None:
            instance.client_task = asyncio.create_task(self._run(instance))

    async def _run(self, instance: FleetInstance) -> None:
        profile = ClientProfile(
            rate=self.plan.clients,
            connection_count=1,
            reconnect=True,
            effort_ms=CLIENT_EFFORT_MS,
            repeat_rejected=self.plan.eager,
        )
        instance.clients = ClientPool(instance.program.address, Random(self.random.random()), profile)
        await instance.clients.start()
        await instance.clients.run(inf)

    async def settle(self) -> None:
        """Send no new requests, and wait for the answers of those that are open."""
        for instance in self.instances:
            if instance.client_task is not None:
                instance.client_task.cancel()
        await asyncio.gather(
            *(instance.clients.settle() for instance in self.instances if instance.clients is not None)
        )

    async def stop(self, instance: FleetInstance) -> None:
        """Send no new requests to an instance, and close all connections to it."""
        if instance.client_task is not None:
            instance.client_task.cancel()
        if instance.clients is not None:
            await instance.clients.stop()

    def violations(self, engines: Sequence[ColdEngine]) -> Counter:
        """Return the violations of the rules on requests, over all instances.

        Requests that were cut by the end of a process, or that became late while it was paused, are not
        lost: they are counted apart.

        Args:
            engines: All engines, with what they received.
        """
        violations: Counter = Counter()
        for instance in self.instances:
            if instance.clients is None:
                continue
            sent_requests = instance.clients.sent
            for sent in sent_requests:
                self._classify(instance, sent, violations)
            overlap = (min(instance.ended_at), inf) if instance.ended_at else NO_OVERLAP
            violations += count_violations(instance.clients, engines, overlap)
            violations["requests"] += len(sent_requests)
            violations["served"] += sum(ANSWER_SERVED in sent.answers for sent in sent_requests)
        violations["lost_requests"] -= violations["cut_by_ends"] + violations["late_by_standstill"]
        return violations

    def _classify(self, instance: FleetInstance, sent: SentRequest, violations: Counter) -> None:
        """Count a request that a fault excuses; record one that was lost."""
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
