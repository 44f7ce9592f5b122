"""`python -m applevale`: the real workload manager."""

from __future__ import annotations

import sys

import uvloop

from .node import app
from .node.config import ConfigError, load
from .observe import events


def main() -> int:
    try:
        config = load()
    except ConfigError as error:
        print(f"applevale: {error}", file=sys.stderr)
        return 2
    if config.json_log:
        events.as_json(config.name)
    try:
        uvloop.run(app.run(config))
    except OSError as error:
        print(f"applevale: listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
