"""`python -m applevale`: the real workload manager."""

from __future__ import annotations

import signal
import sys
import time

EXIT_UNUSABLE_INPUT = 2


def main() -> int:
    """Run the program; return its exit code."""
    early_signals = _keep_early_signals()

    import uvloop

    from .config.loader import load_config
    from .config.model import ConfigError
    from .observability import events
    from .runtime import lifecycle

    imported_at = time.process_time()
    try:
        config = load_config()
    except ConfigError as error:
        print(f"applevale: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_INPUT
    if config.json_log:
        events.use_json(config.name)
    start = lifecycle.StartRecord(early_signals, imported_at, time.process_time())
    try:
        uvloop.run(lifecycle.run(config, start))
    except OSError as error:
        print(f"applevale: listen: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_INPUT
    return 0


def _keep_early_signals() -> set[int]:
    """Collect the signals that come before the event loop runs; by default either would end the process.

    A reload is kept for later; before these handlers the configuration has not been read yet.
    """
    early_signals: set[int] = set()
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda number, frame: early_signals.add(number))
    return early_signals


if __name__ == "__main__":
    sys.exit(main())
