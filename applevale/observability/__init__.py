"""Counters, and logging to standard error."""
