"""A discrete-event simulation of many processes: messages, timers, clocks, pauses and restarts.

Nothing here knows which state machine it runs.

Invariants:

- The same seed and the same faults give the same history.
- Each actor sees its own clock only, which runs at a rate of its own; so does its sleep until
  `next_deadline`.
- What reaches a paused actor is queued, up to the size of a socket's buffer. It is delivered when the actor
  resumes, in batches with the timer in between: as an event loop reads its sockets.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from random import Random
from typing import Any, Protocol

from ..fault_injection.link_conditions import LinkConditions

MAX_BATCH_MESSAGES = 64  # read before timers have their turn
MAX_QUEUED_MESSAGES = 400  # for a paused actor
MAX_CLOCK_OFFSET_SECONDS = 1e6

# Time, sequence number (equal times keep their order), callback and its arguments.
ScheduledCall = tuple[float, int, Callable[..., None], tuple]


class Actor(Protocol):
    """A state machine without I/O: events and local times in, commands out."""

    def start(self, now: float) -> list[Any]:
        """Start, once, and return the first commands."""
        ...

    def on_message(self, now: float, sender: int, message: Any) -> list[Any]:
        """Handle a message from the process with the number `sender`."""
        ...

    def on_tick(self, now: float) -> list[Any]:
        """Handle all timers that are due."""
        ...

    def leave(self, now: float) -> list[Any]:
        """Shut down in order, and return the last commands."""
        ...

    def next_deadline(self) -> float:
        """Return the local time of the next timer, in seconds; `inf`: none."""
        ...


@dataclass
class SimulatedProcess:
    """A process in which an actor runs, with its clock and its receive queue.

    Attributes:
        name: Name, as link conditions and schedules know it.
        clock_rate: Seconds of its clock in a second of simulated time.
        clock_offset: Its clock at the start of the simulation, in seconds.
        actor: What runs; None: nothing.
        start_count: How often it was started.
        timer_id: The one pending timer that is valid; former ones are ignored.
        paused_until: Simulated time at which it resumes, in seconds.
        receive_queue: Pairs of sender and message that arrived during a pause.
    """

    name: str
    clock_rate: float
    clock_offset: float
    actor: Actor | None = None
    start_count: int = 0
    timer_id: int = 0
    paused_until: float = 0.0
    receive_queue: deque[tuple[int, Any]] = field(default_factory=deque)

    def local_time(self, now: float) -> float:
        """Return what its clock shows at a simulated time."""
        return self.clock_offset + self.clock_rate * now

    def simulated_time(self, local_time: float) -> float:
        """Return the simulated time at which its clock shows `local_time`."""
        return (local_time - self.clock_offset) / self.clock_rate


class ActorHost(Protocol):
    """Creates the actors of a simulation and interprets their commands."""

    def create_actor(self, number: int, start_count: int) -> Actor:
        """Return a new actor, for a process's number and the count of its starts."""
        ...

    def route(self, command: Any) -> tuple[int, Any, int] | None:
        """Return target, message and its size in bytes of a command that sends; None for any other."""
        ...

    def on_command(self, now: float, number: int, command: Any) -> None:
        """Handle a command of a process that does not send."""
        ...

    def on_sent(self, now: float, number: int, size: int) -> None:
        """Take note that a process has sent a message of this size in bytes."""
        ...


class Simulation:
    """Processes by number, the links between them, and the queue of what happens next."""

    def __init__(
        self,
        count: int,
        seed: int,
        host: ActorHost,
        drift: float = 1e-4,
        latency: tuple[float, float] = (0.0003, 0.003),
    ):
        """Create processes that have not started yet.

        Args:
            count: Processes.
            seed: Seed of all random draws.
            host: Creates the actors and interprets their commands.
            drift: The greatest deviation of a clock's rate from 1.
            latency: The least and the greatest latency of a message, in seconds.
        """
        self.random = Random(seed)
        self.link_conditions = LinkConditions(seed)
        self.host = host
        self.latency = latency
        self.now = 0.0
        self.processes = [self._create_process(number, drift) for number in range(count)]
        self.queue: list[ScheduledCall] = []
        self.scheduled_count = 0
        self.message_count = 0

    def _create_process(self, number: int, drift: float) -> SimulatedProcess:
        clock_rate = 1 + self.random.uniform(-drift, drift)
        clock_offset = self.random.uniform(0, MAX_CLOCK_OFFSET_SECONDS)
        return SimulatedProcess(f"n{number}", clock_rate, clock_offset)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a call at a simulated time, in seconds; one that is over counts as now."""
        self._schedule(when, callback)

    def start(self, number: int) -> None:
        """Start a process with a new actor."""
        process = self.processes[number]
        process.start_count += 1
        process.actor = self.host.create_actor(number, process.start_count)
        process.paused_until = 0.0
        process.receive_queue.clear()
        self._execute(number, process.actor.start(process.local_time(self.now)))

    def kill(self, number: int) -> None:
        """End a process without notice."""
        process = self.processes[number]
        process.actor = None
        process.timer_id += 1

    def leave(self, number: int) -> None:
        """Shut a process down in order."""
        process = self.processes[number]
        if process.actor is not None:
            self._execute(number, process.actor.leave(process.local_time(self.now)))
            self.kill(number)

    def pause(self, number: int, duration: float) -> None:
        """Suspend a process for `duration` seconds; a longer pause that it is in stays."""
        process = self.processes[number]
        if process.actor is not None:
            process.paused_until = max(process.paused_until, self.now + duration)
            self._schedule(process.paused_until, self._resume, number, process.start_count)

    def run(self, until: float) -> None:
        """Run all that happens up to a simulated time, in seconds."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heappop(queue)
            callback(*args)
        self.now = until

    def _schedule(self, when: float, callback: Callable[..., None], *args: object) -> None:
        self.scheduled_count += 1
        heappush(self.queue, (max(when, self.now), self.scheduled_count, callback, args))

    def _resume(self, number: int, start_count: int) -> None:
        process = self.processes[number]
        if process.actor is None or process.start_count != start_count or self.now < process.paused_until:
            return
        for _ in range(min(MAX_BATCH_MESSAGES, len(process.receive_queue))):
            sender, message = process.receive_queue.popleft()
            self._deliver(number, sender, message)
        self._tick(number, process.timer_id)
        if process.receive_queue:
            self._schedule(self.now, self._resume, number, start_count)

    def _receive(self, number: int, sender: int, message: Any) -> None:
        process = self.processes[number]
        if process.actor is None:
            return
        if self.now < process.paused_until or process.receive_queue:
            if len(process.receive_queue) < MAX_QUEUED_MESSAGES:
                process.receive_queue.append((sender, message))
            return
        self._deliver(number, sender, message)

    def _deliver(self, number: int, sender: int, message: Any) -> None:
        process = self.processes[number]
        self._execute(number, process.actor.on_message(process.local_time(self.now), sender, message))

    def _tick(self, number: int, timer_id: int) -> None:
        process = self.processes[number]
        if process.actor is None or process.timer_id != timer_id or self.now < process.paused_until:
            return
        self._execute(number, process.actor.on_tick(process.local_time(self.now)))

    def _execute(self, number: int, commands: list[Any]) -> None:
        process = self.processes[number]
        for command in commands:
            routed = self.host.route(command)
            if routed is None:
                self.host.on_command(self.now, number, command)
            else:
                self._send(number, *routed)
        deadline = process.actor.next_deadline()
        process.timer_id += 1
        if deadline < inf:
            self._schedule(process.simulated_time(deadline), self._tick, number, process.timer_id)

    def _send(self, number: int, target: int, message: Any, size: int) -> None:
        self.host.on_sent(self.now, number, size)
        self.message_count += 1
        min_latency, max_latency = self.latency
        for delay in self.link_conditions.datagram_delays(
            self.now, self.processes[number].name, self.processes[target].name, size
        ):
            jitter = (max_latency - min_latency) * self.random.random()
            arrival = self.now + delay + min_latency + jitter
            self._schedule(arrival, self._receive, target, number, message)
