"""Harnesses: the real program between fakes, failures from a seed, and a check of what is guaranteed."""
