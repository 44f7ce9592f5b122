"""Events on standard error: plain lines as ever, or one JSON object a line for programs that read along.

Invariants:

- Of one kind at most `MOST` lines leave in a span, whatever the form, so that bad input cannot flood the log;
  the next one tells how many were left out.
- `tell` is for programs: turns of a state that a rig or a collector follows. The console prints none of them.
- The console needs no library; structlog is loaded by `as_json` only.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from math import inf

SPAN = 1.0  # s over which lines of one kind are counted
MOST = 5  # lines of one kind in that span
MOST_TOLD = 100  # events of one kind for programs

Sink = Callable[[str, str, dict], None]

_NEVER = (-inf, 0)
_kinds: dict[str, tuple[float, int]] = {}  # start of the span, lines asked for in it
_json: Sink | None = None  # None: the console


def as_json(name: str) -> None:
    """From now on one JSON object a line: `event`, `text` where there is one, the fields, `at` (s, the steady
    clock that all processes of a machine share) and `instance`. Raises ImportError without structlog."""
    global _json
    import structlog

    def stamp(logger: object, method: str, event: dict) -> dict:
        return {"at": round(time.monotonic(), 6), "instance": name, **event}

    logger = structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),
        cache_logger_on_first_use=True,
        wrapper_class=structlog.BoundLogger,
        processors=[stamp, structlog.processors.JSONRenderer()],
    )

    def write(kind: str, text: str, fields: dict) -> None:
        logger.info(kind, **({"text": text} if text else {}), **fields)

    _json = write


def as_lines() -> None:
    """The console again."""
    global _json
    _json = None


def say(kind: str, text: str, most: int = MOST, **fields: object) -> None:
    """One line for people, and with `fields` for programs too; only the first of a kind in a span."""
    now = time.monotonic()
    start, count = _kinds.get(kind, _NEVER)
    if now - start >= SPAN:
        if count > most:
            _write(kind, f"{count - most} more lines were left out", {})
        start, count = now, 0
    _kinds[kind] = start, count + 1
    if count < most:
        _write(kind, text, fields)


def _write(kind: str, text: str, fields: dict) -> None:
    if _json is None:
        print(f"{kind}: {text}", file=sys.stderr, flush=True)
    else:
        _json(kind, text, fields)


def tell(kind: str, **fields: object) -> None:
    """An event for programs that read along; nothing on the console. Limited like the lines, at more of them:
    whoever follows a state wants its last turn."""
    if _json is not None:
        say(kind, "", MOST_TOLD, **fields)


def always(kind: str, line: str, **fields: object) -> None:
    """What was asked for, or comes once: not limited. On the console `line` as it is."""
    if _json is not None:
        _json(kind, "", fields)
    else:
        print(line, file=sys.stderr, flush=True)
