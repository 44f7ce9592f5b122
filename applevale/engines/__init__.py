"""Connections to engines: protocol, attempts, liveness, the pool."""
