"""Rate-limited lines on standard error."""

from __future__ import annotations

import sys
import time

SPAN = 1.0  # s over which lines of one kind are counted
MOST = 5  # lines of one kind in that span

_kinds: dict[str, tuple[float, int]] = {}  # start of the span, lines asked for in it


def say(kind: str, text: str) -> None:
    """Prints `text`; of one kind only the first lines in a span, so that bad input cannot flood the log."""
    now = time.monotonic()
    start, count = _kinds.get(kind, (-SPAN, 0))
    if now - start >= SPAN:
        if count > MOST:
            print(f"{kind}: {count - MOST} more lines were left out", file=sys.stderr)
        start, count = now, 0
    _kinds[kind] = (start, count + 1)
    if count < MOST:
        print(f"{kind}: {text}", file=sys.stderr, flush=True)
