"""Dispatch of batches of events to handlers."""

from __future__ import annotations

from collections.abc import Callable, Sequence


def dispatch_by_type(handlers: dict[type, Callable], events: Sequence) -> None:
    """Pass each event of a batch to the handler of its type; ignore events of other types.

    Types are handled in the order of `handlers`, and events of one type in the order of the batch.
    """
    for kind, handler in handlers.items():
        for event in events:
            if type(event) is kind:
                handler(event)
