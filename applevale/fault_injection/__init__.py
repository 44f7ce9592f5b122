"""Fault injection between processes on loopback: link conditions, proxies, schedules and scenarios."""
