"""Bad clients, one after the other: each sends hundreds of requests, takes them back at once, and goes.

    python passing_clients.py PORT CLIENTS

It prints a line once all data is packed, begins when a line comes in, and ends after the last client.
"""

from __future__ import annotations

import contextlib
import socket
import sys

from bad_clients import LOOPBACK, pack_round

ROUNDS_PER_CLIENT = 3  # of 300 requests


def main(port: int, clients: int) -> None:
    """Let the clients come and go; there is never more than one connection open."""
    data = [
        b"".join(pack_round(client, 1 + 300 * r) for r in range(ROUNDS_PER_CLIENT))
        for client in range(clients)
    ]
    print("packed", flush=True)
    sys.stdin.readline()
    for requests in data:
        with contextlib.suppress(OSError), socket.create_connection((LOOPBACK, port)) as sock:
            sock.sendall(requests)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
