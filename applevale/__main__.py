"""`python -m applevale`: the real workload manager."""

from __future__ import annotations

import signal
import sys
import time


def main() -> int:
    # Guards the start against a reload or a question for counters that comes before there is a loop: by
    # default either would end the process. Behind these lines a reload is kept; before them the
    # configuration is not read yet.
    early: set[int] = set()
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda number, frame: early.add(number))

    import uvloop

    from .config.loader import ConfigError, load
    from .observability import events
    from .runtime import application as app

    imported = time.process_time()
    try:
        config = load()
    except ConfigError as error:
        print(f"applevale: {error}", file=sys.stderr)
        return 2
    if config.json_log:
        events.use_json(config.name)
    try:
        uvloop.run(app.run(config, app.Begun(early, imported, time.process_time())))
    except OSError as error:
        print(f"applevale: listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
