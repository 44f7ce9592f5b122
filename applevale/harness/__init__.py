"""Rigs: the real program between stand-ins, failures from a seed, and a check of what was promised."""
