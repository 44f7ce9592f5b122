"""Faults between processes, on loopback only: fates of bytes and datagrams, gates, relays, and schedules."""
