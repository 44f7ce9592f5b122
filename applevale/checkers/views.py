"""The last reported views of members, read from a history or from the events that instances write."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

MAX_PRINTED_CHANGES = 6


@dataclass
class ReportedView:
    """What an instance last reported.

    Attributes:
        status: Its own status, empty where its view came without one; None: neither was reported.
        members: Names of the members that it holds alive; None: never reported.
        changed_at: Time of its last change, in seconds.
        changes: Its last changes, as text; empty: none.
    """

    status: str | None = None
    members: list[str] | None = None
    changed_at: float = 0.0
    changes: str = ""

    def describe(self, name: str) -> str:
        """Return the view as one row of text."""
        if self.members is None:
            living = "its view was not asked for"
        else:
            living = f"{len(self.members)} live: {' '.join(self.members)}"
        status = "?" if self.status is None else self.status
        last = f"; at {self.changed_at:.2f}: {self.changes}" if self.changes else ""
        return f"{name:6} {status:10} {living}{last}"


def read_lines(lines: Iterable[bytes]) -> Iterator[dict]:
    """Iterate over the events among JSON lines; anything else in a log is skipped."""
    for line in lines:
        try:
            event = msgspec.json.decode(line)
        except msgspec.MsgspecError:
            continue
        if isinstance(event, dict) and isinstance(event.get("event"), str):
            yield event


def last_views(events: Iterable[dict]) -> list[str]:
    """Return a row of text for each instance: its own status, whom it holds alive, its last changes."""
    views: dict[str, ReportedView] = {}
    for event in events:
        if event["event"] in ("stand", "held", "members", "view"):
            name = str(event.get("who") or event.get("instance") or "")
            _apply(event, views.setdefault(name, ReportedView()))
    return [views[name].describe(name) for name in sorted(views, key=lambda name: (len(name), name))]


def _apply(event: dict, view: ReportedView) -> None:
    match event["event"]:
        case "stand":
            view.status = str(event["stand"])
        case "held" | "members":
            members = event.get("view") or []
            view.members = [member if isinstance(member, str) else f"n{member[0]}" for member in members]
            view.status = str(event.get("stand", view.status or ""))
        case "view":
            changes = event["changes"][:MAX_PRINTED_CHANGES]
            view.changes = ", ".join(f"{name} {change}" for name, change in changes)
            view.changed_at = float(event["at"])
