"""Scripted fakes of the systems around the program, for tests and harnesses. They listen on loopback only."""
