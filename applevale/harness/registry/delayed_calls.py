"""Calls that are due later, and can all be cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class DelayedCalls:
    """Calls on the running event loop that have yet to be made."""

    def __init__(self) -> None:
        """Create it without any call."""
        self._handles: set[asyncio.TimerHandle] = set()

    def schedule(self, delay: float, function: Callable[..., object], *arguments: object) -> None:
        """Call a function after `delay` seconds."""

        def call() -> None:
            self._handles.discard(handle)
            function(*arguments)

        handle = asyncio.get_running_loop().call_later(delay, call)
        self._handles.add(handle)

    def cancel_all(self) -> None:
        """Make none of the calls that are not due yet."""
        for handle in self._handles:
            handle.cancel()
        self._handles.clear()
