"""Carries out manual ejections of engines, by operators' calls or by another process of an upgrade."""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Iterable

from ..admin.ejection_store import EjectionStore
from ..admin.ejections import EjectionRegistry
from ..discovery.gated_endpoints import GatedEndpoints
from ..dispatch.event_loop_driver import EventLoopDriver
from ..engines.pool import EnginePool
from ..net.addresses import Address
from ..observability.counters import Counters

POLL_INTERVAL_SECONDS = 0.1  # between two looks at what another process wrote


def ejection_path(listen_address: Address) -> str:
    """Return the path of the file in which manual ejections reach the next process.

    An upgrade starts the next process with the same $TMPDIR and address; the address in the name keeps
    several workload managers apart that share a folder.
    """
    host, port = listen_address
    return os.path.join(tempfile.gettempdir(), f"applevale-bans-{host}-{port}.json")


class EjectionControl:
    """Owns the manual ejections of this process, and applies each change to pool and decision module."""

    def __init__(
        self,
        listen_address: Address,
        endpoints: GatedEndpoints,
        pool: EnginePool,
        driver: EventLoopDriver,
        counters: Counters,
    ):
        """Take over what a former process left in its file."""
        self.endpoints = endpoints
        self.pool = pool
        self.driver = driver
        self.counters = counters
        self.ejections = EjectionRegistry()
        self.store = EjectionStore(ejection_path(listen_address), self.ejections)
        self.store.refresh()
        endpoints.ejected = self.ejections.ejected  # one set: the decision module sees every ejection at once

    def set_ejected(self, host: str, ejected: bool) -> bool:
        """Eject an engine or let it back in; return False for an id that was never listed."""
        engine = self.ejections.find(host)
        if engine is None:
            return False
        self._apply(self.store.set_ejected(engine, ejected, self.driver.now()))
        return True

    def watch(self) -> None:
        """Poll the file from now on: the other of two processes in an upgrade may get a call."""
        self._apply(self.store.refresh())
        asyncio.get_running_loop().call_later(POLL_INTERVAL_SECONDS, self.watch)

    def _apply(self, engines: Iterable[int]) -> None:
        for engine in engines:
            self.counters["bans_changed"] += 1
            if engine in self.ejections.ejected:
                self.pool.withdraw_unsent(engine)
            self.driver.submit(self.endpoints.present(engine))
