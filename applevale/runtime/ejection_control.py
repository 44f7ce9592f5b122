"""Applies manual ejections of engines that operators request here or in the other process of an upgrade."""

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

POLL_INTERVAL_SECONDS = 0.1


def ejection_path(listen_address: Address) -> str:
    """Return the path of the file through which processes share manual ejections.

    An upgrade starts the next process with the same $TMPDIR and address. The file name contains the address,
    so that several workload managers can share a folder.
    """
    host, port = listen_address
    return os.path.join(tempfile.gettempdir(), f"applevale-bans-{host}-{port}.json")


class EjectionControl:
    """Owns the manual ejections, and applies each change to the engine pool and the decision module."""

    def __init__(
        self,
        listen_address: Address,
        endpoints: GatedEndpoints,
        pool: EnginePool,
        driver: EventLoopDriver,
        counters: Counters,
    ):
        """Load the ejections that another process has stored for this address."""
        self.endpoints = endpoints
        self.pool = pool
        self.driver = driver
        self.counters = counters
        self.ejections = EjectionRegistry()
        self.store = EjectionStore(ejection_path(listen_address), self.ejections)
        self.store.refresh()
        endpoints.ejected = self.ejections.ejected  # a shared set object, so that changes apply at once

    def set_ejected(self, host: str, ejected: bool) -> bool:
        """Eject an engine or end its ejection; return False if it was never listed."""
        engine = self.ejections.find(host)
        if engine is None:
            return False
        self._apply(self.store.set_ejected(engine, ejected, self.driver.now()))
        return True

    def poll_periodically(self) -> None:
        """Apply changes in the file now and at regular intervals.

        In an upgrade either process may receive the operators' calls.
        """
        self._apply(self.store.refresh())
        asyncio.get_running_loop().call_later(POLL_INTERVAL_SECONDS, self.poll_periodically)

    def _apply(self, engines: Iterable[int]) -> None:
        for engine in engines:
            self.counters["bans_changed"] += 1
            if engine in self.ejections.ejected:
                self.pool.withdraw_unsent(engine)
            self.driver.submit(self.endpoints.update_for_engine(engine))
