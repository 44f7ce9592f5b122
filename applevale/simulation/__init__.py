"""Discrete-event simulation of thousands of state machines, on the simulated links of fault_injection."""
