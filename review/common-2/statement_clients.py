"""Bad clients: each sends several requests with a long statement at once, and reads its answers.

    python statement_clients.py PORT CONNECTIONS REQUESTS STATEMENT_BYTES

They connect and print a line; they send at full speed when a line comes in, and stay until they are ended.
"""

from __future__ import annotations

import asyncio
import sys

import msgpack
from bad_clients import FIRST_REFERENCE, LOOPBACK, REFERENCES_PER_CLIENT, read_all, send


def pack_requests(client: int, count: int, statement: bytes) -> bytes:
    """Return the requests of one client."""
    fields = {"allow": "14000", "effort": "3000", "space": "10"}
    first = FIRST_REFERENCE + client * REFERENCES_PER_CLIENT
    messages = (
        [0, number, "report", [{"ref": f"{first + number:016x}"} | fields, statement]]
        for number in range(1, count + 1)
    )
    return b"".join(map(msgpack.packb, messages))


async def main(port: int, connections: int, requests: int, statement_bytes: int) -> None:
    """Connect all clients, wait for the start, and let them send."""
    statement = b"select * from air_17.readings -- ".ljust(statement_bytes, b"x")
    opened = [await asyncio.open_connection(LOOPBACK, port) for _ in range(connections)]
    print(f"{connections} connected", flush=True)
    tasks = [asyncio.create_task(read_all(reader)) for reader, _ in opened]
    sys.stdin.readline()
    for client, (_, writer) in enumerate(opened):
        tasks.append(asyncio.create_task(send(writer, pack_requests(client, requests, statement))))
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:])))
