"""The engine list of the registry harness, and the changes that its script makes to it."""

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
LISTED_ENGINE_COUNT = 6  # in the list at the start
SPARE_ENGINE_COUNT = 3  # not listed at first; they may replace a listed engine under its id
MIN_READY_ENGINE_COUNT = 2  # this many engines stay ready all the time
DRAIN_PROBABILITY = 0.6  # that a ready engine is drained; otherwise it is deleted
DELETION_AFTER_DRAIN_PROBABILITY = 0.2  # that a ready engine is drained and deleted soon afterwards
DELETION_AFTER_DRAIN_SECONDS = 0.05
REPLACEMENT_PROBABILITY = 0.5  # that an id becomes ready again with another engine
MALFORMED_RECORD_PROBABILITY = 0.3  # that a malformed record is written where the state must not change
MALFORMED_RECORD = b"{not a record"
BURST_ENGINE_NUMBERS = range(1000, 1200)
UNUSED_ADDRESS: Address = ("127.0.0.1", 9)


def _key(number: int) -> bytes:
    return f"{KEY_PREFIX}{number}".encode()


class ListedEngine:
    """An engine id in the list, with the engine that has it.

    Attributes:
        number: The number from which the id is made.
        engine: The engine that has the id at present.
        state: The state that was last written to the registry.
    """

    def __init__(self, number: int, engine: FakeEngine):
        """List an engine as ready; nothing is written yet."""
        self.number = number
        self.engine = engine
        self.state = EngineState.READY

    @property
    def key(self) -> bytes:
        """Key of its record in the registry."""
        return _key(self.number)

    def record(self) -> bytes:
        """Return its record as JSON."""
        fields = {
            "id": format_instance_id(self.number),
            "address": format_address(self.engine.address),
            "state": self.state.value,
            "zone": ZONES[self.number % len(ZONES)],
            "kind": MACHINE_KINDS[0],
        }
        return json.dumps(fields).encode()


class EngineList:
    """The engine list in a registry.

    Attributes:
        listed: All ids of the list, including those whose records are deleted at present.
        spare: The engines that have no id at present.
    """

    def __init__(
        self,
        store: KeyValueStore,
        engines: Sequence[FakeEngine],
        random: Random,
        delayed_calls: DelayedCalls,
    ):
        """Create the list without writing it to the registry.

        Args:
            store: The keys and values of the registry.
            engines: `LISTED_ENGINE_COUNT` engines to list, followed by the spare ones.
            random: Source of all random draws.
            delayed_calls: Schedules the deletions that follow a drain.
        """
        self._store = store
        self._engines = engines
        self._random = random
        self._delayed_calls = delayed_calls
        self.listed = [
            ListedEngine(number, engine) for number, engine in enumerate(engines[:LISTED_ENGINE_COUNT], 1)
        ]
        self.spare = list(engines[LISTED_ENGINE_COUNT:])

    def write_all(self) -> None:
        """Write the records of all ids to the registry."""
        for listed in self.listed:
            self._store.put(listed.key, listed.record())

    def set_state(self, listed: ListedEngine, state: EngineState) -> None:
        """Write a new state of an id to the registry; the state `GONE` deletes its record."""
        listed.state = state
        if state is EngineState.GONE:
            self._store.delete(listed.key)
        else:
            self._store.put(listed.key, listed.record())

    def change_one(self) -> None:
        """Drain, delete or make ready again a randomly chosen id.

        At least `MIN_READY_ENGINE_COUNT` engines stay ready. Where a change would leave fewer, a malformed
        record may be written instead, and corrected at once.
        """
        listed = self._random.choice(self.listed)
        ready_count = sum(other.state is EngineState.READY for other in self.listed)
        draw = self._random.random()
        if listed.state is not EngineState.READY:
            self._bring_back(listed, draw)
        elif ready_count > MIN_READY_ENGINE_COUNT:
            self._withdraw(listed, draw)
        elif draw < MALFORMED_RECORD_PROBABILITY:
            self._store.put(listed.key, MALFORMED_RECORD)
            self._store.put(listed.key, listed.record())

    def _withdraw(self, listed: ListedEngine, draw: float) -> None:
        if draw >= DRAIN_PROBABILITY:
            self.set_state(listed, EngineState.GONE)
            return
        self.set_state(listed, EngineState.DRAINING)
        if draw < DELETION_AFTER_DRAIN_PROBABILITY:
            self._delayed_calls.schedule(DELETION_AFTER_DRAIN_SECONDS, self._store.delete, listed.key)

    def _bring_back(self, listed: ListedEngine, draw: float) -> None:
        if self.spare and draw < REPLACEMENT_PROBABILITY:
            former = listed.engine
            listed.engine = self.spare.pop(0)
            self.spare.append(former)
        self.set_state(listed, EngineState.READY)

    def write_burst(self) -> None:
        """Write the records of many draining engines that do not exist, all at once."""
        for number in BURST_ENGINE_NUMBERS:
            fields = {
                "id": format_instance_id(number),
                "address": format_address(UNUSED_ADDRESS),
                "state": EngineState.DRAINING.value,
            }
            self._store.put(_key(number), json.dumps(fields).encode())

    def adopt_restored_records(self) -> None:
        """Read the states and engines of all ids back from the records of a restored registry."""
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
