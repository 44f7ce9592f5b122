"""Sockets shared by several packages: ordered writes, datagrams between instances."""
