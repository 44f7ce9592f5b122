"""The engine list out of a key-value registry: records, the follower that decides, and two protocols."""
