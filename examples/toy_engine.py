"""A toy engine: answers every query with made-up rows, so that applevale can be tried by hand.

    python examples/toy_engine.py 127.0.0.1:7101

`limit N` in a statement asks for N rows. A statement with `hang` is never answered, and one with `die`
ends the connection.
"""

import re
import socketserver
import sys

import hiredis

PAGE = 6000  # bytes


def rows(count: int) -> list[bytes]:
    return [b"%d\tstation-%d\t%d.5\n" % (at, at % 7, at * 3) for at in range(count)]


def pages(count: int) -> list[bytes]:
    found = [b""]
    for row in rows(count):
        if len(found[-1]) + len(row) > PAGE:
            found.append(b"")
        found[-1] += row
    return found


def answer(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Handler(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        reader, self.results = hiredis.Reader(), {}
        try:
            while data := self.request.recv(65536):
                reader.feed(data)
                while (command := reader.gets()) is not False:
                    self.server.seen.append(command)
                    if not self.take(*command):
                        return
        except ConnectionError:
            pass

    def take(self, word: bytes, tag: bytes, *rest: bytes) -> bool:
        """False ends the connection."""
        if word == b"want" and b"die" in rest[1]:
            return False
        if word == b"want" and b"hang" not in rest[1]:
            limit = re.search(rb"limit (\d+)", rest[1])
            self.results[tag] = pages(int(limit[1]) if limit else 3)
            fields = b"sheets=%d,toil=12,room=4,rep=inflight:1;util:0.1;x1:0.1" % len(self.results[tag])
            self.say(answer(tag, b"HIT", fields, self.results[tag][0]))
        elif word == b"turn":
            found = self.results.get(tag)
            page = int(rest[0])
            if found and page < len(found):
                self.say(answer(tag, b"PART", b"sheet=%d" % page, found[page]))
            else:
                self.say(answer(tag, b"FAULT", b"-", b""))
        elif word in (b"there", b"busy"):
            self.say(answer(tag, b"PONG", b"rep=inflight:1;util:0.1;x1:0.1", b""))
        return True

    def say(self, data: bytes) -> None:
        self.request.sendall(data)


class ToyEngine(socketserver.ThreadingTCPServer):
    allow_reuse_address = daemon_threads = True

    def __init__(self, address: tuple[str, int], handler: type[Handler] = Handler):
        super().__init__(address, handler)
        self.seen: list[list[bytes]] = []  # commands, in order


if __name__ == "__main__":
    host, port = sys.argv[1].split(":")
    ToyEngine((host, int(port))).serve_forever()
