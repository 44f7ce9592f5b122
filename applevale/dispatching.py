"""Dispatch of a batch of events to handlers by their type."""

from __future__ import annotations

from collections.abc import Callable, Sequence


class BatchDispatcher:
    """Handles a batch of events type by type, and those of one type in their order."""

    def __init__(self, handlers: dict[type, Callable]):
        """Handle types in the order of `handlers`; events of other types are ignored."""
        self.handlers = handlers

    def dispatch(self, events: Sequence) -> None:
        """Handle the events of a batch."""
        for kind, handler in self.handlers.items():
            for event in events:
                if type(event) is kind:
                    handler(event)
