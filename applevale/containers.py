"""Small containers: a cache and a set that are bounded, sets, queues and reservations by key.

They know no request, engine or setting, and none of them reads a clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from math import inf
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")


class ExpiringKeys:
    """Keys that are kept until they expire; past `capacity`, the one added first is dropped."""

    def __init__(self, capacity: int):
        """Create an empty set."""
        self.capacity = capacity
        self.expiry: dict[Hashable, float] = {}

    def add(self, key: Hashable, expires_at: float) -> None:
        """Add a key, or renew it."""
        self.expiry.pop(key, None)
        self.expiry[key] = expires_at
        while len(self.expiry) > self.capacity:
            del self.expiry[next(iter(self.expiry))]

    def is_valid(self, key: Hashable, now: float) -> bool:
        """Return whether the key was added and has not expired."""
        return self.expiry.get(key, 0.0) > now


class BoundedCache(Generic[Item]):
    """Values by key; it begins anew when `capacity` is reached."""

    def __init__(self, capacity: int):
        """Create an empty cache."""
        self.capacity = capacity
        self.values: dict[Hashable, Item] = {}

    def get(self, key: Hashable) -> Item | None:
        """Return the value of a key; None if there is none."""
        return self.values.get(key)

    def put(self, key: Hashable, value: Item) -> Item:
        """Keep a value, and return it."""
        if len(self.values) >= self.capacity:
            self.values.clear()
        self.values[key] = value
        return value

    def clear(self) -> None:
        """Drop all values."""
        self.values.clear()


class KeyedSets:
    """One set of values for each key; an empty one takes no space."""

    def __init__(self):
        """Create it without a set."""
        self.sets: dict[Hashable, set[Hashable]] = {}

    def __len__(self) -> int:
        """Return the number of sets that are not empty."""
        return len(self.sets)

    def __contains__(self, key: Hashable) -> bool:
        """Return whether the set of a key has any value."""
        return key in self.sets

    def add(self, key: Hashable, value: Hashable) -> None:
        """Add a value to the set of a key."""
        self.sets.setdefault(key, set()).add(value)

    def discard(self, key: Hashable, value: Hashable) -> None:
        """Remove a value from the set of a key, if it is there."""
        if key in self.sets:
            self.sets[key].discard(value)
            if not self.sets[key]:
                del self.sets[key]


class TurnForecast(NamedTuple):
    """What is expected of an item's turn, in seconds.

    Attributes:
        duration: The length of its turn.
        needed: The time that it should have from the start of its turn to its deadline.
        deadline: The time at which it must have ended.
        running_for: For how long it has had its turn; None if it waits.
    """

    duration: float
    needed: float
    deadline: float
    running_for: float | None


class SerialQueues(Generic[Item]):
    """Queues by key whose items get their turns one by one.

    The first item of a queue has its turn unless its key is paused, or blocked by an item that was dropped.
    Keys without items, pauses and blocks take no space. Items that have ended leave from the front.
    """

    def __init__(self, has_ended: Callable[[Item], bool]):
        """Create it without a queue; `has_ended` tells whether an item needs its turn no more."""
        self.has_ended = has_ended
        self.queues: dict[Hashable, deque[Item]] = {}
        self.paused_until: dict[Hashable, float] = {}
        self.blocks = KeyedSets()

    def append(self, key: Hashable, item: Item) -> None:
        """Add an item to the end of a queue."""
        self.queues.setdefault(key, deque()).append(item)

    def length(self, key: Hashable) -> int:
        """Return the number of items in a queue."""
        return len(self.queues.get(key, ()))

    def has_turn(self, key: Hashable, item: Item, now: float) -> bool:
        """Return whether an item has its turn."""
        self.drop_ended(key)
        is_first = self.queues.get(key, (None,))[0] is item and key not in self.blocks
        return is_first and self.paused_until.get(key, -inf) <= now

    def drop_ended(self, key: Hashable) -> None:
        """Drop items that have ended from the front of a queue."""
        queue = self.queues.get(key)
        while queue and self.has_ended(queue[0]):
            queue.popleft()
        if not queue:
            self.queues.pop(key, None)

    def pause(self, key: Hashable, until: float, blocker: Hashable = None) -> None:
        """Pause a key, which can only be made longer, and let `blocker` block it, unless that is None."""
        self.paused_until[key] = max(self.paused_until.get(key, -inf), until)
        if blocker is not None:
            self.blocks.add(key, blocker)

    def blocking_items(self, now: float, forecast: Callable[[Item], TurnForecast | None]) -> Iterator[Item]:
        """Yield items whose turn comes too late, each where one behind can only end in time without it.

        Items without a forecast need no turn. Yielded items may end before the next one is asked for; one can
        be yielded more than once. Pauses that have passed are dropped at the end.
        """
        for key, queue in list(self.queues.items()):
            turns = [(turn, item) for item in queue if (turn := forecast(item))]
            yield from self._blocking_turns(max(now, self.paused_until.get(key, -inf)), turns)
        self.paused_until = {key: until for key, until in self.paused_until.items() if until > now}

    def _blocking_turns(self, start: float, turns: list[tuple[TurnForecast, Item]]) -> Iterator[Item]:
        late: list[Item] = []
        time_lost = 0.0
        for turn, item in turns:
            if turn.running_for is not None:
                start += max(0.0, turn.duration - turn.running_for)
            elif start + turn.needed > turn.deadline:
                late.append(item)
                time_lost += turn.duration
            else:
                if start + turn.needed + time_lost > turn.deadline:
                    yield from late
                start += turn.duration


class Reservations(Generic[Item]):
    """Items in the order in which they came, and the sums of the threads and the memory that they hold."""

    def __init__(self):
        """Create it without an item."""
        self.items: dict[Item, None] = {}
        self.threads = 0.0
        self.memory = 0.0

    def add(self, item: Item, threads: int, memory: float) -> None:
        """Add an item with what it holds."""
        self.items[item] = None
        self.threads += threads
        self.memory += memory

    def remove(self, item: Item, threads: int, memory: float) -> bool:
        """Remove an item with what it holds; return whether it was there."""
        if item not in self.items:
            return False
        del self.items[item]
        self.threads -= threads
        self.memory = max(0.0, self.memory - memory) if self.items else 0.0
        return True
