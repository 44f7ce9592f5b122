"""Group membership among instances: a SWIM protocol with Lifeguard's extensions and several observers.

`protocol.py` has the entry points. All but `runner.py` work without I/O and clock.
"""
