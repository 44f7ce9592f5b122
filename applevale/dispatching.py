"""Dispatch of a batch of events to handlers by their type."""

from __future__ import annotations

from collections.abc import Callable, Sequence


def dispatch_by_type(handlers: dict[type, Callable], events: Sequence) -> None:
    """Handle a batch of events in the order of `handlers`, and those of one type in their own order.

    Events of other types are ignored.
    """
    for kind, handler in handlers.items():
        for event in events:
            if type(event) is kind:
                handler(event)
