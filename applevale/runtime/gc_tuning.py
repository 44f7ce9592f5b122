"""The garbage collector's settings for a process whose event loop must not stand still."""

from __future__ import annotations

import gc
import time

from ..observability.events import log_event

LOGGED_PAUSE_SECONDS = 0.01  # a collection that takes longer is logged
# Short and often: over 20,000 objects a collection took 40 to 60 ms. The old generation too: at one in
# 1,000 it was never collected, and a run of 45 minutes ran out of memory.
THRESHOLDS = (1_000, 8, 10)


class PauseLogger:
    """A callback of the collector that logs collections which held the event loop up."""

    def __init__(self) -> None:
        """Start with no collection under way."""
        self.started_at = 0.0

    def __call__(self, phase: str, info: dict) -> None:
        """Note the begin of a collection, or log one that took long."""
        now = time.perf_counter()
        if phase == "start":
            self.started_at = now
            return
        duration = now - self.started_at
        if duration > LOGGED_PAUSE_SECONDS:
            log_event("loop", f"collecting generation {info['generation']} took {duration * 1000:.0f} ms")


def tune_garbage_collector() -> None:
    """Exempt what exists now from collection, and collect the rest in short, frequent steps.

    A full collection stops the event loop, and a stopped loop looks like silent engines.
    """
    gc.collect()
    gc.freeze()
    gc.collect()  # of what is left, almost nothing: else the old ones wait until a quarter as many have come
    gc.set_threshold(*THRESHOLDS)
    gc.callbacks.append(PauseLogger())
