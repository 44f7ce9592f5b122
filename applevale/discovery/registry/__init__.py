"""The engine list out of a key-value registry: records, the watcher that decides, and two protocols."""
