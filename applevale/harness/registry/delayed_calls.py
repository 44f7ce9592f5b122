"""Delayed calls that can be cancelled all at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class DelayedCalls:
    """The pending delayed calls on the running event loop."""

    def __init__(self) -> None:
        """Create it without pending calls."""
        self._handles: set[asyncio.TimerHandle] = set()

    def schedule(self, delay: float, function: Callable[..., object], *arguments: object) -> None:
        """Call a function after `delay` seconds."""

        def call() -> None:
            self._handles.discard(handle)
            function(*arguments)

        handle = asyncio.get_running_loop().call_later(delay, call)
        self._handles.add(handle)

    def cancel_all(self) -> None:
        """Cancel all pending calls."""
        for handle in self._handles:
            handle.cancel()
        self._handles.clear()
