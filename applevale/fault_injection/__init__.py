"""Faults between processes, on loopback only: link conditions, TCP and UDP proxies, schedules, scenarios."""
