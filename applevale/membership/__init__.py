"""Group membership among instances: SWIM with Lifeguard's extensions; a death needs a quorum of observers.

`protocol.py` has the entry points. Only `runner.py` performs I/O and reads a clock.
"""
