"""A toy engine that answers every request with made-up rows, to try applevale by hand.

    python examples/toy_engine.py 127.0.0.1:7101

A statement with `limit N` returns N rows. A statement with `hang` is never answered, and one with `die`
closes the connection.
"""

import re
import socketserver
import sys

import hiredis

MAX_PAGE_BYTES = 6000
READ_SIZE_BYTES = 65536
DEFAULT_ROW_COUNT = 3
LOAD_REPORT = b"rep=inflight:1;util:0.1;x1:0.1"

CMD_EXECUTE = b"want"
CMD_FETCH_PAGE = b"turn"
CMD_PING = b"there"
CMD_REPORT_LOAD = b"busy"


def rows(count: int) -> list[bytes]:
    """Return the made-up rows of a result."""
    return [b"%d\tstation-%d\t%d.5\n" % (number, number % 7, number * 3) for number in range(count)]


def pages(count: int) -> list[bytes]:
    """Return the pages of a result with `count` rows; there is at least one page."""
    result = [b""]
    for row in rows(count):
        if len(result[-1]) + len(row) > MAX_PAGE_BYTES:
            result.append(b"")
        result[-1] += row
    return result


def answer(*words: bytes) -> bytes:
    """Return an answer with the given words, encoded as a RESP array."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Handler(socketserver.BaseRequestHandler):
    """Serves one connection, and keeps its results so that further pages can be fetched."""

    def handle(self) -> None:
        """Answer commands until the connection is closed."""
        reader = hiredis.Reader()
        self.results: dict[bytes, list[bytes]] = {}
        try:
            while data := self.request.recv(READ_SIZE_BYTES):
                reader.feed(data)
                while (command := reader.gets()) is not False:
                    self.server.received_commands.append(command)
                    if not self.handle_command(*command):
                        return
        except ConnectionError:
            pass

    def handle_command(self, name: bytes, request_id: bytes, *arguments: bytes) -> bool:
        """Answer a command; return False to close the connection."""
        if name == CMD_EXECUTE:
            return self._execute(request_id, arguments[1])
        if name == CMD_FETCH_PAGE:
            self._send_page(request_id, int(arguments[0]))
        elif name in (CMD_PING, CMD_REPORT_LOAD):
            self.send(answer(request_id, b"PONG", LOAD_REPORT, b""))
        return True

    def _execute(self, request_id: bytes, statement: bytes) -> bool:
        if b"die" in statement:
            return False
        if b"hang" not in statement:
            limit = re.search(rb"limit (\d+)", statement)
            result = pages(int(limit[1]) if limit else DEFAULT_ROW_COUNT)
            self.results[request_id] = result
            fields = b"sheets=%d,toil=12,room=4,%b" % (len(result), LOAD_REPORT)
            self.send(answer(request_id, b"HIT", fields, result[0]))
        return True

    def _send_page(self, request_id: bytes, number: int) -> None:
        result = self.results.get(request_id)
        if result and number < len(result):
            self.send(answer(request_id, b"PART", b"sheet=%d" % number, result[number]))
        else:
            self.send(answer(request_id, b"FAULT", b"-", b""))

    def send(self, data: bytes) -> None:
        """Write an answer."""
        self.request.sendall(data)


class ToyEngine(socketserver.ThreadingTCPServer):
    """A server that answers with made-up results.

    Attributes:
        received_commands: All commands, in order of arrival.
    """

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, address: tuple[str, int], handler: type[Handler] = Handler):
        """Listen at an address; each connection is served by a `handler`."""
        super().__init__(address, handler)
        self.received_commands: list[list[bytes]] = []


if __name__ == "__main__":
    host, port = sys.argv[1].split(":")
    ToyEngine((host, int(port))).serve_forever()
