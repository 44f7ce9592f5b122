"""Logging to standard error: plain lines for people, or one JSON object per line for programs.

Invariants:

- At most `MAX_LINES_PER_KIND` lines of each kind are written per `RATE_WINDOW_SECONDS` in either format, so
  that bad input cannot flood the log. The next line of that kind reports how many lines were dropped.
- Events of `emit_event` are for programs that track the state of an instance, and appear in JSON only.
- A line that is logged during the write of another line is written after it.
- Plain lines need no third-party library; only `use_json` imports structlog.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

RATE_WINDOW_SECONDS = 1.0
MAX_LINES_PER_KIND = 5
# Higher than the limit of lines, because a program needs the latest event to know the present state.
MAX_EVENTS_PER_KIND = 100

JsonWriter = Callable[[str, str, dict], None]  # Arguments: kind, text and fields.


@dataclass(slots=True)
class _RateWindow:
    """The number of lines of one kind that were requested in the current window.

    Attributes:
        started_at: Start of the window in seconds of the monotonic clock.
        line_count: Requested lines, including those that were dropped.
    """

    started_at: float = -inf
    line_count: int = 0


@dataclass(frozen=True, slots=True)
class _Line:
    """A line to be written, in either format.

    Attributes:
        kind: The kind of event.
        text: The text for people; may be empty.
        fields: Further members of the JSON object.
        console: The whole plain line.
    """

    kind: str
    text: str
    fields: dict
    console: str


_windows: dict[str, _RateWindow] = {}
_queue: deque[_Line] = deque()  # Lines to be written, including those logged during a write.
_is_writing = False
_json_writer: JsonWriter | None = None  # None for plain lines.


def use_json(instance: str) -> None:
    """Write one JSON object per line from now on.

    Its members are `event` (the kind), `text` if it is not empty, the fields of the event, `at` (seconds of
    the monotonic clock, which all processes of a machine share) and `instance`.

    Args:
        instance: The name of this instance.

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
    """Write plain lines from now on, which is the default."""
    global _json_writer
    _json_writer = None


def log_event(kind: str, text: str, limit: int = MAX_LINES_PER_KIND, **fields: object) -> None:
    """Write a line unless its kind has reached its limit.

    Args:
        kind: The kind of event, by which lines are limited.
        text: The text for people.
        limit: Maximum number of lines of this kind per `RATE_WINDOW_SECONDS`.
        **fields: Further members of the JSON object; they do not appear in a plain line.
    """
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
    """Write an event for programs if the format is JSON.

    At most `MAX_EVENTS_PER_KIND` are written per `RATE_WINDOW_SECONDS`.
    """
    if _json_writer is not None:
        log_event(kind, "", MAX_EVENTS_PER_KIND, **fields)


def log_unlimited(kind: str, line: str, **fields: object) -> None:
    """Write a line that was requested explicitly or occurs once, without a limit.

    Args:
        kind: The kind of event, in JSON only.
        line: The whole plain line; JSON has the kind and the fields in its place.
        **fields: Further members of the JSON object.
    """
    _write(kind, "", fields, line)


def _write(kind: str, text: str, fields: dict, console_line: str | None = None) -> None:
    """Write a line, or queue it if another one is being written.

    A garbage collection may start during a write, and its callback logs. A nested write would deadlock on
    structlog's lock, which is not reentrant, and standard error does not allow reentrant writes either.
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
