"""Scripted stand-ins for the systems round the program: for tests and rigs, on loopback only."""
