"""Scripted fakes of the systems around the program, for tests and rigs. They listen on loopback only."""
