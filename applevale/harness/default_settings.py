"""Settings that all harnesses pass to the processes they start."""

from ..simulator_wire.units import NANOSECONDS_PER_SECOND

ZONES = ["east", "west"]
MACHINE_KINDS = ["std"]
# The settings in the format of the simulator, which sends all times in nanoseconds.
SETTINGS = {
    "az": 0,
    "me": 0,
    "fleet_size": 1,
    "discovery": "pushed",
    "tick": 5_000_000,
    "zones": ZONES,
    "kinds": MACHINE_KINDS,
    "classes": [
        {
            "name": "lookup",
            "aim": NANOSECONDS_PER_SECOND,
            "aim_stretch": 2.0,
            "deadline": 5 * NANOSECONDS_PER_SECOND,
            "repeat": "safe",
            "worth": 1.0,
        },
        {
            "name": "load",
            "aim": 3 * NANOSECONDS_PER_SECOND,
            "aim_stretch": 3.0,
            "deadline": 10 * NANOSECONDS_PER_SECOND,
            "repeat": "unsafe",
            "by_arrival": True,
            "worth": 6.0,
        },
    ],
    "guarantees": {
        "answer_slack": 20_000_000,
        "drain_grace": NANOSECONDS_PER_SECOND // 2,
        "cold_share": 0.33,
        "warm_up": 15 * NANOSECONDS_PER_SECOND,
        "fall": 3 * NANOSECONDS_PER_SECOND // 2,
        "fall_multiple": 4.0,
    },
    "limits": {
        "cancel": True,
        "may_probe": True,
        "retry_after": True,
        "max_retry_after": NANOSECONDS_PER_SECOND // 2,
        "try_limit": 5,
        "streams_per_conn": 32,
        "conn_idle": 15 * NANOSECONDS_PER_SECOND,
        "dial_timeout": NANOSECONDS_PER_SECOND // 4,
        "max_open": 20_000,
    },
    "specifics": {
        "class_threads": [1, 2],
        "class_load": [False, True],
        "yields_to_loads": [True, False],
        "cpu_of_kind": [8],
        "ram_of_kind_mb": [16384.0],
        "ranks_heeded": True,
        "says_cost": True,
        "largest_share": 0.4,
        "when_short": "shrink",
    },
    "stats": {"how": "answers", "columns": ["active", "cpu", "x1"]},
}
