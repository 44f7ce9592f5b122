"""Discrete-event simulation of thousands of state machines, with the faulty links of fault_injection."""
