"""Handling of client requests from admission to response, independent of the protocol."""
