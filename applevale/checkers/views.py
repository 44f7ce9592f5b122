"""What instances last said of who lives, read off a history or off the events that they write."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec


def read_lines(lines: Iterable[bytes]) -> Iterator[dict]:
    """Events as JSON lines; what is none is passed over: a log has other lines too."""
    for line in lines:
        try:
            event = msgspec.json.decode(line)
        except msgspec.MsgspecError:
            continue
        if isinstance(event, dict) and isinstance(event.get("event"), str):
            yield event


def last_views(events: Iterable[dict]) -> list[str]:
    """A line for each instance: what it thinks of itself, whom it holds to live, what it told last."""
    stands: dict[str, str] = {}
    views: dict[str, list[str]] = {}
    turns: dict[str, tuple[float, str]] = {}
    for event in events:
        who = str(event.get("who") or event.get("instance") or "")
        match event["event"]:
            case "stand":
                stands[who] = str(event["stand"])
            case "held" | "members":
                view = event.get("view") or []
                views[who] = [one if isinstance(one, str) else f"n{one[0]}" for one in view]
                stands[who] = str(event.get("stand", stands.get(who, "")))
            case "view":
                words = ", ".join(f"{name} {change}" for name, change in event["changes"][:6])
                turns[who] = float(event["at"]), words
    found = []
    for who in sorted(stands.keys() | views.keys() | turns.keys(), key=lambda name: (len(name), name)):
        view = views.get(who)
        living = f"{len(view)} live: {' '.join(view)}" if view is not None else "its view was not asked for"
        at, words = turns.get(who, (0.0, ""))
        last = f"; at {at:.2f}: {words}" if words else ""
        found.append(f"{who:6} {stands.get(who, '?'):10} {living}{last}")
    return found
