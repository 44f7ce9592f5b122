"""Units of the simulator's wire."""

NANOSECONDS = 1_000_000_000  # in a second; times travel in nanoseconds
