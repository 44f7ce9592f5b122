"""The cases of the fleet harness: what happens, and what may come of it at the most."""
