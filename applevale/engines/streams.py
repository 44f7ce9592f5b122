"""The streams that one connection to an engine carries: attempts and probes."""

from __future__ import annotations

from collections.abc import Callable

from ..api import Result
from ..net.write_queue import WriteQueue
from . import resp
from .attempt import Attempt, AttemptFailed, Progress

ProbeCallback = Callable[[Result, resp.LoadReport], None]


def ignore_probe_result(result: Result, report: resp.LoadReport) -> None:
    """Do nothing; the callback of pings, whose replies only show that the connection works."""


class StreamTable:
    """The open attempts and probes of a connection; each gets one result.

    Attributes:
        attempts: Open attempts by request id, in order of their start.
        probes: Callbacks of the open probes and pings, by tag.
        is_exclusive: Whether an exclusive attempt is open, beside which nothing may be added.
    """

    __slots__ = ("attempts", "is_exclusive", "probes")

    def __init__(self) -> None:
        """Create an empty table."""
        self.attempts: dict[bytes, Attempt] = {}
        self.probes: dict[bytes, ProbeCallback] = {}
        self.is_exclusive = False

    def __len__(self) -> int:
        """Return the number of attempts and probes."""
        return len(self.attempts) + len(self.probes)

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt; none with the same request id may be open."""
        self.attempts[attempt.spec.request_id] = attempt
        self.is_exclusive |= attempt.spec.exclusive

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has its result, unless another one with the same request id replaced it."""
        if self.attempts.get(attempt.spec.request_id) is attempt:
            del self.attempts[attempt.spec.request_id]
        self.is_exclusive = self.is_exclusive and bool(self.attempts)

    def finish_probe(self, tag: bytes, result: Result, report: resp.LoadReport = ()) -> bool:
        """Deliver the result of a probe or ping; return False if it is not open."""
        on_result = self.probes.pop(tag, None)
        if on_result is None:
            return False
        on_result(result, report)
        return True

    def withdraw_unsent(self, write_queue: WriteQueue) -> None:
        """Fail the attempts whose commands are not being written yet, and dequeue the commands."""
        for attempt in list(self.attempts.values()):
            if attempt.is_cancelled:
                continue
            if attempt.message is None or write_queue.withdraw(attempt.message):
                attempt.finish(AttemptFailed(Progress.NOT_SENT, Result.WITHDRAWN))

    def finish_all(self, probe_result: Result) -> None:
        """Finish all streams after the end of the connection, the probes with `probe_result`."""
        for attempt in list(self.attempts.values()):
            attempt.finish(attempt.result_after_disconnect())
        for tag in list(self.probes):
            self.finish_probe(tag, probe_result)
