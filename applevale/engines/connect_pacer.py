"""Paces the connections to engines by the connect schedule."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set
from math import inf

from .. import api
from ..discovery.gated_endpoints import GatedEndpoints
from ..startup.connect_schedule import ConnectSchedule


class ConnectPacer:
    """A connect policy that enforces a connect schedule.

    Invariant: while an engine has no connection and none may be opened, the admission controller sees it as
    not ready. As soon as one may be opened, the controller sees it in its listed state.
    """

    def __init__(
        self,
        schedule: ConnectSchedule,
        endpoints: GatedEndpoints,
        submit: Callable[[api.EngineList], None],
        on_readiness_change: Callable[[], None],
    ) -> None:
        """Create a pacer.

        Args:
            schedule: Decides when a connection may be opened.
            endpoints: The engines as the admission controller sees them.
            submit: Called with each engine whose visible state changes, before `on_readiness_change`.
            on_readiness_change: Called after the visible state of engines has changed.
        """
        self.schedule = schedule
        self.endpoints = endpoints
        self.submit = submit
        self.on_readiness_change = on_readiness_change
        self._timer: asyncio.TimerHandle | None = None

    def may_connect(self, engine_id: int) -> bool:
        """Return whether a connection to the engine may be opened now."""
        return self.schedule.may_connect(engine_id, self._now())

    def record_connect(self, engine_id: int) -> None:
        """Record that a connection to the engine is being opened."""
        self.schedule.record_connect(engine_id, self._now())

    def record_disconnect(self, engine_id: int) -> None:
        """Record that the last connection to the engine has ended, or that connecting has failed.

        The engine must have no other connection.
        """
        self.schedule.record_disconnect(engine_id, self._now())
        if not self.may_connect(engine_id):
            self.endpoints.awaiting_connect_slot.add(engine_id)
            self.submit(self.endpoints.update_for_engine(engine_id))
            self.on_readiness_change()
        self._restart_timer()

    def on_list_change(self, listed: Set[int], connected: Set[int]) -> None:
        """Apply a change of the engine list, before the admission controller sees it.

        Args:
            listed: Ids of the engines in the list.
            connected: Ids of the engines that have a connection.
        """
        self.schedule.set_engines(listed, self._now())
        self.endpoints.awaiting_connect_slot &= listed
        for engine_id in listed - connected:
            if not self.may_connect(engine_id):
                self.endpoints.awaiting_connect_slot.add(engine_id)
        self._restart_timer()

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that share the connection rate."""
        self.schedule.instance_count = count

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        slot_times = (
            self.schedule.next_connect_at.get(engine_id, -inf)
            for engine_id in self.endpoints.awaiting_connect_slot
        )
        next_slot_time = min(slot_times, default=None)
        if next_slot_time is not None:
            self._timer = asyncio.get_running_loop().call_at(next_slot_time, self._release_due_engines)

    def _release_due_engines(self) -> None:
        """Let the admission controller see the listed state of the engines whose slot has come."""
        due_engines = [
            engine_id for engine_id in self.endpoints.awaiting_connect_slot if self.may_connect(engine_id)
        ]
        for engine_id in due_engines:
            self.endpoints.awaiting_connect_slot.discard(engine_id)
            self.submit(self.endpoints.update_for_engine(engine_id))
        self.on_readiness_change()
        self._restart_timer()
