"""Drives the decision module on the event loop: batches of events in, actions out."""
