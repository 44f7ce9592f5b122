"""Send one request to a workload manager and print the answer.

python examples/ask.py 127.0.0.1:7001 lookup "select * from air_17.readings limit 5"
"""

import secrets
import socket
import sys

import msgpack

READ_SIZE_BYTES = 65536
REQUEST_NUMBER = 1


def ask(address: str, method: str, statement: str) -> list:
    """Send a request over a connection of its own and return the whole answer message.

    Args:
        address: The address of the workload manager, as HOST:PORT.
        method: The class of the request.
        statement: The statement to execute.

    Raises:
        ConnectionError: If the connection is closed before the answer arrives.
    """
    host, port = address.split(":")
    fields = {"ref": secrets.token_hex(8), "allow": "5000", "effort": "100", "space": "16", "lookup": "7"}
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(msgpack.packb([0, REQUEST_NUMBER, method, [fields, statement.encode()]]))
        unpacker = msgpack.Unpacker()
        while data := sock.recv(READ_SIZE_BYTES):
            unpacker.feed(data)
            for message in unpacker:
                return message
    raise ConnectionError(f"{address}: the connection was closed before the answer")


if __name__ == "__main__":
    _, _, error, result = ask(*sys.argv[1:4])
    print(error if result is None else result[0].decode(), end="\n" if result is None else "")
