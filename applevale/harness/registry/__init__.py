"""The registry harness: the application with fake registries of both kinds, under faults from a seed.

Now and then all faults end, and the application has to catch up with the registry. Such a moment is a quiet
point.

What is checked:

- No engine receives new work later than 500 ms after the registry committed its drain or deletion.
- At each quiet point the application's engine list matches the registry.
- No request is lost, answered twice, executed twice where that is unsafe, or executed out of the order of its
  key.
"""
