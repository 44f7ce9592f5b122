"""Paces connections: engines come into use one by one, as the connect schedule says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from .. import api
from ..discovery.gated_endpoints import GatedEndpoints
from ..startup.connect_schedule import ConnectSchedule
from .pool import EnginePool


class ConnectPacer:
    """Carries out the connect schedule.

    Invariant: an engine without a connection, to which none may be opened yet, is shown to the policy as not
    ready; as soon as one may be opened, it is shown as it is listed.
    """

    def __init__(
        self,
        schedule: ConnectSchedule,
        pool: EnginePool,
        submit: Callable[[api.EngineList], None],
        endpoints: GatedEndpoints,
        on_readiness_change: Callable[[], None],
    ) -> None:
        """Hook into the pool; `on_readiness_change` is called when an engine was hidden or shown."""
        self.schedule = schedule
        self.pool = pool
        self.submit = submit
        self.endpoints = endpoints
        self.on_readiness_change = on_readiness_change
        self._timer: asyncio.TimerHandle | None = None
        pool.may_connect = self.may_connect
        pool.on_connect_started = self.record_connect
        pool.on_disconnected = self.record_disconnect

    def may_connect(self, engine_id: int) -> bool:
        """Return whether a connection to the engine may be opened now."""
        return self.schedule.may_connect(engine_id, self._now())

    def record_connect(self, engine_id: int) -> None:
        """Note that a connection to the engine is being opened."""
        self.schedule.record_connect(engine_id, self._now())

    def record_disconnect(self, engine_id: int) -> None:
        """Note that the last connection to the engine ended, or the first was never established."""
        self.schedule.record_disconnect(engine_id, self._now())
        if self._hide_if_waiting(engine_id):
            self.submit(self.endpoints.present(engine_id))
            self.on_readiness_change()
        self._restart_timer()

    def on_list_change(self) -> None:
        """Apply a change of the engine list, before the policy is told of it."""
        present = set(self.pool.engines) - self.pool.departed
        self.schedule.set_engines(present, self._now())
        self.endpoints.awaiting_connect_slot &= present
        for engine_id in present:
            self._hide_if_waiting(engine_id)
        self._restart_timer()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _hide_if_waiting(self, engine_id: int) -> bool:
        engine = self.pool.engines.get(engine_id)
        is_hidden = engine is not None and not engine.connections and not self.may_connect(engine_id)
        if is_hidden:
            self.endpoints.awaiting_connect_slot.add(engine_id)
        return is_hidden

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
