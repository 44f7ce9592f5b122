"""Entry point of the workload manager: `python -m applevale`."""

from __future__ import annotations

import signal
import sys
import time

EXIT_INVALID_INPUT = 2


def main() -> int:
    """Run the program and return its exit code."""
    early_signals = _collect_early_signals()  # the imports below take time

    import uvloop

    from .config.loader import load_config
    from .config.model import ConfigError
    from .net.addresses import BindError
    from .observability import events
    from .runtime import lifecycle

    imported_at = time.process_time()
    try:
        config = load_config()
    except ConfigError as error:
        print(f"applevale: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    if config.json_log:
        events.use_json(config.name)
    start = lifecycle.StartupRecord(early_signals, imported_at, time.process_time())
    try:
        uvloop.run(lifecycle.run(config, start))
    except (BindError, OSError) as error:
        print(f"applevale: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


def _collect_early_signals() -> set[int]:
    """Return a set to which SIGHUP and SIGUSR1 are added when they arrive before the event loop runs.

    By default either signal would end the process. The handlers are installed before the configuration is
    read, so that no request to reload it is lost.
    """
    early_signals: set[int] = set()
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda received, frame: early_signals.add(received))
    return early_signals


if __name__ == "__main__":
    sys.exit(main())
