"""Parser of the log lines that the application writes to standard error."""

from __future__ import annotations

import json

# Beginnings of the plain-text lines on the registry's engine list, and whether they report it as confirmed.
CONFIRMATION_PREFIXES = (
    ("registry: the list is confirmed", True),
    ("registry: confirmed", True),  # written by earlier versions
    ("registry: the list is not confirmed", False),
)


def parse_event(line: str) -> dict:
    """Return the event that a log line reports, with its kind under the key `event`.

    Besides JSON lines, the plain-text lines of this version and of earlier ones are supported. A line in no
    known format becomes an event of kind `line`.
    """
    if line.startswith("{"):
        try:
            return {"event": "line"} | json.loads(line)
        except ValueError:
            return {"event": "line", "text": line}
    if line.startswith("counters "):
        return {"event": "counters", "counts": json.loads(line.removeprefix("counters "))}
    name, _, address = line.partition(" listens on ")
    host, _, port = address.rpartition(":")
    if name and port.isdecimal():
        return {"event": "listening", "host": host, "port": int(port)}
    for prefix, confirmed in CONFIRMATION_PREFIXES:
        if line.startswith(prefix):
            return {"event": "list", "confirmed": confirmed}
    return {"event": "line", "text": line}
