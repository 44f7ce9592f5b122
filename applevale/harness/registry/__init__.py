"""The registry harness: the application behind both kinds of fake registry, with failures from a seed.

Checked in each run: no new work arrives at an engine later than 500 ms after the registry committed its drain
or its deletion; at each quiet point the application's list is the registry's; no request is lost, answered
twice, executed twice where that is not safe, or out of its key's order.
"""
