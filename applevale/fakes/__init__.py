"""Fakes of the systems around the program, for tests and harnesses; they listen on loopback only."""
