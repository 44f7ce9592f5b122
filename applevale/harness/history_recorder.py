"""Recording of the events of a fleet as a history for the checkers."""

from __future__ import annotations

import json
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ..checkers.history import History
from ..fakes.cold_engine import ColdEngine
from ..fault_injection.tcp_proxy import source_number
from .fleet_instance import FleetInstance

DATAGRAM_BUCKETS_PER_SECOND = 10


@dataclass
class DatagramTotals:
    """The datagrams that one instance sent within one time bucket."""

    total_bytes: int = 0
    largest_bytes: int = 0
    count: int = 0


def caller_name(caller: str) -> str:
    """Return the name of the instance that connects from `caller` (IP or IP:PORT), or `other`."""
    number = source_number(caller.partition(":")[0])
    return "other" if number is None else f"n{number}"


class HistoryRecorder:
    """Records the events of one run in the format of the checkers.

    Attributes:
        events: The recorded events, in the order of their recording.
        figures: The counters of the run.
        datagram_totals: The datagrams sent, by sender and number of the time bucket.
    """

    def __init__(self, figures: Counter):
        """Create an empty recorder; `figures` counts the reports that instances left out."""
        self.events: list[dict] = []
        self.figures = figures
        self.datagram_totals: dict[tuple[str, int], DatagramTotals] = defaultdict(DatagramTotals)

    def record(self, event: str, at: float | None = None, **fields: object) -> None:
        """Record an event at the time `at` of the monotonic clock, in seconds; None: now."""
        self.events.append({"at": time.monotonic() if at is None else at, "event": event, **fields})

    def record_registry_event(self, event: dict) -> None:
        """Record an event of the fake registry: reads, a commit, or the start or end of a session."""
        match event["event"]:
            case "reads":
                self._record_reads(event["reads"])
            case "commit":
                self._record_commit(event)
            case "session" | "session_end" as name:
                caller = event["caller"]
                self.record(name, event["at"], who=caller_name(caller), member=event["member"], caller=caller)

    def _record_reads(self, reads: list[list]) -> None:
        for at, out, caller, member, whole, answered in reads:
            self.record(
                "read",
                at,
                who=caller_name(caller),
                out=out,
                member=member,
                whole=whole,
                answered=answered,
                caller=caller,
            )

    def _record_commit(self, event: dict) -> None:
        record = json.loads(event["value"]) if event["value"] else {}
        self.record(
            "commit",
            event["committed"],
            key=event["key"],
            engine=record.get("id", ""),
            address=record.get("address", ""),
            state=record.get("state", "gone"),
        )

    def record_instance_event(self, instance: FleetInstance, event: dict) -> None:
        """Record an event of an instance, and update the instance's reported state."""
        match event["event"]:
            case "staleness" | "promise":  # older versions log the guarantee as "promise"
                self.record("said", event.get("at"), who=instance.name, text=event.get("text", ""))
            case "view" | "stand" | "members":
                self._record_membership(instance, event)
            case "listening" | "ready" | "list":
                self._record_readiness(instance, event)

    def _record_membership(self, instance: FleetInstance, event: dict) -> None:
        name = event["event"]
        reported = {key: event[key] for key in ("changes", "stand") if key in event}
        if name == "members":
            if "view" not in event:  # the rate limit of the log suppressed the reports themselves
                self.figures["turns_left_out"] += 1
                return
            reported["view"] = [f"n{number}" for number, _ in event["view"]]
            name = "held"
        self.record(name, event.get("at"), who=instance.name, **reported)
        instance.member_status = event.get("stand", instance.member_status)

    def _record_readiness(self, instance: FleetInstance, event: dict) -> None:
        reported = {key: event[key] for key in ("ready", "confirmed") if key in event}
        if event["event"] != "listening" and not reported:  # the rate limit suppressed the reports
            self.figures["turns_left_out"] += 1
            return
        self.record(event["event"], event.get("at"), who=instance.name, **reported)
        instance.is_ready = reported.get("ready", instance.is_ready)
        instance.is_confirmed = reported.get("confirmed", instance.is_confirmed)

    def record_datagram(self, source: str, target: str, size: int) -> None:
        """Count a datagram of `size` bytes that the instance `source` sent."""
        totals = self.datagram_totals[source, int(time.monotonic() * DATAGRAM_BUCKETS_PER_SECOND)]
        totals.total_bytes += size
        totals.largest_bytes = max(totals.largest_bytes, size)
        totals.count += 1

    def open_sessions(self) -> set[str]:
        """Return the client addresses (IP:PORT) of all open connections to the registry."""
        callers: set[str] = set()
        for event in self.events:
            if event["event"] == "session":
                callers.add(event["caller"])
            elif event["event"] == "session_end":
                callers.discard(event["caller"])
        return callers

    def history(self, engines: Iterable[tuple[ColdEngine, str]]) -> History:
        """Return the history, with the events that the engines recorded.

        Args:
            engines: Each engine with the address (IP:PORT) at which instances reach it.
        """
        events = list(self.events)
        for engine, address in engines:
            events += _engine_events(engine, address)
        events += [
            {
                "at": bucket / DATAGRAM_BUCKETS_PER_SECOND,
                "event": "sent",
                "who": name,
                "bytes": totals.total_bytes,
                "most": totals.largest_bytes,
                "count": totals.count,
            }
            for (name, bucket), totals in self.datagram_totals.items()
        ]
        return History(events)


def _engine_events(engine: ColdEngine, address: str) -> list[dict]:
    """Return the connections, attempts and failure by overload that one engine recorded."""
    events: list[dict] = [
        {
            "at": connection.accepted_at,
            "event": "connect",
            "who": caller_name(connection.caller),
            "engine": address,
        }
        for connection in engine.accepted_connections
    ]
    events += [
        {
            "at": arrival.received_at,
            "event": "arrival",
            "who": caller_name(arrival.caller),
            "engine": address,
            "ref": arrival.request_id.decode(errors="replace"),
            "lane": arrival.class_name.decode(errors="replace"),
        }
        for arrival in engine.arrivals
    ]
    if engine.failed_at is not None:
        events.append({"at": engine.failed_at, "event": "fell", "engine": address})
    return events
