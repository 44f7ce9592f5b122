"""Paces connections: engines come into use one by one, as the connect schedule says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set
from math import inf

from .. import api
from ..discovery.gated_endpoints import GatedEndpoints
from ..startup.connect_schedule import ConnectSchedule


class ConnectPacer:
    """The connect policy that carries out a connect schedule.

    Invariant: an engine without a connection, to which none may be opened yet, is shown to the policy as not
    ready; as soon as one may be opened, it is shown as it is listed.
    """

    def __init__(
        self,
        schedule: ConnectSchedule,
        endpoints: GatedEndpoints,
        submit: Callable[[api.EngineList], None],
        on_readiness_change: Callable[[], None],
    ) -> None:
        """Pace the connections to engines.

        Args:
            schedule: Says when a connection may be opened.
            endpoints: The engines as the policy sees them.
            submit: Is given each engine that was hidden or is shown again, before `on_readiness_change`.
            on_readiness_change: Is called after engines were hidden or shown.
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
        """Note that a connection to the engine is being opened."""
        self.schedule.record_connect(engine_id, self._now())

    def record_disconnect(self, engine_id: int) -> None:
        """Note that the last connection to the engine ended, or the first was never established.

        The engine must have no other connection.
        """
        self.schedule.record_disconnect(engine_id, self._now())
        if not self.may_connect(engine_id):
            self.endpoints.awaiting_connect_slot.add(engine_id)
            self.submit(self.endpoints.present(engine_id))
            self.on_readiness_change()
        self._restart_timer()

    def on_list_change(self, listed: Set[int], connected: Set[int]) -> None:
        """Apply a change of the engine list, before the policy sees it.

        Args:
            listed: The ids of the engines that the list names.
            connected: The ids of the engines to which there is a connection.
        """
        self.schedule.set_engines(listed, self._now())
        self.endpoints.awaiting_connect_slot &= listed
        for engine_id in listed - connected:
            if not self.may_connect(engine_id):
                self.endpoints.awaiting_connect_slot.add(engine_id)
        self._restart_timer()

    def set_instance_count(self, count: int) -> None:
        """Share the rate of connections by `count` instances from now on."""
        self.schedule.instance_count = count

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        slots = (
            self.schedule.allowed_from.get(engine_id, -inf)
            for engine_id in self.endpoints.awaiting_connect_slot
        )
        due = min(slots, default=None)
        if due is not None:
            self._timer = asyncio.get_running_loop().call_at(due, self._show_due)

    def _show_due(self) -> None:
        for engine_id in [
            engine_id for engine_id in self.endpoints.awaiting_connect_slot if self.may_connect(engine_id)
        ]:
            self.endpoints.awaiting_connect_slot.discard(engine_id)
            self.submit(self.endpoints.present(engine_id))
        self.on_readiness_change()
        self._restart_timer()
