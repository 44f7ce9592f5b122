"""Checkers: they read the history of a run, and share no code with what they check."""
