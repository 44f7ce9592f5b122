"""The operators' door: HTTP/1.1 by h11 on the program's own loop, one call a connection.

Guards the loop against callers: each connection is one task under one timer, whatever it sends or does
not send; a head or body over its bound, or what is no HTTP, is answered once and closed. Callers hold a
bounded number of descriptors: in a flood the one that came first makes room. Nothing from a socket goes
beyond its connection's task.
"""

from __future__ import annotations

import asyncio
import json
import socket
from http import HTTPStatus

import h11

from ..observability.counters import Counters
from ..observability.events import log_event
from .routes import MOST_CALLS, Answer, Operated, answer

CALL = 2.0  # s for a whole call, from the connection on: a silent or slow caller has this and no more
HEAD_MOST = 8 * 1024  # bytes of the request's head
BODY_MOST = 4 * 1024  # bytes of its body
RECEIVE = 4096


def encode(codec: h11.Connection, method: bytes, reply: Answer) -> bytes:
    """The whole answer. A codec that has met what is no HTTP can still say so, once."""
    body = json.dumps(reply.body, separators=(",", ":")).encode()
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        ("connection", "close"),
    ]
    if "allow" in reply.body:
        headers.append(("allow", reply.body["allow"]))
    phrase = HTTPStatus(reply.status).phrase
    data = [] if method == b"HEAD" else [h11.Data(data=body)]
    head = h11.Response(status_code=reply.status, reason=phrase, headers=headers)
    return b"".join(codec.send(event) or b"" for event in (head, *data, h11.EndOfMessage()))


class Door:
    def __init__(self, operated: Operated, counters: Counters, most: int = MOST_CALLS) -> None:
        self.operated, self.counters, self.most = operated, counters, most
        self.calls: dict[asyncio.Task, socket.socket] = {}  # in the order in which they came

    async def serve(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:  # a caller that has gone, or no descriptor free
                log_event("door", str(error))
                await asyncio.sleep(0.01)
                continue
            if len(self.calls) >= self.most:
                self.counters["door_evicted"] += 1
                next(iter(self.calls)).cancel()
            while len(self.calls) >= self.most:
                await asyncio.sleep(0)  # it ends before another is taken
            task = asyncio.create_task(self._call(sock))
            self.calls[task] = sock
            task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        """Guards the descriptor of a call that was cancelled before its first step."""
        self.calls.pop(task).close()

    async def _call(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        self.counters["door_calls"] += 1
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CALL):
                answered = await self._read(sock, codec)
                if answered is not None:
                    await loop.sock_sendall(sock, encode(codec, *answered))
                    sock.shutdown(socket.SHUT_WR)
        except TimeoutError:
            self.counters["door_timeouts"] += 1
        except OSError:
            self.counters["door_resets"] += 1

    async def _read(self, sock: socket.socket, codec: h11.Connection) -> tuple[bytes, Answer] | None:
        """The call's method and answer; None for a caller that left before its call was whole."""
        loop, buffer = asyncio.get_running_loop(), bytearray(RECEIVE)
        request, body = None, bytearray()
        try:
            while True:
                event = codec.next_event()
                if event is h11.NEED_DATA:
                    size = await loop.sock_recv_into(sock, buffer)
                    codec.receive_data(bytes(buffer[:size]))
                elif isinstance(event, h11.Request | h11.Data):
                    if isinstance(event, h11.Request):
                        request = event
                        told = dict(event.headers).get(b"content-length", b"0")
                        size = int(told) if told.isdigit() else 0
                    else:
                        body += event.data
                        size = len(body)
                    if size > BODY_MOST:
                        return request.method, self._bad(413, f"body: over {BODY_MOST} bytes", "body")
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    return None
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint >= 400 else 400
            return b"", self._bad(status, f"request: {error}"[:120], "head" if status == 431 else "request")
        reply = answer(
            self.operated, request.method.decode("latin-1"), request.target.decode("latin-1"), bytes(body)
        )
        if reply.status >= 400 and reply.status != 503:  # not ready is no fault of the caller
            self.counters["door_refused"] += 1
            log_event("door", f"{reply.status} {request.method.decode('latin-1')} {request.target[:80]!r}")
        return request.method, reply

    def _bad(self, status: int, text: str, field: str) -> Answer:
        self.counters["door_bad"] += 1
        log_event("door", f"{status}: {text}")
        return Answer(status, {"error": text, "field": field})
