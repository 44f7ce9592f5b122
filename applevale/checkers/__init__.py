"""Checkers that read the history of a run and share no code with the programs that they check."""
