"""Checkers: they read the history that a rig wrote, and share no code with what they check."""
