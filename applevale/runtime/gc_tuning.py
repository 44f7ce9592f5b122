"""Settings of the garbage collector that keep its pauses of the event loop short."""

from __future__ import annotations

import gc
import time

from ..observability.events import log_event

MIN_LOGGED_PAUSE_SECONDS = 0.01
# Thresholds of the three generations. Collections must be frequent to be short: one over 20,000 objects took
# 40 to 60 ms. The oldest generation must be collected too: with a threshold of 1,000 it never was, and a run
# of 45 minutes ran out of memory.
GENERATION_THRESHOLDS = (1_000, 8, 10)


class PauseLogger:
    """A callback of the garbage collector that logs long collections, each of which blocks the event loop."""

    def __init__(self) -> None:
        """Create a callback; no collection is in progress."""
        self.started_at = 0.0

    def __call__(self, phase: str, info: dict) -> None:
        """Record the start of a collection, or log it at its end if it took long."""
        now = time.perf_counter()
        if phase == "start":
            self.started_at = now
            return
        duration = now - self.started_at
        if duration > MIN_LOGGED_PAUSE_SECONDS:
            generation = info["generation"]
            milliseconds = duration * 1000
            log_event(
                "event_loop", f"garbage collection of generation {generation} took {milliseconds:.0f} ms"
            )


def tune_garbage_collector() -> None:
    """Exempt all present objects from garbage collection, and have later ones collected in short steps.

    A full collection blocks the event loop, and during a long pause all engines seem not to respond.
    """
    gc.collect()
    gc.freeze()
    # The oldest generation is collected only after the objects added to it exceed a quarter of those that
    # survived the last full collection. With all present objects frozen, almost none survive this second
    # collection, so the next one is not delayed.
    gc.collect()
    gc.set_threshold(*GENERATION_THRESHOLDS)
    gc.callbacks.append(PauseLogger())
