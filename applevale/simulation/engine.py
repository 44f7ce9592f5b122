"""A discrete-event simulation of many processes, with messages, timers, clocks, pauses and restarts.

The simulation is independent of the state machine that the processes run.

Invariants:

- The same seed and the same faults produce the same history.
- Each actor sees only the clock of its process, which runs at its own rate. The rate also applies to the time
  until `next_deadline`.
- Messages to a paused actor are queued, up to the capacity of a socket's buffer. When the actor resumes, they
  are delivered in batches, with due timers in between, as by an event loop that reads from a socket.
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

MAX_BATCH_MESSAGES = 64  # delivered between two runs of due timers
MAX_QUEUED_MESSAGES = 400  # in the receive queue of a paused actor
MAX_CLOCK_OFFSET_SECONDS = 1e6

# Time, sequence number (which orders calls at equal times), callback and its arguments.
ScheduledCall = tuple[float, int, Callable[..., None], tuple]


class Actor(Protocol):
    """A state machine without I/O, which takes events with local times and returns commands."""

    def start(self, now: float) -> list[Any]:
        """Start the actor, and return its first commands; called once."""
        ...

    def on_message(self, now: float, sender: int, message: Any) -> list[Any]:
        """Handle a message from the process with the number `sender`."""
        ...

    def on_tick(self, now: float) -> list[Any]:
        """Handle all timers that are due."""
        ...

    def leave(self, now: float) -> list[Any]:
        """Shut down gracefully, and return the last commands."""
        ...

    def next_deadline(self) -> float:
        """Return the local time of the next timer, in seconds; `inf` if there is none."""
        ...


@dataclass
class SimulatedProcess:
    """A process that runs an actor, with its own clock and receive queue.

    Attributes:
        name: Name of the process in link conditions and fault schedules.
        clock_rate: Seconds by which its clock advances per second of simulated time.
        clock_offset: What its clock shows at the start of the simulation, in seconds.
        actor: The actor that runs; None while the process is not running.
        start_count: How often the process has been started.
        timer_id: Number of the only valid timer; pending timers with lower numbers are ignored.
        paused_until: Simulated time at which its pause ends, in seconds.
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
        """Return what its clock shows at the simulated time `now`."""
        return self.clock_offset + self.clock_rate * now

    def simulated_time(self, local_time: float) -> float:
        """Return the simulated time at which its clock shows `local_time`."""
        return (local_time - self.clock_offset) / self.clock_rate


class ActorHost(Protocol):
    """Creates the actors of a simulation, and interprets their commands."""

    def create_actor(self, number: int, start_count: int) -> Actor:
        """Return a new actor for the process `number`, which has now been started `start_count` times."""
        ...

    def route(self, command: Any) -> tuple[int, Any, int] | None:
        """Return target, message and message size in bytes if the command sends; None otherwise."""
        ...

    def on_command(self, now: float, number: int, command: Any) -> None:
        """Handle a command that does not send a message."""
        ...

    def on_sent(self, now: float, number: int, size: int) -> None:
        """Record that the process `number` sent a message of `size` bytes."""
        ...


class Simulation:
    """A simulation of numbered processes and the links between them.

    Attributes:
        link_conditions: The active faults on the links.
        now: Simulated time since the start, in seconds.
        processes: The processes, by number.
        scheduled_calls: Heap of the calls that are due later.
        scheduled_count: Number of calls scheduled so far.
        message_count: Number of messages sent so far.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        host: ActorHost,
        drift: float = 1e-4,
        latency: tuple[float, float] = (0.0003, 0.003),
    ):
        """Create the processes without starting them.

        Args:
            count: Number of processes.
            seed: Seed of all random draws.
            host: Creates the actors, and interprets their commands.
            drift: Largest deviation of a clock rate from 1.
            latency: Smallest and largest latency of a message, in seconds.
        """
        self.random = Random(seed)
        self.link_conditions = LinkConditions(seed)
        self.host = host
        self.latency = latency
        self.now = 0.0
        self.processes = [self._create_process(number, drift) for number in range(count)]
        self.scheduled_calls: list[ScheduledCall] = []
        self.scheduled_count = 0
        self.message_count = 0

    def _create_process(self, number: int, drift: float) -> SimulatedProcess:
        clock_rate = 1 + self.random.uniform(-drift, drift)
        clock_offset = self.random.uniform(0, MAX_CLOCK_OFFSET_SECONDS)
        return SimulatedProcess(f"n{number}", clock_rate, clock_offset)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a call at a simulated time, in seconds; a time in the past means now."""
        self._schedule(when, callback)

    def start(self, number: int) -> None:
        """Start a process, with a new actor."""
        process = self.processes[number]
        process.start_count += 1
        process.actor = self.host.create_actor(number, process.start_count)
        process.paused_until = 0.0
        process.receive_queue.clear()
        self._execute(number, process.actor.start(process.local_time(self.now)))

    def kill(self, number: int) -> None:
        """End a process without notifying its actor."""
        process = self.processes[number]
        process.actor = None
        process.timer_id += 1

    def leave(self, number: int) -> None:
        """Shut a process down gracefully, if it runs."""
        process = self.processes[number]
        if process.actor is not None:
            self._execute(number, process.actor.leave(process.local_time(self.now)))
            self.kill(number)

    def pause(self, number: int, duration: float) -> None:
        """Pause a running process for `duration` seconds; a current pause that ends later is kept."""
        process = self.processes[number]
        if process.actor is not None:
            process.paused_until = max(process.paused_until, self.now + duration)
            self._schedule(process.paused_until, self._resume, number, process.start_count)

    def run(self, until: float) -> None:
        """Run the simulation up to the simulated time `until`, in seconds."""
        queue = self.scheduled_calls
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heappop(queue)
            callback(*args)
        self.now = until

    def _schedule(self, when: float, callback: Callable[..., None], *args: object) -> None:
        self.scheduled_count += 1
        heappush(self.scheduled_calls, (max(when, self.now), self.scheduled_count, callback, args))

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
