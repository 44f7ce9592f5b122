"""Group membership among instances: SWIM with Lifeguard's extensions, and a quorum of observers for a death.

`protocol.py` has the entry points. Only `runner.py` performs I/O and reads a clock.
"""
