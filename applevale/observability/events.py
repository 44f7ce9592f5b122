"""Log events on standard error: plain lines for people, or one JSON object a line for programs.

Invariants:

- Of one kind at most `MAX_LINES_PER_KIND` lines are written in a window of time, whatever the form, so that
  bad input cannot flood the log; the next line of that kind reports how many were left out.
- `emit_event` is for programs that follow the state of an instance; the console prints none of its events.
- A line that is asked for within the write of another one follows it.
- The console needs no library; structlog is loaded by `use_json` only.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

RATE_WINDOW_SECONDS = 1.0  # over which lines of one kind are counted
MAX_LINES_PER_KIND = 5  # in a window
MAX_EVENTS_PER_KIND = 100  # of `emit_event`, in a window

Writer = Callable[[str, str, dict], None]  # kind, text, fields


@dataclass(slots=True)
class _RateWindow:
    """The lines of one kind that were asked for since `started_at` (s)."""

    started_at: float = -inf
    line_count: int = 0


@dataclass(frozen=True, slots=True)
class _Line:
    """A line to be written, in both forms."""

    kind: str
    text: str
    fields: dict
    console: str


_windows: dict[str, _RateWindow] = {}
_queue: deque[_Line] = deque()  # lines that are asked for while another one is written
_is_writing = False
_json_writer: Writer | None = None  # None: the console


def use_json(instance: str) -> None:
    """Write one JSON object a line from now on.

    Its keys are `event`, `text` where there is one, the fields of the event, `at` (s, the monotonic clock
    that all processes of a machine share) and `instance`.

    Raises:
        ImportError: structlog is not installed.
    """
    global _json_writer
    import structlog

    def add_origin(logger: object, method: str, event: dict) -> dict:
        return {"at": round(time.monotonic(), 6), "instance": instance, **event}

    logger = structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),
        cache_logger_on_first_use=True,
        wrapper_class=structlog.BoundLogger,
        processors=[add_origin, structlog.processors.JSONRenderer()],
    )

    def write(kind: str, text: str, fields: dict) -> None:
        logger.info(kind, **({"text": text} if text else {}), **fields)

    _json_writer = write


def use_console() -> None:
    """Write plain lines from now on; the form at the start."""
    global _json_writer
    _json_writer = None


def log_event(kind: str, text: str, limit: int = MAX_LINES_PER_KIND, **fields: object) -> None:
    """Write one line for people, with `fields` for programs; at most `limit` of a kind in a window."""
    now = time.monotonic()
    window = _windows.get(kind)
    if window is None:
        window = _windows[kind] = _RateWindow()
    if now - window.started_at >= RATE_WINDOW_SECONDS:
        if window.line_count > limit:
            _write(kind, f"{window.line_count - limit} more lines were left out", {})
        window.started_at = now
        window.line_count = 0
    window.line_count += 1
    if window.line_count <= limit:
        _write(kind, text, fields)


def emit_event(kind: str, **fields: object) -> None:
    """Write an event for programs; nothing on the console.

    Limited like lines, at a higher number: whoever follows a state needs its last change.
    """
    if _json_writer is not None:
        log_event(kind, "", MAX_EVENTS_PER_KIND, **fields)


def log_unlimited(kind: str, line: str, **fields: object) -> None:
    """Write what was asked for, or comes once, without a limit; on the console `line` alone."""
    _write(kind, "", fields, line)


def _write(kind: str, text: str, fields: dict, console_line: str | None = None) -> None:
    """Write a line, or queue it behind the one that is being written.

    A garbage collection may start within a write, and its callback logs: structlog's lock is not reentrant,
    so the thread would wait for itself for ever, and the standard stream refuses a write within a write.
    """
    global _is_writing
    console = f"{kind}: {text}" if console_line is None else console_line
    _queue.append(_Line(kind, text, fields, console))
    if _is_writing:
        return
    _is_writing = True
    try:
        while _queue:
            _write_now(_queue.popleft())
    finally:
        _is_writing = False


def _write_now(line: _Line) -> None:
    if _json_writer is None:
        print(line.console, file=sys.stderr, flush=True)
    else:
        _json_writer(line.kind, line.text, line.fields)
