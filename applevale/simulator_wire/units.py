"""Time unit of the simulator's wire protocol."""

NANOSECONDS_PER_SECOND = 1_000_000_000
