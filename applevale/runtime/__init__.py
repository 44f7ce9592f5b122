"""Startup, wiring, configuration reload and shutdown of the program."""
