"""Attempts to execute a request on an engine: what is asked for, how far each came, and its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..api import Result
from ..net.write_queue import QueuedMessage
from . import resp

if TYPE_CHECKING:
    from .connection import EngineConnection

MAX_RESULT_BYTES = 48_000  # of all pages of a result
# From the write of a cancel command to its attempt's end, so that no later execute command overtakes it on
# another connection.
CANCEL_SETTLE_SECONDS = 0.01


class Progress(Enum):
    """How far an attempt came that ended without a result."""

    NOT_SENT = 0
    SENT_NOT_EXECUTED = 1  # the engine's reply proves that it never executed
    POSSIBLY_EXECUTED = 2
    EXECUTED = 3  # it succeeded on the engine, but its result is lost


@dataclass(frozen=True)
class AttemptSucceeded:
    """The whole result of a request.

    Attributes:
        rows: All pages, in order.
        work_seconds: Time on one core that it took; 0 if unknown.
        memory_mb: Memory that it needed; 0 if unknown.
        report: Load of the engine, in the order of the settings' columns; empty if none was sent.
        result: Always `Result.OK`.
    """

    rows: bytes
    work_seconds: float = 0.0
    memory_mb: float = 0.0
    report: resp.LoadReport = ()
    result: Result = Result.OK


@dataclass(frozen=True)
class AttemptFailed:
    """The end of an attempt without a result.

    Attributes:
        progress: How far it came.
        result: What that is to the policy.
        report: Load of the engine, if it sent one with its reply.
    """

    progress: Progress
    result: Result
    report: resp.LoadReport = ()


AttemptResult = AttemptSucceeded | AttemptFailed


@dataclass(frozen=True)
class AttemptSpec:
    """What an engine is asked to execute; all times are of the event loop's clock.

    Attributes:
        request_id: The client's id of the request, passed on unchanged.
        class_name: The request's class.
        statement: The statement, passed on unchanged.
        deadline: When the attempt is cancelled.
        start_before: When the write of its command must have begun.
        priority: 0 to 3.
        exclusive: It must not execute twice, so it shares its connection with nothing that could end it.
        is_client_gone: Whether the client has closed its connection, even if that is not read yet.
        idempotency_key: By which engines recognize a repeated request under another id; empty: none.
    """

    request_id: bytes
    class_name: str
    statement: bytes
    deadline: float
    start_before: float
    priority: int = resp.DEFAULT_PRIORITY
    exclusive: bool = False
    is_client_gone: Callable[[], bool] = lambda: False
    idempotency_key: str = ""


class Attempt:
    """One attempt to execute a request on an engine.

    Invariant: exactly one result is delivered, through the callback.

    Attributes:
        spec: What is asked for.
        connection: The connection that carries it; None if there was none to be had.
        message: Its execute command; None until the connection is established.
        page_count: Number of pages of its result; 0 until the engine has replied with success.
        is_cancelled: Further replies to it are ignored.
        is_finished: Its result was delivered.
    """

    def __init__(self, spec: AttemptSpec, on_result: Callable[[AttemptResult], None]) -> None:
        """Prepare an attempt; `on_result` is called once with its result."""
        self.spec = spec
        self.connection: EngineConnection | None = None
        self.message: QueuedMessage | None = None
        self.page_count = 0
        self.is_cancelled = False
        self.is_finished = False
        self._on_result: Callable[[AttemptResult], None] | None = on_result
        self._first_reply: resp.Reply | None = None
        self._report: resp.LoadReport = ()
        self._pages: dict[int, bytes] = {}
        self._result_bytes = 0

    def finish(self, result: AttemptResult) -> None:
        """Deliver the result, unless one was delivered before."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.connection is not None:
            self.connection.remove_attempt(self)
        on_result = self._on_result
        self._on_result = None  # it refers back to this attempt: a cycle would wait for the collector
        on_result(result)

    def result_after_disconnect(self) -> AttemptFailed:
        """Return what the end of its connection proves about this attempt."""
        if self.page_count:
            return AttemptFailed(Progress.EXECUTED, Result.RESET)
        if self.message is not None and self.message.write_started:
            return AttemptFailed(Progress.POSSIBLY_EXECUTED, Result.RESET)
        # A connection that was reset before the command was written proves nothing about the engine.
        result = Result.MOOT if self.connection.was_connected else Result.CONNECT_FAILED
        return AttemptFailed(Progress.NOT_SENT, result)

    def set_priority(self, priority: int) -> None:
        """Change the priority on the engine, if the attempt may still be executing there."""
        if self.is_finished or self.is_cancelled or self.page_count or self.message is None:
            return
        self.connection.send_command(resp.CMD_SET_PRIORITY, self.spec.request_id, b"%d" % priority)

    def cancel(self, result: Result) -> None:
        """Finish the attempt as `result`, shortly after the engine's connection has taken the cancel command.

        Finished earlier, the next attempt could reach an engine first, on another connection, and be a second
        copy. What the engine replies from now on has crossed the command, and is ignored.
        """
        if self.is_finished or self.is_cancelled:
            return
        self.is_cancelled = True
        if self.message is None or self.connection.write_queue.withdraw(self.message):
            self.finish(AttemptFailed(Progress.NOT_SENT, Result.MOOT))
            return
        progress = Progress.EXECUTED if self.page_count else Progress.POSSIBLY_EXECUTED
        failed = AttemptFailed(progress, result)
        loop = asyncio.get_running_loop()
        self.connection.send_command(
            resp.CMD_RELEASE_RESULT if self.page_count else resp.CMD_CANCEL,
            self.spec.request_id,
            on_written=lambda: loop.call_later(CANCEL_SETTLE_SECONDS, self.finish, failed),
        )

    def handle_reply(self, reply: resp.Reply, report: resp.LoadReport) -> None:
        """Apply one reply of the engine; a second copy, or more than belongs to the result, is ignored.

        Raises:
            CorruptReplyError: The reply contradicts itself or the protocol.
        """
        status = reply.status
        if status == resp.REPLY_RESULT and not self.page_count:
            self._handle_first_page(reply, report)
        elif status == resp.REPLY_PAGE and self.page_count:
            self._add_page(reply.page_number(self.page_count - 1), reply.body)
        elif status == resp.REPLY_REJECTED and not self.page_count:
            self.finish(AttemptFailed(Progress.SENT_NOT_EXECUTED, Result.FULL, report))
        elif status == resp.REPLY_EXPIRED and not self.page_count:
            self.finish(AttemptFailed(Progress.SENT_NOT_EXECUTED, Result.MOOT, report))
        elif status == resp.REPLY_ERROR:  # of the statement or of a page
            progress = Progress.EXECUTED if self.page_count else Progress.POSSIBLY_EXECUTED
            self.finish(AttemptFailed(progress, Result.ERROR, report))

    def _handle_first_page(self, reply: resp.Reply, report: resp.LoadReport) -> None:
        self.page_count = 1  # from here on it is known to have executed, even if the number is corrupt
        self.page_count = reply.page_count()
        self._first_reply = reply
        self._report = report
        for page in range(1, self.page_count):  # all at once: one round trip
            self.connection.send_command(resp.CMD_FETCH_PAGE, self.spec.request_id, b"%d" % page)
        self._add_page(0, reply.body)

    def _add_page(self, page: int, rows: bytes) -> None:
        if page in self._pages:
            return  # a second copy
        resp.validate_rows(rows)
        self._pages[page] = rows
        self._result_bytes += len(rows)
        if self._result_bytes > MAX_RESULT_BYTES:  # bounds the memory of one result
            self.cancel(Result.ERROR)
        elif len(self._pages) == self.page_count:
            self.finish(self._succeeded())

    def _succeeded(self) -> AttemptSucceeded:
        rows = b"".join(self._pages[page] for page in range(self.page_count))
        reply = self._first_reply
        return AttemptSucceeded(rows, reply.work_seconds(), reply.memory_mb(), self._report)
