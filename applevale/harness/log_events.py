"""Parser of the log lines that the application writes to standard error."""

from __future__ import annotations

import json


def parse_event(line: str) -> dict:
    """Return a log line of the application as an event.

    Lines of versions that log plain text only are understood too. A line of no known form becomes an event
    of kind `line`.
    """
    if line.startswith("{"):
        try:
            return {"event": "line"} | json.loads(line)
        except ValueError:
            return {"event": "line", "text": line}
    if line.startswith("counters "):
        return {"event": "counters", "counts": json.loads(line.removeprefix("counters "))}
    name, _, place = line.partition(" listens on ")
    host, _, port = place.rpartition(":")
    if name and port.isdecimal():
        return {"event": "listening", "host": host, "port": int(port)}
    for text, confirmed in (("registry: confirmed", True), ("registry: the list is not confirmed", False)):
        if line.startswith(text):
            return {"event": "list", "confirmed": confirmed}
    return {"event": "line", "text": line}
