"""What each call of the operators' door means, and its answer: status and JSON body. No I/O and no clock.

Invariant: every call gets one answer; what cannot be used changes no state and names the field at fault.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Protocol

MOST_CALLS = 64  # at a time: past that the oldest unfinished one is closed


@dataclass(frozen=True)
class Answer:
    status: int
    body: dict


class Operated(Protocol):
    """What the door works on: the program, as operators see it."""

    def ready(self) -> bool: ...

    def figures(self) -> dict: ...

    def disable(self, host: str) -> bool: ...  # False: an id that was never listed

    def enable(self, host: str) -> bool: ...

    def drain(self) -> None: ...

    def undrain(self) -> None: ...


GETS = ("/ready", "/metrics")
POSTS = ("/engines/disable", "/engines/enable", "/drain", "/undrain")


def _host(body: bytes) -> str | Answer:
    try:
        fields = json.loads(body or b"null")
    except (ValueError, RecursionError):
        return Answer(400, {"error": "body: not JSON", "field": "body"})
    host = fields.get("host") if isinstance(fields, dict) else None
    if not isinstance(host, str) or not host:
        return Answer(400, {"error": "host: a string is needed", "field": "host"})
    return host


def answer(operated: Operated, method: str, path: str, body: bytes) -> Answer:
    path = path.split("?", 1)[0]
    if path not in GETS + POSTS:
        return Answer(404, {"error": f"no such call: {path[:80]}", "field": "path"})
    wanted = "GET" if path in GETS else "POST"
    if method != wanted:
        return Answer(405, {"error": f"{path} takes {wanted}", "field": "method", "allow": wanted})
    match path:
        case "/ready":
            ready = operated.ready()
            return Answer(200 if ready else 503, {"ready": ready})
        case "/metrics":
            return Answer(200, operated.figures())
        case "/drain":
            operated.drain()
            return Answer(200, {"draining": True})
        case "/undrain":
            operated.undrain()
            return Answer(200, {"draining": False})
    host = _host(body)
    if isinstance(host, Answer):
        return host
    done = operated.disable(host) if path == "/engines/disable" else operated.enable(host)
    if not done:
        return Answer(404, {"error": f"host: no engine {host[:80]!r} was listed", "field": "host"})
    return Answer(200, {"host": host, "disabled": path == "/engines/disable"})
