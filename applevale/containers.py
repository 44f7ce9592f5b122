"""Small containers: expiring keys, a bounded cache, sets by key, serial queues and reservations.

They are independent of requests, engines and settings, and read no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from math import inf
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")


class ExpiringKeys:
    """A set of keys that expire; beyond `capacity` keys, the least recently added one is dropped."""

    def __init__(self, capacity: int):
        """Create an empty set."""
        self.capacity = capacity
        self.expiry: dict[Hashable, float] = {}

    def add(self, key: Hashable, expires_at: float) -> None:
        """Add a key that expires at a time (s), or renew it."""
        self.expiry.pop(key, None)
        self.expiry[key] = expires_at
        while len(self.expiry) > self.capacity:
            del self.expiry[next(iter(self.expiry))]

    def is_valid(self, key: Hashable, now: float) -> bool:
        """Return whether a key is in the set and has not expired at `now` (s)."""
        return self.expiry.get(key, 0.0) > now


class BoundedCache(Generic[Item]):
    """A cache of values by key, which is emptied when it has `capacity` values."""

    def __init__(self, capacity: int):
        """Create an empty cache."""
        self.capacity = capacity
        self.values: dict[Hashable, Item] = {}

    def get(self, key: Hashable) -> Item | None:
        """Return the value of a key, or None."""
        return self.values.get(key)

    def put(self, key: Hashable, value: Item) -> Item:
        """Store a value, and return it."""
        if len(self.values) >= self.capacity:
            self.values.clear()
        self.values[key] = value
        return value

    def clear(self) -> None:
        """Remove all values."""
        self.values.clear()


class KeyedSets:
    """A set of values for each key; keys with an empty set are not stored."""

    def __init__(self):
        """Create a mapping without keys."""
        self.sets: dict[Hashable, set[Hashable]] = {}

    def __len__(self) -> int:
        """Return the number of keys that have values."""
        return len(self.sets)

    def __contains__(self, key: Hashable) -> bool:
        """Return whether a key has values."""
        return key in self.sets

    def add(self, key: Hashable, value: Hashable) -> None:
        """Add a value to the set of a key."""
        self.sets.setdefault(key, set()).add(value)

    def discard(self, key: Hashable, value: Hashable) -> None:
        """Remove a value from the set of a key, if it is present."""
        if key in self.sets:
            self.sets[key].discard(value)
            if not self.sets[key]:
                del self.sets[key]


class TurnForecast(NamedTuple):
    """The expected turn of an item of a queue; all times are in seconds.

    Attributes:
        duration: Expected length of the turn.
        needed_time: Minimum time from the start of the turn to the deadline; with less, the item is late.
        deadline: Time at which the item must have ended.
        running_for: Time since the start of the turn; None if the item waits.
    """

    duration: float
    needed_time: float
    deadline: float
    running_for: float | None


class SerialQueues(Generic[Item]):
    """One queue of items for each key; only the first item of a queue may run.

    A key can be paused until a time, and blocked until its blockers are discarded. An item leaves its queue
    once it has ended and is the first one. Keys without items, pauses and blocks are not stored.

    Attributes:
        has_ended: Returns whether an item has ended.
        queues: Items by key.
        paused_until: Ends of pauses, in seconds, by key.
        blocks: Blockers by key.
    """

    def __init__(self, has_ended: Callable[[Item], bool]):
        """Create a set of queues without items; `has_ended` returns whether an item has ended."""
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
        """Return whether an item may run at `now` (s)."""
        self.drop_ended(key)
        is_first = self.queues.get(key, (None,))[0] is item
        is_pause_over = self.paused_until.get(key, -inf) <= now
        return is_first and is_pause_over and key not in self.blocks

    def drop_ended(self, key: Hashable) -> None:
        """Remove items that have ended from the front of a queue."""
        queue = self.queues.get(key)
        while queue and self.has_ended(queue[0]):
            queue.popleft()
        if not queue:
            self.queues.pop(key, None)

    def pause(self, key: Hashable, until: float, blocker: Hashable = None) -> None:
        """Pause a key until a time (s) and add a blocker, if one is given.

        A pause that ends later than `until` stays as it is.
        """
        self.paused_until[key] = max(self.paused_until.get(key, -inf), until)
        if blocker is not None:
            self.blocks.add(key, blocker)

    def blocking_items(self, now: float, forecast: Callable[[Item], TurnForecast | None]) -> Iterator[Item]:
        """Yield the items to drop: those that will be late themselves and make an item behind them late.

        The caller may end an item before it takes the next one; an item can be yielded more than once. At the
        end, pauses that have passed are removed.

        Args:
            now: The time, in seconds.
            forecast: Returns the expected turn of an item; None if it needs no turn.
        """
        for key, queue in list(self.queues.items()):
            turns = [(turn, item) for item in queue if (turn := forecast(item))]
            start = max(now, self.paused_until.get(key, -inf))
            yield from self._blocking_turns(start, turns)
        self.paused_until = {key: until for key, until in self.paused_until.items() if until > now}

    def _blocking_turns(self, start: float, turns: list[tuple[TurnForecast, Item]]) -> Iterator[Item]:
        """Yield the late items of one queue whenever an item behind them is in time only without them.

        Args:
            start: Time (s) at which the first turn can start.
            turns: Expected turns of the queue, in order, each with its item.
        """
        late_items: list[Item] = []
        late_duration = 0.0  # duration of the turns of late items, not included in `start`
        for turn, item in turns:
            if turn.running_for is not None:
                start += max(0.0, turn.duration - turn.running_for)
            elif start + turn.needed_time > turn.deadline:
                late_items.append(item)
                late_duration += turn.duration
            else:
                if start + turn.needed_time + late_duration > turn.deadline:
                    yield from late_items
                start += turn.duration


class Reservations(Generic[Item]):
    """Items in the order of their addition, with the sums of the threads and the memory that they hold."""

    def __init__(self):
        """Create an empty collection."""
        self.items: dict[Item, None] = {}
        self.threads = 0.0
        self.memory = 0.0

    def add(self, item: Item, threads: int, memory: float) -> None:
        """Add an item with the threads and the memory that it holds."""
        self.items[item] = None
        self.threads += threads
        self.memory += memory

    def remove(self, item: Item, threads: int, memory: float) -> bool:
        """Remove an item with the threads and the memory that it holds; return whether it was present."""
        if item not in self.items:
            return False
        del self.items[item]
        self.threads -= threads
        self.memory = max(0.0, self.memory - memory) if self.items else 0.0
        return True
