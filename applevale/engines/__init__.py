"""Connections to engines: protocol, attempts, liveness checks, connection pool."""
