"""A connection to an engine, which multiplexes attempts and probes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import hiredis

from ..api import Result
from ..net.write_queue import QueuedMessage
from ..observability.events import log_event
from . import resp
from .attempt import CANCEL_SETTLE_SECONDS, Attempt, AttemptFailed, Progress
from .liveness import LivenessMonitor
from .streams import ProbeCallback, StreamTable, ignore_probe_result
from .transport import EngineTransport

if TYPE_CHECKING:
    from .engine import Engine

# Fraction of the engine's idle timeout after which a connection is closed, well before the engine closes it.
IDLE_TIMEOUT_FRACTION = 0.8

REPLY_COUNTERS = {status: f"engine_{status.decode()}" for status in resp.REPLY_STATUSES}
PROBE_RESULTS = {resp.REPLY_PONG: Result.OK, resp.REPLY_REJECTED: Result.REJECTED}


class EngineConnection:
    """A connection to one engine.

    One task connects, reads and closes it. However it ends, each attempt and each probe on it gets a result.

    Attributes:
        streams: The attempts and probes on the connection.
        is_connected: Whether it was established.
        was_reached: Whether the engine was reached: the connection was established, or reset by the engine
            while connecting.
        is_closed: Whether it is being closed; nothing may be added to it.
        is_draining: Whether it accepts no more attempts and probes, and closes when the present ones end.
    """

    def __init__(self, engine: Engine) -> None:
        """Create a connection, and a task that connects to the engine."""
        self.engine = engine
        self.pool = engine.pool
        self.streams = StreamTable()
        self.transport = EngineTransport(self.close)
        self.write_queue = self.transport.write_queue
        self.liveness = LivenessMonitor(self)
        self.is_connected = False
        self.was_reached = False
        self.is_closed = False
        self.is_draining = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = asyncio.create_task(self._run())

    @property
    def stream_count(self) -> int:
        """Number of attempts and probes on the connection."""
        return len(self.streams)

    def accepts(self, request_id: bytes) -> bool:
        """Return whether an attempt may be added, or a probe if `request_id` is empty."""
        streams = self.streams
        return (
            not (self.is_closed or self.is_draining or streams.is_exclusive)
            and self.liveness.ping_tag not in streams.probes
            and len(streams) < self.pool.limits.max_attempts
            and request_id not in streams.attempts
        )

    def is_reusable(self) -> bool:
        """Return whether an idle connection may be used again.

        It may not if the engine has closed it, even if that is unread: a command that is written after the
        close would count as possibly executed. It may not with an incomplete reply either, whose rest would
        corrupt the next reply.
        """
        return self.transport.is_reusable()

    def send_command(self, *parts: bytes, on_written: Callable[[], None] | None = None) -> QueuedMessage:
        """Queue a command; `on_written` is called when the kernel has accepted all of it."""
        return self.transport.send_command(*parts, on_written=on_written)

    def send_attempt(self, attempt: Attempt) -> None:
        """Add an attempt; its command is queued now, or when the connection is established."""
        attempt.connection = self
        self.streams.add_attempt(attempt)
        self._mark_busy()
        if self.is_connected:
            self._send_execute(attempt)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has its result."""
        self.streams.remove_attempt(attempt)
        self._start_idle_timer()

    def probe(self, tag: bytes, on_result: ProbeCallback) -> None:
        """Request a load report from the engine; `on_result` is called once."""
        self.streams.probes[tag] = on_result
        self._mark_busy()
        if self.is_connected:
            self.send_command(resp.CMD_REPORT_LOAD, tag)

    def ping(self, tag: bytes) -> None:
        """Send a ping, to check that the engine still replies on this connection."""
        self.pool.counters["links_checked"] += 1
        self.streams.probes[tag] = ignore_probe_result
        self.send_command(resp.CMD_PING, tag)

    def finish_probe(self, tag: bytes, result: Result, report: resp.LoadReport = ()) -> None:
        """Deliver the result of a probe or ping, unless it has one already."""
        if self.streams.finish_probe(tag, result, report):
            self._start_idle_timer()

    def withdraw_unsent(self) -> None:
        """Fail the attempts whose commands are not being written yet, since the engine accepts no new ones.

        Commands must not reach a draining engine after the grace period, so those that wait for the
        connection or behind a full socket buffer are withdrawn. The connection is closed if a command that is
        being written makes no progress for half the grace period.
        """
        self.streams.withdraw_unsent(self.write_queue)
        if self.write_queue.pending_bytes:
            loop = asyncio.get_running_loop()
            wait = self.pool.limits.drain_grace / 2
            loop.call_later(wait, self._close_if_stalled, self.write_queue.completed_writes)

    def drain(self) -> None:
        """Accept no more attempts and probes, and close the connection when the present ones end."""
        self.is_draining = True
        self._mark_busy()
        self._start_idle_timer()

    def close(self, reason: str) -> None:
        """Begin to close the connection; its attempts and probes get their results shortly after."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.stream_count:
            self.pool.counters["links_lost"] += 1
            open_streams = f"{self.stream_count} attempts and probes were open"
            log_event("engine_connection", f"engine {self.engine.engine_id:08x}: {reason}, {open_streams}")
        if asyncio.current_task() is not self._task:  # else the task itself finishes its streams
            self._task.cancel()

    def _close_if_stalled(self, completed_writes: int) -> None:
        if self.write_queue.pending_bytes and self.write_queue.completed_writes == completed_writes:
            self.close("write stalled during a drain")

    def _mark_busy(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self.liveness.start()

    def _start_idle_timer(self) -> None:
        """Start the timer that closes an idle connection before the engine does.

        A command that is sent while the engine closes the connection would count as possibly executed.
        """
        if self.stream_count or self.is_closed or self._idle_timer is not None:
            return
        self.liveness.stop()
        wait = 0.0 if self.is_draining else self.pool.limits.idle_timeout * IDLE_TIMEOUT_FRACTION
        self._idle_timer = asyncio.get_running_loop().call_later(wait, self.close, "idle")

    def _send_execute(self, attempt: Attempt) -> None:
        spec = attempt.spec
        if not self.pool.may_send(spec, self.engine):  # checked again after the wait for the connection
            attempt.finish(AttemptFailed(Progress.NOT_SENT, Result.WITHDRAWN))
            return
        remaining = spec.deadline - asyncio.get_running_loop().time()
        fields = resp.encode_execute_fields(spec.class_name, remaining, spec.priority, spec.idempotency_key)
        self.pool.counters["attempts_written"] += 1
        attempt.message = self.send_command(
            resp.CMD_EXECUTE,
            spec.request_id,
            fields,
            spec.statement,
            on_written=lambda: self.pool.observer.on_attempt_written(spec.class_name),
        )

    async def _run(self) -> None:
        reason = "closed"
        try:
            await self._connect()
            await self.transport.receive(self._handle_reply)
            reason = "closed by the engine"
        except OSError as error:
            reason = type(error).__name__
        except (hiredis.HiredisError, ValueError) as error:
            self.pool.record_corruption()
            reason = f"{type(error).__name__}: {str(error)[:80]}"
        finally:
            self.close(reason)
            self._detach_from_engine()
            try:
                await self.transport.close()
            finally:
                await self._finish_streams()
                self._task = None  # breaks a reference cycle through the exception of a cancelled task

    def _detach_from_engine(self) -> None:
        self.engine.connections.remove(self)
        if not self.engine.connections:
            self.pool.connect_policy.record_disconnect(self.engine.engine_id)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self.liveness.close()

    async def _finish_streams(self) -> None:
        if self.is_connected and self.streams.attempts:
            # Keeps a retry on another connection from reaching an engine before the end of this connection.
            await asyncio.sleep(CANCEL_SETTLE_SECONDS)
        self.streams.finish_all(Result.RESET if self.was_reached else Result.CONNECT_FAILED)

    async def _connect(self) -> None:
        timeout = self.pool.limits.connect_timeout
        try:
            await self.transport.connect(self.engine.address, self.pool.local_address, timeout)
        except ConnectionResetError:
            self.was_reached = True
            raise
        self.is_connected = True
        self.was_reached = True
        self.pool.counters["links_opened"] += 1
        for attempt in list(self.streams.attempts.values()):
            self._send_execute(attempt)
        for tag in self.streams.probes:
            self.send_command(resp.CMD_REPORT_LOAD, tag)
        self._start_idle_timer()

    def _handle_reply(self, reply: resp.Reply) -> None:
        """Pass a reply to the attempt or probe that it belongs to.

        Raises:
            CorruptReplyError: The reply is invalid, so the connection must be closed.
        """
        self.liveness.last_active_at = asyncio.get_running_loop().time()
        report = resp.parse_load_report(reply.fields, self.pool.report_columns)
        if report:
            self.pool.observer.on_load_report(self.engine.engine_id, report)
        self.pool.counters[REPLY_COUNTERS[reply.status]] += 1
        if reply.tag in self.streams.probes:
            self.finish_probe(reply.tag, PROBE_RESULTS.get(reply.status, Result.ERROR), report)
            return
        attempt = self.streams.attempts.get(reply.tag)
        if attempt is not None and attempt.message is not None and not attempt.is_cancelled:
            attempt.handle_reply(reply, report)
        # Otherwise the reply crossed a cancel command, is repeated, or belongs to no attempt.
        elif attempt is not None and reply.status == resp.REPLY_RESULT and reply.has_further_pages():
            self.send_command(resp.CMD_RELEASE_RESULT, reply.tag)
