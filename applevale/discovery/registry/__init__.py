"""The list of engines in a key-value registry: records, the watcher that decides, and two protocols."""
