"""Runs the membership protocol: its datagrams, its timer, and the log of its view and status."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from math import inf

from ..net.datagrams import DatagramSocket
from ..observability.counters import Counters
from ..observability.events import emit_event, log_event
from . import codec
from .commands import Command, LocalStatus, MemberChanged, SendMessage, StatusChanged, ViewChanged
from .fleet_size import EffectiveFleetSize
from .protocol import MembershipProtocol

MAX_LOGGED_CHANGES = 8  # Limit for one log line.


class MembershipRunner:
    """Passes datagrams and time to the protocol, and carries out its commands.

    The clock is monotonic and includes the time in which the machine is suspended.
    """

    def __init__(
        self,
        protocol: MembershipProtocol,
        fleet_size: EffectiveFleetSize,
        datagrams: DatagramSocket,
        counters: Counters,
        on_resize: Callable[[int], None],
    ):
        """Create a runner and register it for the membership datagrams of the socket.

        Args:
            protocol: The protocol of this member.
            fleet_size: The size by which shared limits are divided; the runner updates it.
            datagrams: The socket of all datagrams between instances.
            counters: Counters to which the protocol's statistics are added.
            on_resize: Called with the new size whenever `fleet_size` changes.
        """
        self._protocol = protocol
        self._fleet_size = fleet_size
        self._datagrams = datagrams
        self._counters = counters
        self._on_resize = on_resize
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False
        datagrams.handlers[codec.MAGIC] = self._on_datagram

    @staticmethod
    def clock() -> float:
        """Return the time in seconds since the machine was booted, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self) -> None:
        """Start to join the fleet."""
        self._execute(self._protocol.start(self.clock()))

    def leave(self) -> None:
        """Leave the fleet and inform other members."""
        self._execute(self._protocol.leave(self.clock()))

    def stop(self) -> None:
        """Cancel the timer; the protocol receives no ticks any more."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def dump_state(self) -> None:
        """Update the counters, and emit an event with the status and the view."""
        view = self._protocol.view
        for name, count in vars(self._protocol.stats).items():
            self._counters[f"members_{name}"] = count
        self._counters["members_living"] = view.size
        self._counters["members_changes"] = view.change_count
        emit_event(
            "members",
            stand=self._protocol.status.value,
            view=[(alive.member, alive.incarnation) for alive in view.alive_members()],
            digest=view.table.digest,
            share_of=self._fleet_size.size,
        )

    def _on_datagram(self, sender: int, data: bytes) -> None:
        try:
            message = codec.decode(data)
        except codec.MalformedDatagramError as error:
            self._datagrams.reject(self._datagrams.addresses.instances[sender], str(error))
            return
        self._execute(self._protocol.on_message(self.clock(), sender, message))

    def _on_timer(self) -> None:
        self._execute(self._protocol.on_tick(self.clock()))

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case SendMessage(target=target, message=message):
                    self._datagrams.send(codec.encode(message), self._datagrams.addresses.instances[target])
                case ViewChanged(changes=changes):
                    self._announce_changes(changes)
                case StatusChanged(status=status):
                    self._announce_status(status)
        now = self.clock()
        self._update_fleet_size(now)
        self._schedule_timer(now)

    def _announce_changes(self, changes: tuple[MemberChanged, ...]) -> None:
        alive_count = self._protocol.view.size
        named_changes = [(f"n{changed.member}", changed.change.value) for changed in changes]
        emit_event("view", changes=named_changes, living=alive_count)
        logged_changes = ", ".join(f"{name} {change}" for name, change in named_changes[:MAX_LOGGED_CHANGES])
        ellipsis = ", …" if len(named_changes) > MAX_LOGGED_CHANGES else ""
        log_event("membership", f"{alive_count} members alive after changes: {logged_changes}{ellipsis}")

    def _announce_status(self, status: LocalStatus) -> None:
        emit_event("stand", stand=status.value)
        if status is not LocalStatus.PAUSED:
            alive_count = self._protocol.view.size
            log_event(
                "membership", f"the status of this member is {status.value}; {alive_count} members alive"
            )

    def _update_fleet_size(self, now: float) -> None:
        former_size = self._fleet_size.size
        protocol = self._protocol
        size = self._fleet_size.update(now, protocol.view.size, protocol.is_view_reliable)
        if size != former_size:
            self._on_resize(size)

    def _schedule_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = min(self._protocol.next_deadline(), self._fleet_size.next_deadline)
        if not self._stopped and due < inf:
            delay = max(0.0, due - now)
            self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)


def new_process_id() -> int:
    """Return a random number of 16 bits that distinguishes this process from the member's earlier ones."""
    return int.from_bytes(os.urandom(2), "big")
