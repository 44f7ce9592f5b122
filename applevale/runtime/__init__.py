"""Start, wiring, reload and shutdown of the program."""
