"""The engines of the registry harness, as its script lists them in the registry."""

from __future__ import annotations

import json
from collections.abc import Sequence
from random import Random

from ...api import EngineState
from ...discovery.endpoints import AttributeNames, format_instance_id
from ...discovery.registry.records import read_record
from ...fakes.engine import FakeEngine
from ...fakes.key_value_store import KeyValueStore
from ...net.addresses import Address, format_address
from ..default_settings import MACHINE_KINDS, ZONES
from .delayed_calls import DelayedCalls

KEY_PREFIX = "applevale/engines/"
ATTRIBUTE_NAMES = AttributeNames(tuple(ZONES), tuple(MACHINE_KINDS))
LISTED_COUNT = 6  # engines in the list at the start
SPARE_COUNT = 3  # engines beside them, which may replace one under its id
MIN_READY_COUNT = 2  # engines that are never drained or deleted
DRAIN_SHARE = 0.6  # of the ready engines drawn, that are drained; the others are deleted
DELETION_AFTER_DRAIN_SHARE = 0.2  # of the ready engines drawn, that are deleted soon after their drain
DELETION_AFTER_DRAIN_SECONDS = 0.05
REPLACEMENT_SHARE = 0.5  # of the returns, that are with another engine
MALFORMED_RECORD_SHARE = 0.3  # of the draws that change no state
MALFORMED_RECORD = b"{not a record"
BURST_NUMBERS = range(1000, 1200)
UNUSED_ADDRESS: Address = ("127.0.0.1", 9)


def _key(number: int) -> bytes:
    return f"{KEY_PREFIX}{number}".encode()


class ListedEngine:
    """An id in the list, the engine behind it, and the state that was last written."""

    def __init__(self, number: int, engine: FakeEngine):
        """List an engine as ready under the id of that number."""
        self.number = number
        self.engine = engine
        self.state = EngineState.READY

    @property
    def key(self) -> bytes:
        """The key of its record in the registry."""
        return _key(self.number)

    def record(self) -> bytes:
        """Return its record, as JSON."""
        fields = {
            "id": format_instance_id(self.number),
            "address": format_address(self.engine.address),
            "state": self.state.value,
            "zone": ZONES[self.number % len(ZONES)],
            "kind": MACHINE_KINDS[0],
        }
        return json.dumps(fields).encode()


class EngineList:
    """The list of engines in a registry, and the changes that a script makes to it.

    Attributes:
        listed: The ids of the list, also those that are deleted at present.
        spare: The engines that have no id.
    """

    def __init__(
        self,
        store: KeyValueStore,
        engines: Sequence[FakeEngine],
        random: Random,
        delayed_calls: DelayedCalls,
    ):
        """List the first of these engines; nothing is written yet.

        Args:
            store: The registry's keys.
            engines: `LISTED_COUNT` engines and the spare ones.
            random: Draws the changes.
            delayed_calls: Takes the deletions that follow a drain.
        """
        self._store = store
        self._engines = engines
        self._random = random
        self._delayed_calls = delayed_calls
        self.listed = [
            ListedEngine(number, engine) for number, engine in enumerate(engines[:LISTED_COUNT], 1)
        ]
        self.spare = list(engines[LISTED_COUNT:])

    def write_all(self) -> None:
        """Write the records of all ids."""
        for listed in self.listed:
            self._store.put(listed.key, listed.record())

    def set_state(self, listed: ListedEngine, state: EngineState) -> None:
        """Write a new state of an id; the state `GONE` deletes its record."""
        listed.state = state
        if state is EngineState.GONE:
            self._store.delete(listed.key)
        else:
            self._store.put(listed.key, listed.record())

    def change_one(self) -> None:
        """Drain, delete or bring back an id that is drawn; some engines stay ready all the time."""
        listed = self._random.choice(self.listed)
        ready_count = sum(other.state is EngineState.READY for other in self.listed)
        draw = self._random.random()
        if listed.state is not EngineState.READY:
            self._bring_back(listed, draw)
        elif ready_count > MIN_READY_COUNT:
            self._take_out(listed, draw)
        elif draw < MALFORMED_RECORD_SHARE:
            self._store.put(listed.key, MALFORMED_RECORD)
            self._store.put(listed.key, listed.record())

    def _take_out(self, listed: ListedEngine, draw: float) -> None:
        if draw >= DRAIN_SHARE:
            self.set_state(listed, EngineState.GONE)
            return
        self.set_state(listed, EngineState.DRAINING)
        if draw < DELETION_AFTER_DRAIN_SHARE:
            self._delayed_calls.schedule(DELETION_AFTER_DRAIN_SECONDS, self._store.delete, listed.key)

    def _bring_back(self, listed: ListedEngine, draw: float) -> None:
        if self.spare and draw < REPLACEMENT_SHARE:
            former = listed.engine
            listed.engine = self.spare.pop(0)
            self.spare.append(former)
        self.set_state(listed, EngineState.READY)

    def write_burst(self) -> None:
        """Write many records of draining engines that do not exist, at once."""
        for number in BURST_NUMBERS:
            fields = {
                "id": format_instance_id(number),
                "address": format_address(UNUSED_ADDRESS),
                "state": EngineState.DRAINING.value,
            }
            self._store.put(_key(number), json.dumps(fields).encode())

    def take_over_restored(self) -> None:
        """Take over states and engines from the registry's records, after it was restored."""
        engines = {engine.address: engine for engine in self._engines}
        self.spare = list(self._engines)
        for listed in self.listed:
            version = self._store.current.get(listed.key)
            if version is None:
                listed.state = EngineState.GONE
                continue
            endpoint = read_record(version.value, ATTRIBUTE_NAMES)
            listed.state = endpoint.entry.state
            listed.engine = engines[endpoint.address]
            self.spare.remove(listed.engine)
        for listed in self.listed:
            if listed.state is EngineState.GONE:
                listed.engine = self.spare.pop(0)
