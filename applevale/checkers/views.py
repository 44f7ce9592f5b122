"""The last views that members reported, from a history or from the log events of instances."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

MAX_PRINTED_CHANGES = 6


@dataclass
class ReportedView:
    """The last view that an instance reported.

    Attributes:
        status: The status of the instance itself; empty if it reported a view without a status, None if it
            reported neither.
        members: Names of the members in its view; None if it reported no view.
        changed_at: Time of the last change of the view, in seconds.
        changes: The last changes of the view, as text; empty if there were none.
    """

    status: str | None = None
    members: list[str] | None = None
    changed_at: float = 0.0
    changes: str = ""

    def describe(self, name: str) -> str:
        """Return the view of the instance `name` as one row of text."""
        if self.members is None:
            members_text = "no view was reported"
        else:
            members_text = f"{len(self.members)} live: {' '.join(self.members)}"
        status = "?" if self.status is None else self.status
        last_change = f"; at {self.changed_at:.2f}: {self.changes}" if self.changes else ""
        return f"{name:6} {status:10} {members_text}{last_change}"


def read_lines(lines: Iterable[bytes]) -> Iterator[dict]:
    """Iterate over the events in JSON lines; all other lines of a log are skipped."""
    for line in lines:
        try:
            event = msgspec.json.decode(line)
        except msgspec.MsgspecError:
            continue
        if isinstance(event, dict) and isinstance(event.get("event"), str):
            yield event


def describe_last_views(events: Iterable[dict]) -> list[str]:
    """Return a row of text for each instance: its status, the members in its view and its last changes."""
    views: dict[str, ReportedView] = {}
    for event in events:
        if event["event"] in ("stand", "held", "members", "view"):
            name = str(event.get("who") or event.get("instance") or "")
            _apply_event(event, views.setdefault(name, ReportedView()))
    return [views[name].describe(name) for name in sorted(views, key=lambda name: (len(name), name))]


def _apply_event(event: dict, view: ReportedView) -> None:
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
