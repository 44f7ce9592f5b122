"""What one connection to an engine carries: attempts, and probes without a reply."""

from __future__ import annotations

from collections.abc import Callable

from ..api import Result
from ..net.write_queue import WriteQueue
from . import resp
from .attempt import Attempt, AttemptFailed, Progress

ProbeCallback = Callable[[Result, resp.LoadReport], None]


def ignore_probe_result(result: Result, report: resp.LoadReport) -> None:
    """Do nothing: the callback of a ping, of which only the reply itself matters."""


class StreamTable:
    """The attempts and probes that a connection carries; each ends once.

    Attributes:
        attempts: The attempts by their request ids, in order.
        probes: Callbacks of the probes and pings without a reply, by their tags.
        is_exclusive: It has an attempt that must not execute twice, and takes nothing beside it.
    """

    __slots__ = ("attempts", "is_exclusive", "probes")

    def __init__(self) -> None:
        """Start empty."""
        self.attempts: dict[bytes, Attempt] = {}
        self.probes: dict[bytes, ProbeCallback] = {}
        self.is_exclusive = False

    def __len__(self) -> int:
        """Return the number of attempts and probes."""
        return len(self.attempts) + len(self.probes)

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt, whose request id is not yet in use."""
        self.attempts[attempt.spec.request_id] = attempt
        self.is_exclusive |= attempt.spec.exclusive

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has its result, unless another one has taken its place."""
        if self.attempts.get(attempt.spec.request_id) is attempt:
            del self.attempts[attempt.spec.request_id]
        self.is_exclusive = self.is_exclusive and bool(self.attempts)

    def finish_probe(self, tag: bytes, result: Result, report: resp.LoadReport = ()) -> bool:
        """Give a probe or ping its result; return False if it had one before."""
        on_result = self.probes.pop(tag, None)
        if on_result is None:
            return False
        on_result(result, report)
        return True

    def withdraw_unsent(self, write_queue: WriteQueue) -> None:
        """Fail the attempts whose commands are not being written yet, and take these from the queue."""
        for attempt in list(self.attempts.values()):
            if attempt.is_cancelled:
                continue
            if attempt.message is None or write_queue.withdraw(attempt.message):
                attempt.finish(AttemptFailed(Progress.NOT_SENT, Result.MOOT))

    def finish_all(self, probe_result: Result) -> None:
        """End all attempts by what the end of their connection proves, and all probes with `probe_result`."""
        for attempt in list(self.attempts.values()):
            attempt.finish(attempt.result_after_disconnect())
        for tag in list(self.probes):
            self.finish_probe(tag, probe_result)
