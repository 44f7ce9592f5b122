"""Runs the admission controller on the event loop: passes events in batches, executes its actions."""
