"""Attempts to execute a request on an engine: specification, progress and result."""

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

MAX_RESULT_BYTES = 48_000  # all pages of one result together

# Time from the write of a cancel command to the end of its attempt. It keeps the next execute command of the
# request, on another connection, from reaching the engine before the cancel command.
CANCEL_SETTLE_SECONDS = 0.01


class Progress(Enum):
    """How far an attempt got that ended without a result."""

    NOT_SENT = 0
    SENT_NOT_EXECUTED = 1  # the reply of the engine proves that it was not executed
    POSSIBLY_EXECUTED = 2
    EXECUTED = 3  # it was executed, but the result is lost


@dataclass(frozen=True)
class AttemptSucceeded:
    """The complete result of an attempt.

    Attributes:
        rows: All pages of the result, joined in order.
        work_seconds: Work of the execution in core-seconds; 0 if unknown.
        memory_mb: Memory used by the execution, in MB; 0 if unknown.
        report: Load report of the engine, in the order of the settings' columns; empty if none was sent.
        result: Always `Result.OK`.
    """

    rows: bytes
    work_seconds: float = 0.0
    memory_mb: float = 0.0
    report: resp.LoadReport = ()
    result: Result = Result.OK


@dataclass(frozen=True)
class AttemptFailed:
    """The failure of an attempt.

    Attributes:
        progress: How far it got.
        result: The result that is reported to the admission controller.
        report: Load report of the engine; empty if none was sent.
    """

    progress: Progress
    result: Result
    report: resp.LoadReport = ()


AttemptResult = AttemptSucceeded | AttemptFailed


@dataclass(frozen=True)
class AttemptSpec:
    """The specification of an attempt; all times are by the event loop's clock.

    Attributes:
        request_id: The request id chosen by the client, passed on unchanged.
        class_name: Name of the request class.
        statement: The statement, passed on unchanged.
        deadline: Time at which the attempt is cancelled.
        start_before: Time before which the write of its command must begin.
        priority: Priority on the engine, from 0 to 3.
        exclusive: Whether it gets a connection of its own, if one is available, so that no other attempt or
            probe can break the connection; for requests that must not be executed twice.
        is_client_gone: Returns whether the client has hung up, even if the end of the stream is unread.
        idempotency_key: Engines recognize a repeated request with another id by it; empty for none.
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

    Invariant: the result callback is called exactly once.

    Attributes:
        spec: The specification.
        connection: The connection that carries it; None if no connection was available.
        message: The queued execute command; None until the connection is established.
        page_count: Number of pages of the result; 0 until the engine has sent the first one.
        is_cancelled: Whether it was cancelled, so that further replies are ignored.
        is_finished: Whether its result was delivered.
    """

    def __init__(self, spec: AttemptSpec, on_result: Callable[[AttemptResult], None]) -> None:
        """Create an attempt; `on_result` is called once with its result."""
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
        """Deliver the result, unless the attempt has finished already."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.connection is not None:
            self.connection.remove_attempt(self)
        on_result = self._on_result
        self._on_result = None  # breaks the reference cycle between the attempt and its callback
        on_result(result)

    def result_after_disconnect(self) -> AttemptFailed:
        """Return the result of the attempt if its connection ends now."""
        if self.page_count:
            return AttemptFailed(Progress.EXECUTED, Result.RESET)
        if self.message is not None and self.message.write_started:
            return AttemptFailed(Progress.POSSIBLY_EXECUTED, Result.RESET)
        # A reset before the command was written does not mean that the engine cannot be reached.
        result = Result.WITHDRAWN if self.connection.was_reached else Result.CONNECT_FAILED
        return AttemptFailed(Progress.NOT_SENT, result)

    def set_priority(self, priority: int) -> None:
        """Send a new priority to the engine if the attempt may still be executing there."""
        if self.is_finished or self.is_cancelled or self.page_count or self.message is None:
            return
        self.connection.send_command(resp.CMD_SET_PRIORITY, self.spec.request_id, b"%d" % priority)

    def cancel(self, result: Result) -> None:
        """Send a cancel command; the attempt finishes with `result` shortly after the command is written.

        If it finished earlier, the next attempt could reach an engine before the cancel command and be
        executed concurrently. Replies that arrive from now on are ignored.
        """
        if self.is_finished or self.is_cancelled:
            return
        self.is_cancelled = True
        if self.message is None or self.connection.write_queue.withdraw(self.message):
            self.finish(AttemptFailed(Progress.NOT_SENT, Result.WITHDRAWN))
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
        """Process a reply of the engine; repeated replies and surplus pages are ignored.

        Raises:
            CorruptReplyError: The reply is invalid.
        """
        status = reply.status
        if status == resp.REPLY_RESULT and not self.page_count:
            self._handle_first_page(reply, report)
        elif status == resp.REPLY_PAGE and self.page_count:
            self._add_page(reply.page_number(self.page_count - 1), reply.body)
        elif status == resp.REPLY_REJECTED and not self.page_count:
            self.finish(AttemptFailed(Progress.SENT_NOT_EXECUTED, Result.REJECTED, report))
        elif status == resp.REPLY_EXPIRED and not self.page_count:
            self.finish(AttemptFailed(Progress.SENT_NOT_EXECUTED, Result.WITHDRAWN, report))
        elif status == resp.REPLY_ERROR:  # the execution or the fetch of a page failed
            progress = Progress.EXECUTED if self.page_count else Progress.POSSIBLY_EXECUTED
            self.finish(AttemptFailed(progress, Result.ERROR, report))

    def _handle_first_page(self, reply: resp.Reply, report: resp.LoadReport) -> None:
        self.page_count = 1  # marks the attempt as executed even if the page count in the reply is corrupt
        self.page_count = reply.page_count()
        self._first_reply = reply
        self._report = report
        for page in range(1, self.page_count):  # requested together, to save round trips
            self.connection.send_command(resp.CMD_FETCH_PAGE, self.spec.request_id, b"%d" % page)
        self._add_page(0, reply.body)

    def _add_page(self, page: int, rows: bytes) -> None:
        if page in self._pages:
            return  # a repeated reply
        resp.validate_rows(rows)
        self._pages[page] = rows
        self._result_bytes += len(rows)
        if self._result_bytes > MAX_RESULT_BYTES:
            self.cancel(Result.ERROR)
        elif len(self._pages) == self.page_count:
            self.finish(self._succeeded())

    def _succeeded(self) -> AttemptSucceeded:
        rows = b"".join(self._pages[page] for page in range(self.page_count))
        reply = self._first_reply
        return AttemptSucceeded(rows, reply.work_seconds(), reply.memory_mb(), self._report)
