"""Bad clients: each sends hundreds of requests that it takes back at once, and reads its answers.

    python bad_clients.py PORT CONNECTIONS ROUNDS SECONDS

They connect and print a line; they send at full speed when a line comes in, and close after some seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

import msgpack

LOOPBACK = "127.0.0.1"
REQUESTS_PER_ROUND = 300
READ_BYTES = 65536
FIRST_REFERENCE = 0x7E00000000000000
REFERENCES_PER_CLIENT = 1 << 32


def request_parts() -> tuple[bytes, bytes]:
    """Return what stands between the message id and the `ref` of a request, and what follows the `ref`."""
    fields = {"ref": "0" * 16, "allow": "1500", "effort": "200", "space": "10"}
    message = msgpack.packb([0, 0, "lookup", [fields, b"select * from air_17.readings limit 5"]])
    before, after = message.split(b"0" * 16)
    return before[3:], after  # without the array header, the type and the id


def pack_round(client: int, first_id: int) -> bytes:
    """Return a round of requests, each followed by its `giveUp`."""
    middle, end = request_parts()
    pieces = []
    for number in range(first_id, first_id + REQUESTS_PER_ROUND):
        message_id = b"\xce" + number.to_bytes(4, "big")
        reference = b"%016x" % (FIRST_REFERENCE + client * REFERENCES_PER_CLIENT + number)
        pieces += (b"\x94\x00", message_id, middle, reference, end)
        pieces += (b"\x93\x02\xa6giveUp\x91", message_id)
    return b"".join(pieces)


async def read_all(reader: asyncio.StreamReader) -> None:
    """Read and drop all answers."""
    with contextlib.suppress(OSError):
        while await reader.read(READ_BYTES):
            pass


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send everything at full speed."""
    with contextlib.suppress(OSError):
        writer.write(data)
        await writer.drain()


async def main(port: int, count: int, rounds: int, seconds: float) -> None:
    """Connect all clients, wait for the start, and let them send."""
    first_ids = range(1, rounds * REQUESTS_PER_ROUND, REQUESTS_PER_ROUND)
    data = [b"".join(pack_round(client, first) for first in first_ids) for client in range(count)]
    connections = [await asyncio.open_connection(LOOPBACK, port) for _ in range(count)]
    print(f"{count} connected", flush=True)
    tasks = [asyncio.create_task(read_all(reader)) for reader, _ in connections]
    sys.stdin.readline()
    tasks += [asyncio.create_task(send(writer, data[i])) for i, (_, writer) in enumerate(connections)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    for _, writer in connections:
        writer.transport.abort()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
